package org.amaranthlock.bench.forwarding;

import java.util.ArrayList;
import java.util.List;

/** Timings of one stream as seen by its client, in milliseconds of virtual time. */
final class StreamTimings {
    private final long arrivedAtMillis;
    private final List<Long> pausesAfterLossMillis = new ArrayList<>();
    private long firstEventMillis = -1;
    private long lastEventAtMillis = -1;
    private long longestPauseMillis;
    private long lostAtMillis = -1;
    private boolean complete;

    StreamTimings(long arrivedAtMillis) {
        this.arrivedAtMillis = arrivedAtMillis;
    }

    void recordEvents(long nowMillis) {
        if (firstEventMillis < 0) {
            firstEventMillis = nowMillis - arrivedAtMillis;
        } else {
            longestPauseMillis = Math.max(longestPauseMillis, nowMillis - lastEventAtMillis);
            if (lostAtMillis >= 0) {
                pausesAfterLossMillis.add(nowMillis - lastEventAtMillis);
            }
        }
        lostAtMillis = -1;
        lastEventAtMillis = nowMillis;
    }

    /** Records the loss of an attempt; ignored before the first event, when there is no pause to measure. */
    void recordLoss(long nowMillis) {
        if (firstEventMillis >= 0 && lostAtMillis < 0) {
            lostAtMillis = nowMillis;
        }
    }

    void recordCompletion() {
        complete = true;
    }

    long arrivedAtMillis() {
        return arrivedAtMillis;
    }

    /** Returns the time from arrival to the first event; negative if there was none. */
    long firstEventMillis() {
        return firstEventMillis;
    }

    /** Returns the pauses after lost attempts, each from the last event before the loss to the first one after it. */
    List<Long> pausesAfterLossMillis() {
        return pausesAfterLossMillis;
    }

    boolean complete() {
        return complete;
    }

    /**
     * Returns whether the stream completed, sent its first event within {@code goalMillis} and never paused for longer
     * than {@code pauseMillis}.
     */
    boolean onTime(long maxFirstEventMillis, long maxPauseMillis) {
        return complete && firstEventMillis <= maxFirstEventMillis && longestPauseMillis <= maxPauseMillis;
    }
}
