package org.amaranthlock.coordination.forwarding;

import java.util.OptionalLong;

/**
 * Final response that a host generates itself instead of forwarding one of a target.
 *
 * @param status HTTP status
 * @param retryAfterMillis delay after which the client should retry, in milliseconds; empty if it should not
 * @param reason stable identifier for logs and metrics
 */
public record Rejection(int status, OptionalLong retryAfterMillis, String reason) {
    /** Returns a rejection that does not ask the client to retry. */
    public static Rejection of(int status, String reason) {
        return new Rejection(status, OptionalLong.empty(), reason);
    }

    /** Returns a rejection of a request that was not executed and may be retried. */
    public static Rejection retryLater(long retryAfterMillis, String reason) {
        return new Rejection(503, OptionalLong.of(retryAfterMillis), reason);
    }
}
