package org.amaranthlock.standin;

import java.util.function.LongSupplier;

/** Token bucket rate limiter. Thread-safe. */
public final class TokenBucket {
    private static final double MILLIS_PER_SECOND = 1000.0;

    private final double tokensPerSecond;
    private final double capacity;
    private final LongSupplier nowMillis;
    private double tokens;
    private long refilledAtMillis;

    /**
     * Creates a full bucket.
     *
     * @param tokensPerSecond the number of tokens added per second
     * @param capacity the capacity of the bucket, in tokens
     * @param nowMillis the monotonic clock, in milliseconds
     */
    public TokenBucket(double tokensPerSecond, double capacity, LongSupplier nowMillis) {
        this.tokensPerSecond = tokensPerSecond;
        this.capacity = capacity;
        this.nowMillis = nowMillis;
        this.tokens = capacity;
        this.refilledAtMillis = nowMillis.getAsLong();
    }

    /** Takes a token if one is available, and returns whether it did. */
    public synchronized boolean tryAcquire() {
        long now = nowMillis.getAsLong();
        tokens = Math.min(capacity, tokens + (now - refilledAtMillis) * tokensPerSecond / MILLIS_PER_SECOND);
        refilledAtMillis = now;
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
