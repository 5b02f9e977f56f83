package org.amaranthlock.standin.fleet;

import java.util.Map;

/**
 * Request that a worker executed.
 *
 * @param workerId id of the worker
 * @param requestId request id that the client sent
 * @param requestLine request line
 * @param headers headers by lower-case name
 * @param body request body
 */
public record ExecutedRequest(
        String workerId, String requestId, String requestLine, Map<String, String> headers, String body) {}
