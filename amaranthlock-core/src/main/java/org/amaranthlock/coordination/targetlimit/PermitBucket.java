package org.amaranthlock.coordination.targetlimit;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Produces permits at a rate that may change, each of which expires when it is not taken.
 *
 * <p>Permits do not accumulate while nobody takes them: after an idle time, hosts that share a rate far below one permit
 * a second each would otherwise all have one, whatever the rate. Buckets start at a random point between two permits,
 * for the same reason. Not thread-safe.
 */
final class PermitBucket {
    /** Time after which a permit that nobody took expires, in milliseconds. */
    static final long LIFETIME_MILLIS = 1_000;

    /** Time for which permits are collected if more than one is produced in it, in milliseconds. */
    private static final double BURST_MILLIS = 250;

    private static final double MILLIS_PER_SECOND = 1_000.0;

    /** Part of the next permit that has been produced, from 0 to 1. */
    private double fraction;

    private double permitsPerSecond;
    private long advancedAtMillis;
    private long requestedAtMillis = Long.MIN_VALUE / 2; // half, so that the age does not overflow
    private int available;

    PermitBucket(UniformRandomProvider random, long nowMillis) {
        this.fraction = random.nextDouble();
        this.advancedAtMillis = nowMillis;
    }

    /** Produces the permits that were due until now, and continues at the given rate. */
    void advance(double newPermitsPerSecond, long nowMillis) {
        double produced = fraction + permitsPerSecond * (nowMillis - advancedAtMillis) / MILLIS_PER_SECOND;
        double whole = Math.floor(produced);
        fraction = produced - whole;
        advancedAtMillis = nowMillis;
        available = (int) Math.min(available + whole, unexpired());
        permitsPerSecond = newPermitsPerSecond;
    }

    /** Takes a permit for a request of the kind that the bucket is meant for, if there is one. */
    boolean take() {
        requestedAtMillis = advancedAtMillis;
        return poll();
    }

    /** Takes a permit that is not needed by the requests that the bucket is meant for, if there is one. */
    boolean takeLeftover() {
        boolean noRequests = advancedAtMillis - requestedAtMillis >= LIFETIME_MILLIS;
        boolean left = noRequests || millisSinceLastPermit() >= LIFETIME_MILLIS / 2.0;
        return left && poll();
    }

    /** Returns the time until the next permit is produced, in milliseconds. */
    double millisToNextPermit() {
        return permitsPerSecond > 0 ? (1 - fraction) / permitsPerSecond * MILLIS_PER_SECOND : Double.MAX_VALUE;
    }

    /** Returns the rate at which permits are produced. */
    double permitsPerSecond() {
        return permitsPerSecond;
    }

    private boolean poll() {
        if (available == 0) {
            return false;
        }
        available--;
        return true;
    }

    private double millisSinceLastPermit() {
        return permitsPerSecond > 0 ? fraction / permitsPerSecond * MILLIS_PER_SECOND : Double.MAX_VALUE;
    }

    /** Returns the maximum number of permits that have not expired. */
    private double unexpired() {
        if (millisSinceLastPermit() > LIFETIME_MILLIS) {
            return 0;
        }
        return Math.max(1, Math.ceil(permitsPerSecond * BURST_MILLIS / MILLIS_PER_SECOND));
    }
}
