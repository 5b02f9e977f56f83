package org.amaranthlock.router.control;

import java.util.function.LongSupplier;

/**
 * Clock of a router process that never runs backwards.
 *
 * <p>Its time is the wall-clock time at the start of the process plus the monotonic time elapsed since then, so later
 * adjustments of the wall clock have no effect. Thread-safe.
 */
public final class RouterClock {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final long startMillis;
    private final long startNanos;
    private final LongSupplier nanoTime;

    /**
     * Creates a clock.
     *
     * @param wallMillis current wall-clock time, in milliseconds since the epoch
     * @param nanoTime monotonic time source, in nanoseconds
     */
    public RouterClock(long wallMillis, LongSupplier nanoTime) {
        this.startMillis = wallMillis;
        this.nanoTime = nanoTime;
        this.startNanos = nanoTime.getAsLong();
    }

    /** Returns a clock that starts at the current system time. */
    public static RouterClock system() {
        return new RouterClock(System.currentTimeMillis(), System::nanoTime);
    }

    /** Returns the time in milliseconds since the epoch. */
    public long millis() {
        return startMillis + (nanoTime.getAsLong() - startNanos) / NANOS_PER_MILLI;
    }

    /** Returns the wall-clock time at which the clock was created, in milliseconds since the epoch. */
    public long startMillis() {
        return startMillis;
    }
}
