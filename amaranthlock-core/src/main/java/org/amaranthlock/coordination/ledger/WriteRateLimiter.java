package org.amaranthlock.coordination.ledger;

/** Token bucket of one partition; its rate keeps all partitions together below 200 platform writes/s. */
final class WriteRateLimiter {
    private static final double WRITES_PER_MILLISECOND = 3.0 / 1_000;
    private static final double MAX_BURST = 10;

    private double tokens = MAX_BURST;
    private long updatedMillis = Long.MIN_VALUE;

    /** Refills the bucket and returns whether it holds a token for one write. */
    boolean hasPermit(long nowMillis) {
        if (updatedMillis != Long.MIN_VALUE) {
            tokens = Math.min(MAX_BURST, tokens + (nowMillis - updatedMillis) * WRITES_PER_MILLISECOND);
        }
        updatedMillis = nowMillis;
        return tokens >= 1;
    }

    /** Consumes the token for one write; call only after {@link #hasPermit} returned {@code true}. */
    void acquire() {
        tokens--;
    }
}
