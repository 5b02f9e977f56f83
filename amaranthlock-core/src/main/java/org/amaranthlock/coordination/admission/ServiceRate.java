package org.amaranthlock.coordination.admission;

/**
 * Speed at which a router's requests of one service are completed.
 *
 * <p>Not thread-safe.
 */
final class ServiceRate {
    /** Expected time per token before anything was observed, in milliseconds. */
    private static final double PRIOR_MILLIS_PER_TOKEN = 50;

    /** Weight of a new observation of the time per token. */
    private static final double LEARNING_RATE = 0.05;

    /** Time over which throughput is averaged, in milliseconds. */
    private static final double WINDOW_MILLIS = 5_000;

    /** Throughput that is assumed at least, in tokens per millisecond, so that a wait stays finite. */
    private static final double MIN_TOKENS_PER_MILLI = 0.001;

    private double millisPerToken = PRIOR_MILLIS_PER_TOKEN;
    private double windowTokens;
    private double windowMillis;
    private long lastMillis = -1;

    void finished(int tokens, long elapsedMillis, long nowMillis) {
        millisPerToken += LEARNING_RATE * ((double) elapsedMillis / tokens - millisPerToken);
        advance(nowMillis);
        windowTokens += tokens;
    }

    double millisPerToken() {
        return millisPerToken;
    }

    /** Returns the tokens completed per millisecond, or a guess while too little was seen. */
    double tokensPerMilli(long nowMillis) {
        advance(nowMillis);
        if (windowMillis < WINDOW_MILLIS / 10) {
            return 1 / millisPerToken;
        }
        return Math.max(MIN_TOKENS_PER_MILLI, windowTokens / windowMillis);
    }

    private void advance(long nowMillis) {
        if (lastMillis >= 0 && nowMillis > lastMillis) {
            double elapsed = nowMillis - lastMillis;
            double kept = Math.exp(-elapsed / WINDOW_MILLIS);
            windowTokens *= kept;
            windowMillis = windowMillis * kept + WINDOW_MILLIS * (1 - kept);
        }
        lastMillis = nowMillis;
    }
}
