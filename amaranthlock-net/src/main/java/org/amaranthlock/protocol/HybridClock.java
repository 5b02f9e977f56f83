package org.amaranthlock.protocol;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/**
 * Hybrid logical clock.
 *
 * <p>A timestamp holds the milliseconds since the epoch, shifted left by 16 bits, plus a counter. Timestamps increase
 * strictly and are greater than every remote timestamp that was observed and not ignored before. Thread-safe.
 */
public final class HybridClock {
    /** Number of low-order bits of a timestamp that hold the counter. */
    public static final int COUNTER_BITS = 16;

    /**
     * A remote timestamp further ahead is ignored; otherwise one wrong clock would advance the clocks of all routers.
     */
    static final long MAX_AHEAD_MILLIS = 60_000;

    private final LongSupplier wallMillis;
    private final AtomicLong lastTimestamp = new AtomicLong();

    /**
     * Creates a clock.
     *
     * @param wallMillis supplies the wall-clock time in milliseconds since the epoch
     */
    public HybridClock(LongSupplier wallMillis) {
        this.wallMillis = Objects.requireNonNull(wallMillis, "wallMillis");
    }

    /** Returns the timestamp of a local event. */
    public long next() {
        long wallTimestamp = wallMillis.getAsLong() << COUNTER_BITS;
        return lastTimestamp.updateAndGet(previous -> Math.max(previous + 1, wallTimestamp));
    }

    /**
     * Advances the clock past the timestamp of a received message.
     *
     * <p>Ignores a timestamp that is more than {@link #MAX_AHEAD_MILLIS} ahead of the wall clock.
     */
    public void observe(long remoteTimestamp) {
        long maxTimestamp = (wallMillis.getAsLong() + MAX_AHEAD_MILLIS) << COUNTER_BITS;
        if (remoteTimestamp <= maxTimestamp) {
            lastTimestamp.accumulateAndGet(remoteTimestamp, Math::max);
        }
    }
}
