package org.amaranthlock.coordination.admission;

/**
 * Limits retries to a share of successful traffic, so that retries cannot start a collapse.
 *
 * <p>Not thread-safe.
 */
final class RetryBudget {
    /** Retries allowed per request that was completed. */
    private static final double RETRIES_PER_SUCCESS = 0.1;

    /** Retries that can be saved up; lets a quiet service retry at all. */
    private static final double MAX_SAVED_RETRIES = 10;

    private double saved = MAX_SAVED_RETRIES;

    void recordSuccess() {
        saved = Math.min(MAX_SAVED_RETRIES, saved + RETRIES_PER_SUCCESS);
    }

    boolean tryAcquire() {
        if (saved < 1) {
            return false;
        }
        saved -= 1;
        return true;
    }
}
