package org.amaranthlock.standin.fleet;

import java.util.Map;

/**
 * Request that a worker ran.
 *
 * @param worker id of the worker
 * @param requestId the client's id
 * @param line request line
 * @param headers headers by lower-case name
 * @param body body
 */
public record WorkerRun(String worker, String requestId, String line, Map<String, String> headers, String body) {}
