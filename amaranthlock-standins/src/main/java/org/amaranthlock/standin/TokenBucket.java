package org.amaranthlock.standin;

import java.util.function.LongSupplier;

/** Token bucket rate limiter. Thread-safe. */
public final class TokenBucket {
    private static final double MILLIS_PER_SECOND = 1000.0;

    private final double perSecond;
    private final double burst;
    private final LongSupplier nowMillis;
    private double tokens;
    private long refilledAtMillis;

    /**
     * Creates a full bucket.
     *
     * @param perSecond the number of tokens added per second
     * @param burst the capacity of the bucket, in tokens
     * @param nowMillis the monotonic clock, in milliseconds
     */
    public TokenBucket(double perSecond, double burst, LongSupplier nowMillis) {
        this.perSecond = perSecond;
        this.burst = burst;
        this.nowMillis = nowMillis;
        this.tokens = burst;
        this.refilledAtMillis = nowMillis.getAsLong();
    }

    /** Takes a token if one is available. */
    public synchronized boolean tryAcquire() {
        long now = nowMillis.getAsLong();
        tokens = Math.min(burst, tokens + (now - refilledAtMillis) * perSecond / MILLIS_PER_SECOND);
        refilledAtMillis = now;
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
