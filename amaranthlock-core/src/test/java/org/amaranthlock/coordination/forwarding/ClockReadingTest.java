package org.amaranthlock.coordination.forwarding;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class ClockReadingTest {
    private final long[] monotonicMillis = {1_000};
    private final long[] wallClockMillis = {50_000};
    private final SuspensionAwareClock clock =
            new SuspensionAwareClock(() -> monotonicMillis[0], () -> wallClockMillis[0]);

    // Guards against an interval that a jump of the wall clock makes longer, by which data looks newer to another host.
    @Test
    void waitingTimeDoesNotIncludeForwardJumpOfWallClock() {
        ClockReading before = clock.read();
        advance(300, 2_300);
        assertThat(before.leastMillisUntil(clock.read())).isEqualTo(300);
    }

    // Guards against an age that leaves out a suspension, by which data looks newer to another host.
    @Test
    void ageIncludesSuspension() {
        ClockReading before = clock.read();
        advance(300, 2_300);
        assertThat(clock.read().leastMillisUntil(before)).isEqualTo(-2_300);
    }

    @Test
    void backwardJumpOfWallClockChangesNothing() {
        ClockReading before = clock.read();
        advance(300, -1_700);
        assertThat(before.leastMillisUntil(clock.read())).isEqualTo(300);
        assertThat(clock.read().leastMillisUntil(before)).isEqualTo(-300);
    }

    private void advance(long monotonic, long wallClock) {
        monotonicMillis[0] += monotonic;
        wallClockMillis[0] += wallClock;
    }
}
