package org.amaranthlock.standin.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** Load and cache events that become visible only after a delay, events with gaps; thread-safe. */
final class LaggingReports {
    /** Cache events that are kept; older ones are a gap for a slow reader. */
    private static final int MAX_EVENTS = 10_000;

    private final long lagMillis;
    private final int eventGap;
    private final Deque<Load> loads = new ArrayDeque<>();
    private final Deque<TimedEvent> events = new ArrayDeque<>();
    private long lastEvent;

    /** Load from a time on. */
    record Load(long sinceMillis, int running, int queued) {}

    /** Change of the prefix cache; {@code n} counts lost events too. */
    record CacheEvent(long seq, List<Long> added, List<Long> evicted) {}

    private record TimedEvent(long atMillis, CacheEvent event) {}

    LaggingReports(long lagMillis, int eventGap) {
        this.lagMillis = lagMillis;
        this.eventGap = eventGap;
    }

    synchronized void loadChanged(long nowMillis, int running, int queued) {
        loads.addLast(new Load(nowMillis, running, queued));
        while (loads.size() > 1 && secondLoad().sinceMillis() <= nowMillis - lagMillis) {
            loads.removeFirst();
        }
    }

    synchronized Load visibleLoad(long nowMillis) {
        Load visible = new Load(0, 0, 0);
        for (Load load : loads) {
            if (load.sinceMillis() <= nowMillis - lagMillis) {
                visible = load;
            }
        }
        return visible;
    }

    synchronized void cacheChanged(long nowMillis, List<Long> added, List<Long> evicted) {
        if (added.isEmpty() && evicted.isEmpty()) {
            return;
        }
        lastEvent++;
        if (eventGap > 0 && lastEvent % eventGap == 0) {
            return;
        }
        events.addLast(new TimedEvent(nowMillis, new CacheEvent(lastEvent, added, evicted)));
        if (events.size() > MAX_EVENTS) {
            events.removeFirst();
        }
    }

    synchronized List<CacheEvent> visibleEvents(long after, long nowMillis) {
        List<CacheEvent> visible = new ArrayList<>();
        for (TimedEvent timed : events) {
            if (timed.event().seq() > after && timed.atMillis() <= nowMillis - lagMillis) {
                visible.add(timed.event());
            }
        }
        return visible;
    }

    private Load secondLoad() {
        return loads.stream().skip(1).findFirst().orElseThrow();
    }
}
