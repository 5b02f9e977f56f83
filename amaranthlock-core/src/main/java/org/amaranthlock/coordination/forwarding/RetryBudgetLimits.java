package org.amaranthlock.coordination.forwarding;

import org.amaranthlock.model.Arguments;

/**
 * Number of retries that all hosts together may send to a service within a window.
 *
 * @param retriesPerRequest retries allowed per client request
 * @param slack retries allowed in addition in each window
 * @param windowMillis length of the window, in milliseconds
 */
public record RetryBudgetLimits(double retriesPerRequest, double slack, long windowMillis) {
    public RetryBudgetLimits {
        Arguments.require(retriesPerRequest >= 0 && slack >= 0, "retries per request and slack must not be negative");
        Arguments.requirePositive(windowMillis, "window");
    }
}
