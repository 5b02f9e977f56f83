package org.amaranthlock.coordination.forwarding;

import java.util.ArrayDeque;
import java.util.Deque;
import org.amaranthlock.model.Arguments;

/** Unused retries, in fractions, that the requests of the last window allow. Not thread-safe. */
final class EarnedRetries {
    /** Amount below which a remainder is a rounding error. */
    private static final double ROUNDING = 1e-9;

    private final long windowMillis;
    private final Deque<Entry> entries = new ArrayDeque<>();
    private double sum;

    private record Entry(double retries, long atMillis) {}

    EarnedRetries(long windowMillis) {
        Arguments.requirePositive(windowMillis, "window");
        this.windowMillis = windowMillis;
    }

    /** Adds the fraction of a retry that a request allows. */
    void add(double retries, long nowMillis) {
        expire(nowMillis);
        entries.addLast(new Entry(retries, nowMillis));
        sum += retries;
    }

    /** Returns the number of unused retries. */
    double available(long nowMillis) {
        expire(nowMillis);
        return sum + ROUNDING;
    }

    /** Uses retries, the oldest first, up to the number of unused ones. */
    void take(double retries) {
        double remaining = Math.min(retries, sum);
        sum -= remaining;
        while (remaining > ROUNDING && !entries.isEmpty()) {
            Entry oldest = entries.pollFirst();
            if (oldest.retries() > remaining) {
                entries.addFirst(new Entry(oldest.retries() - remaining, oldest.atMillis()));
            }
            remaining -= Math.min(remaining, oldest.retries());
        }
    }

    private void expire(long nowMillis) {
        while (!entries.isEmpty() && nowMillis - entries.peekFirst().atMillis() >= windowMillis) {
            sum -= entries.pollFirst().retries();
        }
        if (entries.isEmpty()) {
            sum = 0;
        }
    }
}
