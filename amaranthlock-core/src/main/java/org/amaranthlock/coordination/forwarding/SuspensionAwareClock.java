package org.amaranthlock.coordination.forwarding;

import java.util.Objects;
import java.util.function.LongSupplier;

/**
 * Monotonic clock that includes the time for which the host was suspended.
 *
 * <p>The system's monotonic clock stops while a host is suspended; the wall clock does not. A forward jump of the wall
 * clock counts as a suspension, which can only make cached data look older than it is. Intervals for other hosts are
 * measured by {@link ClockReading}, since there a longer interval may make data look newer. The threads of a process share
 * one clock: with a clock per thread, a suspension while a value is passed between threads would not be counted.
 */
public final class SuspensionAwareClock {
    /**
     * Largest difference between the clocks, in milliseconds, that is attributed to drift and slewing of the wall
     * clock.
     */
    private static final long MAX_DRIFT_MILLIS = 100;

    private final LongSupplier monotonicMillis;
    private final LongSupplier wallClockMillis;
    private long lastMonotonicMillis;
    private long lastWallClockMillis;
    private long suspendedMillis;

    /** Creates a clock from a monotonic clock and a wall clock, both in milliseconds. */
    public SuspensionAwareClock(LongSupplier monotonicMillis, LongSupplier wallClockMillis) {
        this.monotonicMillis = Objects.requireNonNull(monotonicMillis, "monotonic clock");
        this.wallClockMillis = Objects.requireNonNull(wallClockMillis, "wall clock");
        this.lastMonotonicMillis = monotonicMillis.getAsLong();
        this.lastWallClockMillis = wallClockMillis.getAsLong();
    }

    /** Returns the milliseconds since an arbitrary fixed moment, including suspensions. */
    public long millis() {
        return read().inclusiveMillis();
    }

    /** Returns the present moment. */
    public synchronized ClockReading read() {
        long monotonic = monotonicMillis.getAsLong();
        long wallClock = wallClockMillis.getAsLong();
        long unexplainedMillis = (wallClock - lastWallClockMillis) - (monotonic - lastMonotonicMillis);
        if (unexplainedMillis > MAX_DRIFT_MILLIS) {
            suspendedMillis += unexplainedMillis;
        }
        lastMonotonicMillis = monotonic;
        lastWallClockMillis = wallClock;
        return new ClockReading(monotonic, monotonic + suspendedMillis);
    }
}
