package org.amaranthlock.coordination.rollout;

import org.amaranthlock.model.Arguments;

/**
 * Limits on the requests that a bad version may receive.
 *
 * @param share largest share of a service's requests that may reach a bad version, over 0 and at most 1
 * @param slack number of requests that may reach it beyond the share
 * @param rollbackMillis maximum time from its 50th failure until it receives no more requests, in milliseconds
 */
public record ExposureBounds(double share, long slack, long rollbackMillis) {
    public ExposureBounds {
        Arguments.require(share > 0 && share <= 1, "exposure share must be over 0 and at most 1: " + share);
        Arguments.requireNonNegative(slack, "exposure slack");
        Arguments.requirePositive(rollbackMillis, "rollback time");
    }

    /**
     * Returns the share of the requests while the version is judged: half of the limit, since hosts choose
     * independently of each other.
     */
    public double judgingShare() {
        return share / 2;
    }

    /** Returns whether {@code exposed} requests of {@code all} keep the bound. */
    public boolean allows(double exposed, double all) {
        return exposed <= share * all + slack;
    }
}
