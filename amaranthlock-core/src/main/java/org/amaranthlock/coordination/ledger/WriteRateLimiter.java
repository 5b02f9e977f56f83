package org.amaranthlock.coordination.ledger;

/** Token bucket that keeps all partitions together below 200 writes/s at the platform. */
final class WriteRateLimiter {
    private static final double WRITES_PER_MILLI = 3.0 / 1_000;
    private static final double BURST = 10;

    private double tokens = BURST;
    private long updatedMillis = Long.MIN_VALUE;

    boolean hasPermit(long nowMillis) {
        if (updatedMillis != Long.MIN_VALUE) {
            tokens = Math.min(BURST, tokens + (nowMillis - updatedMillis) * WRITES_PER_MILLI);
        }
        updatedMillis = nowMillis;
        return tokens >= 1;
    }

    void acquire() {
        tokens--;
    }
}
