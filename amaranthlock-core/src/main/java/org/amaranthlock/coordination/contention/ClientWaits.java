package org.amaranthlock.coordination.contention;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Derives the time since a client's first attempt from the time that the client has left.
 *
 * <p>A client whose request was rejected retries at any host and with a new request id, but with less time left than
 * clients on their first attempt. Not thread-safe.
 */
public final class ClientWaits {
    /**
     * Number of requests of a route per window; the longest time left of the current and the previous window counts.
     */
    private static final int WINDOW_REQUESTS = 256;

    private final Map<String, Longest> byRoute = new HashMap<>();

    /**
     * Records a request and returns the time since the client's first attempt, in milliseconds.
     *
     * @param timeLeftMillis time for which the client still waits, in milliseconds; empty if unknown
     */
    public long sinceFirstAttemptMillis(String route, OptionalLong timeLeftMillis) {
        if (timeLeftMillis.isEmpty()) {
            return 0;
        }
        Longest longest = byRoute.getOrDefault(route, Longest.NONE).with(timeLeftMillis.getAsLong());
        byRoute.put(route, longest);
        return longest.millis() - timeLeftMillis.getAsLong();
    }

    /** Returns what {@link #sinceFirstAttemptMillis} would return now, without recording a request. */
    public long previewMillis(String route, OptionalLong timeLeftMillis) {
        if (timeLeftMillis.isEmpty()) {
            return 0;
        }
        long left = timeLeftMillis.getAsLong();
        return byRoute.getOrDefault(route, Longest.NONE).with(left).millis() - left;
    }

    private record Longest(long before, long current, int requests) {
        static final Longest NONE = new Longest(0, 0, 0);

        Longest with(long millis) {
            return requests == WINDOW_REQUESTS
                    ? new Longest(current, millis, 1)
                    : new Longest(before, Math.max(current, millis), requests + 1);
        }

        long millis() {
            return Math.max(before, current);
        }
    }
}
