package org.amaranthlock.standin.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Load reports and cache events of an engine. Thread-safe.
 *
 * <p>As with real engines, reports and events become visible only after a delay, and some events are lost.
 */
final class DelayedReports {
    /** Maximum number of retained cache events; a slow reader misses older ones. */
    private static final int MAX_EVENTS = 10_000;

    private final long delayMillis;
    private final int eventLossInterval;
    private final Deque<Load> loads = new ArrayDeque<>();
    private final Deque<TimedEvent> events = new ArrayDeque<>();
    private long lastSequenceNumber;

    /** Load that applies from the given time on. */
    record Load(long sinceMillis, int running, int queued) {}

    /** Change of the prefix cache. The sequence number {@code seq} also counts lost events. */
    record CacheEvent(long seq, List<Long> added, List<Long> evicted) {}

    private record TimedEvent(long atMillis, CacheEvent event) {}

    DelayedReports(long delayMillis, int eventLossInterval) {
        this.delayMillis = delayMillis;
        this.eventLossInterval = eventLossInterval;
    }

    synchronized void loadChanged(long nowMillis, int running, int queued) {
        loads.addLast(new Load(nowMillis, running, queued));
        while (loads.size() > 1 && secondLoad().sinceMillis() <= nowMillis - delayMillis) {
            loads.removeFirst();
        }
    }

    synchronized Load visibleLoad(long nowMillis) {
        Load visible = new Load(0, 0, 0);
        for (Load load : loads) {
            if (load.sinceMillis() <= nowMillis - delayMillis) {
                visible = load;
            }
        }
        return visible;
    }

    synchronized void cacheChanged(long nowMillis, List<Long> added, List<Long> evicted) {
        if (added.isEmpty() && evicted.isEmpty()) {
            return;
        }
        lastSequenceNumber++;
        if (eventLossInterval > 0 && lastSequenceNumber % eventLossInterval == 0) {
            return;
        }
        events.addLast(new TimedEvent(nowMillis, new CacheEvent(lastSequenceNumber, added, evicted)));
        if (events.size() > MAX_EVENTS) {
            events.removeFirst();
        }
    }

    synchronized List<CacheEvent> visibleEvents(long after, long nowMillis) {
        List<CacheEvent> visible = new ArrayList<>();
        for (TimedEvent timed : events) {
            if (timed.event().seq() > after && timed.atMillis() <= nowMillis - delayMillis) {
                visible.add(timed.event());
            }
        }
        return visible;
    }

    private Load secondLoad() {
        return loads.stream().skip(1).findFirst().orElseThrow();
    }
}
