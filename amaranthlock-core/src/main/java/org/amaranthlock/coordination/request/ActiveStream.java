package org.amaranthlock.coordination.request;

import org.amaranthlock.model.AttemptId;
import org.amaranthlock.model.Target;

/** Progress of the stream of one attempt. */
final class ActiveStream {
    /** Fewer tokens give no usable average, so the target's expected pace is used instead. */
    private static final int MIN_TOKENS_FOR_AVERAGE = 4;

    private final AttemptId attempt;
    private final Target target;
    private final int startPosition;
    private final double expectedTokenLatencyMillis;
    private final long firstTokenDeadline;
    private long firstTokenAt = -1;
    private long lastProgressAt;
    private final RecentTokenLatency recentTokenLatency = new RecentTokenLatency();
    private int receivedTokens;

    ActiveStream(
            AttemptId attempt,
            Target target,
            int startPosition,
            double expectedPaceMillis,
            long firstTokenBoundMillis,
            long now) {
        this.attempt = attempt;
        this.target = target;
        this.startPosition = startPosition;
        this.expectedTokenLatencyMillis = expectedPaceMillis;
        this.firstTokenDeadline = now + firstTokenBoundMillis;
        this.lastProgressAt = now;
    }

    AttemptId attempt() {
        return attempt;
    }

    Target target() {
        return target;
    }

    int startPosition() {
        return startPosition;
    }

    /** Notes new tokens and tells whether they are the first. */
    boolean recordTokens(int tokens, long now) {
        boolean first = firstTokenAt < 0;
        if (first) {
            firstTokenAt = now;
        }
        if (!first) {
            recentTokenLatency.add((double) (now - lastProgressAt) / tokens);
        }
        receivedTokens += tokens;
        lastProgressAt = now;
        return first;
    }

    boolean hasTokens() {
        return receivedTokens > 0;
    }

    boolean isAwaitingFirstToken() {
        return firstTokenAt < 0;
    }

    boolean isFirstTokenOverdue(long now) {
        return isAwaitingFirstToken() && now > firstTokenDeadline;
    }

    long millisSinceProgress(long now) {
        return now - lastProgressAt;
    }

    /** Restarts the measurement of silence, since time in which this process was paused says nothing of the target. */
    void resetProgressTime(long now) {
        lastProgressAt = now;
    }

    /** Returns the time per token of the last deliveries, or 0 while they are too few. */
    double recentTokenLatencyMillis() {
        return recentTokenLatency.millisPerToken();
    }

    double tokenLatencyMillis() {
        if (receivedTokens < MIN_TOKENS_FOR_AVERAGE || lastProgressAt <= firstTokenAt) {
            return expectedTokenLatencyMillis;
        }
        return (double) (lastProgressAt - firstTokenAt) / (receivedTokens - 1);
    }
}
