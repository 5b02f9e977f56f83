package org.amaranthlock.coordination.forwarding;

import java.util.List;
import java.util.Map;
import org.amaranthlock.model.HttpStatuses;

/**
 * Response of a target: its head and, unless it is an event stream, its complete body.
 *
 * @param status HTTP status
 * @param headers headers for the client, in order, without hop-by-hop headers
 * @param stamped whether the response carries the stamp by which its target confirms the body; a success without it is
 *     not forwarded
 * @param notRun whether the target states that it did not execute the request
 * @param statements what the target states about the load that it bears
 * @param body complete body; empty for an event stream, whose events follow
 */
public record TargetResponse(
        int status,
        List<Map.Entry<String, String>> headers,
        boolean stamped,
        boolean notRun,
        TargetStatements statements,
        byte[] body) {
    /** Returns whether the status is one that HTTP has for a final response. */
    public boolean hasFinalStatus() {
        return HttpStatuses.isFinal(status);
    }

    /** Returns whether the status is in the 2xx range. */
    public boolean isSuccess() {
        return status >= 200 && status < 300;
    }
}
