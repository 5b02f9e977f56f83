package org.amaranthlock.standin.fleet;

import java.util.Map;

/**
 * Request that a worker ran.
 *
 * @param workerId id of the worker
 * @param requestId the client's id
 * @param requestLine request line
 * @param headers headers by lower-case name
 * @param body body
 */
public record ExecutedRequest(
        String workerId, String requestId, String requestLine, Map<String, String> headers, String body) {}
