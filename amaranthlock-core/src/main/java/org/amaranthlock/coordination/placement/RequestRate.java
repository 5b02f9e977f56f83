package org.amaranthlock.coordination.placement;

/** Exponentially decaying rate of requests. Not thread-safe. */
final class RequestRate {
    /** Time constant of the rate, in milliseconds. */
    private static final double RATE_MILLIS = 2_000;

    private double decayedCount;
    private long countedAtMillis;

    void record(long nowMillis) {
        decayedCount = decayedCount(nowMillis) + 1;
        countedAtMillis = nowMillis;
    }

    /** Returns the number of requests per millisecond. */
    double perMilli(long nowMillis) {
        return decayedCount(nowMillis) / RATE_MILLIS;
    }

    private double decayedCount(long nowMillis) {
        return decayedCount * Math.exp(-(nowMillis - countedAtMillis) / RATE_MILLIS);
    }
}
