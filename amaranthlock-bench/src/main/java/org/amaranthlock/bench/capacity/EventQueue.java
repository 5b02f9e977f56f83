package org.amaranthlock.bench.capacity;

import java.util.PriorityQueue;

/** Actions in virtual time; actions of the same millisecond run in the order in which they were added. */
final class EventQueue {
    private final PriorityQueue<Action> actions = new PriorityQueue<>();
    private long nowMillis;
    private long added;

    EventQueue(long startMillis) {
        nowMillis = startMillis;
    }

    long nowMillis() {
        return nowMillis;
    }

    void after(long delayMillis, Runnable action) {
        actions.add(new Action(nowMillis + delayMillis, added++, action));
    }

    /** Runs all actions of the next {@code millis} milliseconds. */
    void advance(long millis) {
        long end = nowMillis + millis;
        while (!actions.isEmpty() && actions.peek().atMillis() <= end) {
            Action next = actions.poll();
            nowMillis = next.atMillis();
            next.action().run();
        }
        nowMillis = end;
    }

    void clear() {
        actions.clear();
    }

    private record Action(long atMillis, long number, Runnable action) implements Comparable<Action> {
        @Override
        public int compareTo(Action other) {
            int byTime = Long.compare(atMillis, other.atMillis);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }
}
