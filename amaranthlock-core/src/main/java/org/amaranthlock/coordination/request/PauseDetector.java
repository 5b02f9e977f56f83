package org.amaranthlock.coordination.request;

/** Detects pauses of this process from gaps between ticks. */
final class PauseDetector {
    /** Ticks come every 50 ms; ten missed in a row mean that the process did not run. */
    static final long PAUSE_THRESHOLD_MILLIS = 500;

    private long lastTickAt = -1;
    private long lastPauseAt = -1;

    /** Records a tick and returns whether the process was paused before it. */
    boolean recordTick(long now) {
        boolean paused = lastTickAt >= 0 && now - lastTickAt > PAUSE_THRESHOLD_MILLIS;
        if (paused) {
            lastPauseAt = now;
        }
        lastTickAt = now;
        return paused;
    }

    /** Returns whether a pause was detected since the given time, or is evident because the next tick is overdue. */
    boolean pausedSince(long since, long now) {
        boolean overdue = lastTickAt >= 0 && now - lastTickAt > PAUSE_THRESHOLD_MILLIS;
        return overdue || lastPauseAt > since;
    }
}
