package org.amaranthlock.bench.capacity;

import java.util.PriorityQueue;

/** Runs actions in virtual time; actions due in the same millisecond run in the order in which they were scheduled. */
final class EventQueue {
    private final PriorityQueue<ScheduledAction> actions = new PriorityQueue<>();
    private long nowMillis;
    private long nextSequence;

    EventQueue(long startMillis) {
        nowMillis = startMillis;
    }

    long nowMillis() {
        return nowMillis;
    }

    void schedule(long delayMillis, Runnable action) {
        actions.add(new ScheduledAction(nowMillis + delayMillis, nextSequence++, action));
    }

    /** Runs all actions due within the next {@code millis} milliseconds and advances the clock by that time. */
    void advance(long millis) {
        long end = nowMillis + millis;
        while (!actions.isEmpty() && actions.peek().atMillis() <= end) {
            ScheduledAction next = actions.poll();
            nowMillis = next.atMillis();
            next.action().run();
        }
        nowMillis = end;
    }

    void clear() {
        actions.clear();
    }

    private record ScheduledAction(long atMillis, long sequence, Runnable action)
            implements Comparable<ScheduledAction> {
        @Override
        public int compareTo(ScheduledAction other) {
            int byTime = Long.compare(atMillis, other.atMillis);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }
}
