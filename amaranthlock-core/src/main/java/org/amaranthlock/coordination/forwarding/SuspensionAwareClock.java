package org.amaranthlock.coordination.forwarding;

import java.util.Objects;
import java.util.function.LongSupplier;

/**
 * Steady clock that also counts the time for which the host was suspended.
 *
 * <p>The monotonic clock stands still while a host is suspended; the time of day does not. A forward jump of the time of
 * day counts as a suspension, which can only make a belief look older than it is. The threads of a process share one
 * clock: with one clock each, a suspension while a value passes from one thread to the other would not be counted.
 */
public final class SuspensionAwareClock {
    /** Differences below it, in milliseconds, are drift and slewing of the time of day. */
    private static final long MAX_DRIFT_MILLIS = 100;

    private final LongSupplier monotonicMillis;
    private final LongSupplier timeOfDayMillis;
    private long lastMonotonic;
    private long lastTimeOfDay;
    private long suspendedMillis;

    /** Creates a clock from a monotonic clock and the time of day, both in milliseconds. */
    public SuspensionAwareClock(LongSupplier monotonicMillis, LongSupplier timeOfDayMillis) {
        this.monotonicMillis = Objects.requireNonNull(monotonicMillis, "monotonic clock");
        this.timeOfDayMillis = Objects.requireNonNull(timeOfDayMillis, "time of day");
        this.lastMonotonic = monotonicMillis.getAsLong();
        this.lastTimeOfDay = timeOfDayMillis.getAsLong();
    }

    /** Returns the milliseconds since some fixed moment, suspensions included. */
    public synchronized long millis() {
        long monotonic = monotonicMillis.getAsLong();
        long timeOfDay = timeOfDayMillis.getAsLong();
        long unexplained = (timeOfDay - lastTimeOfDay) - (monotonic - lastMonotonic);
        if (unexplained > MAX_DRIFT_MILLIS) {
            suspendedMillis += unexplained;
        }
        lastMonotonic = monotonic;
        lastTimeOfDay = timeOfDay;
        return monotonic + suspendedMillis;
    }
}
