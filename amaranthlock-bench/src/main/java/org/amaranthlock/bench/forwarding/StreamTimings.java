package org.amaranthlock.bench.forwarding;

import java.util.ArrayList;
import java.util.List;

/** What the client of one stream saw; times are virtual, in milliseconds. */
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

    void eventsReceived(long nowMillis) {
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

    void attemptLost(long nowMillis) {
        if (firstEventMillis >= 0 && lostAtMillis < 0) {
            lostAtMillis = nowMillis;
        }
    }

    void completed() {
        complete = true;
    }

    long arrivedAtMillis() {
        return arrivedAtMillis;
    }

    /** Returns the time to the first event; negative if there was none. */
    long firstEventMillis() {
        return firstEventMillis;
    }

    /** Returns the pauses, each from the last event before a loss to the first event after it. */
    List<Long> pausesAfterLossMillis() {
        return pausesAfterLossMillis;
    }

    boolean complete() {
        return complete;
    }

    /** Returns whether the stream is complete, began within {@code goalMillis} and never paused too long. */
    boolean onTime(long goalMillis, long pauseMillis) {
        return complete && firstEventMillis <= goalMillis && longestPauseMillis <= pauseMillis;
    }
}
