package org.amaranthlock.coordination.admission;

/**
 * Limits retries to a fraction of the successful requests, so that retries cannot cause a congestion collapse.
 *
 * <p>Not thread-safe.
 */
final class RetryBudget {
    /** Retries that each successful request adds to the budget. */
    private static final double RETRIES_PER_SUCCESS = 0.1;

    /** Capacity and initial value of the budget, which allows retries to a service with little traffic. */
    private static final double MAX_AVAILABLE_RETRIES = 10;

    private double availableRetries = MAX_AVAILABLE_RETRIES;

    void recordSuccess() {
        availableRetries = Math.min(MAX_AVAILABLE_RETRIES, availableRetries + RETRIES_PER_SUCCESS);
    }

    boolean tryAcquire() {
        if (availableRetries < 1) {
            return false;
        }
        availableRetries -= 1;
        return true;
    }
}
