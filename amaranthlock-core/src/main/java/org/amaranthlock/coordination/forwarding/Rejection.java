package org.amaranthlock.coordination.forwarding;

import java.util.OptionalLong;

/**
 * Final answer of this system's own.
 *
 * @param status HTTP status
 * @param retryAfterMillis when the client should come back, milliseconds from now; empty if it should not
 * @param reason stable word for logs and metrics
 */
public record Rejection(int status, OptionalLong retryAfterMillis, String reason) {
    /** Returns a rejection without advice to come back. */
    public static Rejection of(int status, String reason) {
        return new Rejection(status, OptionalLong.empty(), reason);
    }

    /** Returns a rejection of a request that has not run and may be sent again. */
    public static Rejection retryLater(long retryAfterMillis, String reason) {
        return new Rejection(503, OptionalLong.of(retryAfterMillis), reason);
    }
}
