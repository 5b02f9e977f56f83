package org.amaranthlock.router.control;

import java.util.function.LongSupplier;

/**
 * Hybrid logical clock: milliseconds since the epoch shifted left by 16 bits, plus a counter.
 *
 * <p>Thread-safe.
 */
public final class HybridClock {
    private static final int COUNTER_BITS = 16;

    private final LongSupplier millis;
    private long last;

    /** Creates a clock on top of a clock in milliseconds. */
    public HybridClock(LongSupplier millis) {
        this.millis = millis;
    }

    /** Returns a time stamp greater than every one returned or observed before. */
    public synchronized long next() {
        last = Math.max(last + 1, millis.getAsLong() << COUNTER_BITS);
        return last;
    }

    /** Takes note of a time stamp that another process sent. */
    public synchronized void observe(long hybridTime) {
        last = Math.max(last, hybridTime);
    }
}
