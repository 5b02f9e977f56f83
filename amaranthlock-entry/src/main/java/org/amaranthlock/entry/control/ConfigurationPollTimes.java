package org.amaranthlock.entry.control;

import org.amaranthlock.model.Arguments;

/**
 * Times of the polling of the configuration.
 *
 * @param intervalMillis age of the last confirmation at which a host that reads the store reads it again
 * @param maxUnconfirmedMillis age of the last confirmation at which a host that waits for a peer reads the store itself
 * @param callTimeoutMillis timeout of a read
 * @param retryDelayMillis delay after a failed read
 */
public record ConfigurationPollTimes(
        long intervalMillis, long maxUnconfirmedMillis, long callTimeoutMillis, long retryDelayMillis) {
    /** Longest interval: keys are rejected while no confirmation succeeds, so even slow changes need frequent reads. */
    private static final long MAX_INTERVAL_MILLIS = 900;

    // Shares of the time within which a change must take effect. A change right after a confirmation is read after the
    // unconfirmed time; if this read fails, after the timeout and the delay as well: 0.82 of the time. The interval is
    // shorter than the unconfirmed time by a slow read of the peer.
    private static final double INTERVAL_SHARE = 0.36;
    private static final double UNCONFIRMED_SHARE = 0.56;
    private static final double CALL_TIMEOUT_SHARE = 0.2;
    private static final double RETRY_DELAY_SHARE = 0.06;

    /** Checks that all times are positive. */
    public ConfigurationPollTimes {
        Arguments.requirePositive(intervalMillis, "interval");
        Arguments.requirePositive(maxUnconfirmedMillis, "max unconfirmed");
        Arguments.requirePositive(callTimeoutMillis, "call timeout");
        Arguments.requirePositive(retryDelayMillis, "retry delay");
    }

    /** Returns the times for hosts that must apply a change within {@code applyMillis} milliseconds. */
    public static ConfigurationPollTimes within(long applyMillis) {
        return new ConfigurationPollTimes(
                Math.min(MAX_INTERVAL_MILLIS, share(applyMillis, INTERVAL_SHARE)),
                share(applyMillis, UNCONFIRMED_SHARE),
                share(applyMillis, CALL_TIMEOUT_SHARE),
                share(applyMillis, RETRY_DELAY_SHARE));
    }

    private static long share(long applyMillis, double share) {
        return Math.max(1, Math.round(applyMillis * share));
    }
}
