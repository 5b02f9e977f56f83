package org.amaranthlock.coordination.request;

import org.amaranthlock.model.AttemptId;
import org.amaranthlock.model.Target;

/** Tracks the progress of the token stream of one attempt. */
final class ActiveStream {
    /** Below this number of tokens the average is unreliable and the target's expected token latency is used. */
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
            double expectedTokenLatencyMillis,
            long firstTokenTimeoutMillis,
            long now) {
        this.attempt = attempt;
        this.target = target;
        this.startPosition = startPosition;
        this.expectedTokenLatencyMillis = expectedTokenLatencyMillis;
        this.firstTokenDeadline = now + firstTokenTimeoutMillis;
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

    /** Records new tokens and returns whether they are the first of the stream. */
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

    /** Restarts the stall timer, since time in which this process was paused is no evidence of a stalled target. */
    void resetProgressTime(long now) {
        lastProgressAt = now;
    }

    /** Returns the mean time per token of the last deliveries, or 0 while there are too few of them. */
    double recentTokenLatencyMillis() {
        return recentTokenLatency.millisPerToken();
    }

    /** Returns the mean time per token of the whole stream, or the expected one while there are too few tokens. */
    double tokenLatencyMillis() {
        if (receivedTokens < MIN_TOKENS_FOR_AVERAGE || lastProgressAt <= firstTokenAt) {
            return expectedTokenLatencyMillis;
        }
        return (double) (lastProgressAt - firstTokenAt) / (receivedTokens - 1);
    }
}
