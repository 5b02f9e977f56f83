package org.amaranthlock.protocol;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/**
 * Hybrid logical clock: milliseconds since the epoch shifted left by 16 bits, plus a counter.
 *
 * <p>Values grow strictly and are greater than every value that was observed before. Thread-safe.
 */
public final class HybridClock {
    /** Bits of a value that hold the counter. */
    public static final int COUNTER_BITS = 16;

    /** A peer clock that is further ahead is ignored; otherwise one wrong clock would move the clocks of all routers. */
    static final long MAX_AHEAD_MILLIS = 60_000;

    private final LongSupplier wallMillis;
    private final AtomicLong last = new AtomicLong();

    /**
     * Creates a clock.
     *
     * @param wallMillis milliseconds since the epoch
     */
    public HybridClock(LongSupplier wallMillis) {
        this.wallMillis = Objects.requireNonNull(wallMillis, "wallMillis");
    }

    /** Returns the time of a local event. */
    public long next() {
        long wall = wallMillis.getAsLong() << COUNTER_BITS;
        return last.updateAndGet(previous -> Math.max(previous + 1, wall));
    }

    /** Moves the clock past the time of a received message. */
    public void observe(long remote) {
        long limit = (wallMillis.getAsLong() + MAX_AHEAD_MILLIS) << COUNTER_BITS;
        if (remote <= limit) {
            last.accumulateAndGet(remote, Math::max);
        }
    }
}
