package org.amaranthlock.coordination.admission;

/**
 * Speed at which requests of one service run.
 *
 * <p>Not thread-safe.
 */
final class ServiceTokenLatency {
    /** Expected time per token before anything was observed, in milliseconds. */
    private static final double PRIOR_MILLIS_PER_TOKEN = 50;

    /** Part of the past that a finished request leaves in force. */
    private static final double RETENTION = 0.95;

    /** Tokens for which the expected time counts at first. */
    private static final double PRIOR_TOKENS = 1_000;

    private double tokens = PRIOR_TOKENS;
    private double millis = PRIOR_TOKENS * PRIOR_MILLIS_PER_TOKEN;

    /** Notes a request that ran; one without tokens failed and says nothing of the speed. */
    void recordCompletion(int finishedTokens, long elapsedMillis) {
        if (finishedTokens > 0) {
            tokens = tokens * RETENTION + finishedTokens;
            millis = millis * RETENTION + elapsedMillis;
        }
    }

    /** Returns the time per token of one request, all waits at targets included. */
    double millisPerToken() {
        return millis / tokens;
    }
}
