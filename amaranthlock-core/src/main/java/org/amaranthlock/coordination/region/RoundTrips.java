package org.amaranthlock.coordination.region;

/**
 * Round trips to one region, from the times in which connections opened.
 *
 * <p>The shortest one is that of the link without a queue; a busy host or link only adds to it. Not thread-safe.
 */
final class RoundTrips {
    /** Time for which the shortest round trip is kept at least, in milliseconds; routes change rarely. */
    private static final long WINDOW_MILLIS = 30_000;

    /** Time after which the recent round trip is no longer recent, in milliseconds. */
    private static final long RECENT_MILLIS = 2_000;

    /** Weight of a round trip in the recent mean. */
    private static final double RECENT_WEIGHT = 0.25;

    private double shortest = Double.NaN;
    private double shortestOfWindow = Double.POSITIVE_INFINITY;
    private long windowStartMillis;
    private double recent;
    private long recentAtMillis;

    /** Records a round trip. */
    void record(double millis, long nowMillis) {
        if (Double.isNaN(shortest)) {
            shortest = millis;
            recent = millis;
            windowStartMillis = nowMillis;
        }
        if (Math.abs(nowMillis - windowStartMillis) >= WINDOW_MILLIS) {
            shortest = Math.min(shortestOfWindow, millis);
            shortestOfWindow = Double.POSITIVE_INFINITY;
            windowStartMillis = nowMillis;
        }
        shortest = Math.min(shortest, millis);
        shortestOfWindow = Math.min(shortestOfWindow, millis);
        recent = isRecent(nowMillis) ? recent + RECENT_WEIGHT * (millis - recent) : millis;
        recentAtMillis = nowMillis;
    }

    /** Returns the shortest round trip, in milliseconds; 0 if none is known. */
    double shortestMillis() {
        return Double.isNaN(shortest) ? 0 : shortest;
    }

    /** Returns by how much recent round trips exceed the shortest one, in milliseconds; 0 if there is none. */
    double growthMillis(long nowMillis) {
        return isRecent(nowMillis) ? recent - shortest : 0;
    }

    /** Returns whether a round trip was recorded recently. */
    boolean isRecent(long nowMillis) {
        return !Double.isNaN(shortest) && Math.abs(nowMillis - recentAtMillis) <= RECENT_MILLIS;
    }
}
