package org.amaranthlock.router.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.amaranthlock.model.HostId;
import org.amaranthlock.model.TimelineEvent;
import org.amaranthlock.protocol.HybridClock;
import org.junit.jupiter.api.Test;

class ClockAndTimelineTest {
    // Guards against a router clock that follows adjustments of the wall clock.
    @Test
    void routerClockAddsMonotonicTimeToTheStartTime() {
        AtomicLong nanos = new AtomicLong(-5_000_000);
        RouterClock clock = new RouterClock(1_000, nanos::get);
        nanos.addAndGet(2_999_999);
        assertThat(clock.millis()).isEqualTo(1_002);
    }

    // Guards against ordering an effect before its cause on another host whose clock is ahead.
    @Test
    void hybridClockAdvancesBeyondObservedTimes() {
        AtomicLong millis = new AtomicLong(10);
        HybridClock clock = new HybridClock(millis::get);
        long first = clock.next();
        assertThat(first).isEqualTo(10L << 16);
        millis.set(9);
        assertThat(clock.next()).isEqualTo(first + 1);
        clock.observe(50L << 16);
        assertThat(clock.next()).isEqualTo((50L << 16) + 1);
    }

    // Guards against a timeline that grows without bound or evicts the newest events.
    @Test
    void fullTimelineEvictsTheOldestEvents() {
        AtomicInteger drops = new AtomicInteger();
        AtomicLong time = new AtomicLong();
        Timeline timeline = new Timeline(new HostId("a"), 2, time::incrementAndGet, drops::incrementAndGet);
        timeline.add("k", "s", "one");
        timeline.add("k", "s", "two");
        timeline.add("k", "s", "three");
        assertThat(timeline.events().stream().map(TimelineEvent::text))
                .containsExactly("two", "three")
                .inOrder();
        assertThat(drops.get()).isEqualTo(1);
    }
}
