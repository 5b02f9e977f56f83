package org.amaranthlock.coordination.forwarding;

/**
 * Moment as one host has read it on two clocks, from which other hosts are told intervals.
 *
 * <p>Neither clock alone measures an interval for another host: the monotonic clock misses suspensions, so an age by it may
 * be too short, and the other one takes a forward jump of the wall clock for a suspension, so a waiting time by it may be
 * too long.
 *
 * @param monotonicMillis the monotonic clock, in milliseconds; stops while the host is suspended
 * @param inclusiveMillis {@link SuspensionAwareClock#millis}, in milliseconds; advances by at least as much as the other
 */
public record ClockReading(long monotonicMillis, long inclusiveMillis) {
    /** Returns the reading of two clocks that show the same time. */
    public static ClockReading of(long millis) {
        return new ClockReading(millis, millis);
    }

    /**
     * Returns the shortest time that can have passed from this moment to another one, in milliseconds. If the other moment
     * came first, the result is negative, and its amount the longest time that can have passed.
     */
    public long leastMillisUntil(ClockReading other) {
        return Math.min(other.monotonicMillis - monotonicMillis, other.inclusiveMillis - inclusiveMillis);
    }

    /** Returns the age of an earlier moment at this one, in milliseconds, including suspensions; for use by this host. */
    public long millisSince(ClockReading earlier) {
        return inclusiveMillis - earlier.inclusiveMillis;
    }

    /** Returns the moment {@code millis} milliseconds after this one. */
    public ClockReading plusMillis(long millis) {
        return new ClockReading(monotonicMillis + millis, inclusiveMillis + millis);
    }

    /** Returns the earlier of two readings by each clock. */
    public ClockReading min(ClockReading other) {
        return new ClockReading(
                Math.min(monotonicMillis, other.monotonicMillis), Math.min(inclusiveMillis, other.inclusiveMillis));
    }
}
