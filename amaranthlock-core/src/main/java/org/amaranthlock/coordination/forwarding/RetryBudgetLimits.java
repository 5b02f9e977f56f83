package org.amaranthlock.coordination.forwarding;

import org.amaranthlock.model.Arguments;

/**
 * Repeats that all hosts together may send to a service within a window.
 *
 * @param perRequest repeats for each request of clients
 * @param slack repeats beyond that in each window
 * @param windowMillis length of the window, milliseconds
 */
public record RetryBudgetLimits(double perRequest, double slack, long windowMillis) {
    /** Checks that the figures are usable. */
    public RetryBudgetLimits {
        Arguments.require(perRequest >= 0 && slack >= 0, "a budget is not negative");
        Arguments.requirePositive(windowMillis, "window");
    }
}
