package org.amaranthlock.coordination.admission;

/**
 * Average token latency of the requests of one service.
 *
 * <p>Not thread-safe.
 */
final class ServiceTokenLatency {
    /** Expected time per token before the first observation, in milliseconds. */
    private static final double PRIOR_MILLIS_PER_TOKEN = 50;

    /** Factor by which the weight of earlier requests is multiplied on each completion. */
    private static final double DECAY_FACTOR = 0.95;

    /** Initial weight of the expected time, in tokens. */
    private static final double PRIOR_TOKENS = 1_000;

    private double tokens = PRIOR_TOKENS;
    private double millis = PRIOR_TOKENS * PRIOR_MILLIS_PER_TOKEN;

    /** Records a completed request; one without tokens has failed and is ignored. */
    void recordCompletion(int responseTokens, long elapsedMillis) {
        if (responseTokens > 0) {
            tokens = tokens * DECAY_FACTOR + responseTokens;
            millis = millis * DECAY_FACTOR + elapsedMillis;
        }
    }

    /** Returns the average time per token of a request, including all waits at targets. */
    double millisPerToken() {
        return millis / tokens;
    }
}
