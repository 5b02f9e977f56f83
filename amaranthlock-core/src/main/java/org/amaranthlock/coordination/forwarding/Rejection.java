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
    private static final int BAD_GATEWAY = 502;
    private static final String HOST_STOPS = "draining";

    /** Short, because the client's next connection reaches another host. */
    private static final long HOST_STOPS_RETRY_AFTER_MILLIS = 50;

    /** Returns a rejection that does not ask the client to retry. */
    public static Rejection of(int status, String reason) {
        return new Rejection(status, OptionalLong.empty(), reason);
    }

    /** Returns a rejection of a request that was not executed and may be retried. */
    public static Rejection retryLater(long retryAfterMillis, String reason) {
        return new Rejection(503, OptionalLong.of(retryAfterMillis), reason);
    }

    /** Returns the rejection of a request that has not been sent to a target, by a host that is about to stop. */
    public static Rejection hostStops() {
        return retryLater(HOST_STOPS_RETRY_AFTER_MILLIS, HOST_STOPS);
    }

    /** Returns the rejection of a request that a target may have run, by a host that is about to stop. */
    public static Rejection hostStopsAfterSend() {
        return of(BAD_GATEWAY, HOST_STOPS);
    }
}
