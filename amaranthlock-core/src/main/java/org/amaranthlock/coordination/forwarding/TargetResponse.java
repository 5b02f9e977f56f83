package org.amaranthlock.coordination.forwarding;

import java.util.List;
import java.util.Map;

/**
 * Head, and for answers other than event streams the whole body, of a target's answer.
 *
 * @param status HTTP status
 * @param headers headers for the client, in order; those of the one connection are left out
 * @param stamped whether the target vouches for the body with its stamp
 * @param notRun whether the target says that it did not run the request
 * @param body whole body; empty for an event stream, whose events follow
 */
public record TargetResponse(
        int status, List<Map.Entry<String, String>> headers, boolean stamped, boolean notRun, byte[] body) {
    /** Returns whether the status is one of success. */
    public boolean isSuccess() {
        return status >= 200 && status < 300;
    }
}
