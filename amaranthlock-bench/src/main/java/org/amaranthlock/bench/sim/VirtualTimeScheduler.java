package org.amaranthlock.bench.sim;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.amaranthlock.model.Arguments;

/** Runs actions in virtual time; actions due at the same time run in the order in which they were scheduled. */
public final class VirtualTimeScheduler {
    private final PriorityQueue<ScheduledAction> queue = new PriorityQueue<>(
            Comparator.comparingLong(ScheduledAction::atMicros).thenComparingLong(ScheduledAction::sequence));
    private long nowMicros;
    private long lastSequence;

    /** Returns the virtual time in milliseconds. */
    public long nowMillis() {
        return nowMicros / 1_000;
    }

    /** Returns the virtual time in microseconds. */
    public long nowMicros() {
        return nowMicros;
    }

    /** Schedules an action after a delay in microseconds. */
    public void scheduleAfterMicros(long delayMicros, Runnable action) {
        Arguments.requireNonNegative(delayMicros, "delayMicros");
        lastSequence++;
        queue.add(new ScheduledAction(nowMicros + delayMicros, lastSequence, action));
    }

    /** Schedules an action after a delay in milliseconds; a negative delay counts as 0. */
    public void scheduleAfterMillis(double delayMillis, Runnable action) {
        scheduleAfterMicros(Math.max(0, Math.round(delayMillis * 1_000)), action);
    }

    /** Runs all actions due up to the given time in milliseconds and advances the clock to it. */
    public void runUntilMillis(long endMillis) {
        while (!queue.isEmpty() && queue.peek().atMicros() <= endMillis * 1_000) {
            ScheduledAction next = queue.poll();
            nowMicros = next.atMicros();
            next.action().run();
        }
        nowMicros = Math.max(nowMicros, endMillis * 1_000);
    }

    private record ScheduledAction(long atMicros, long sequence, Runnable action) {}
}
