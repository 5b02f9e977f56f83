package org.amaranthlock.coordination.region;

import org.amaranthlock.model.Arguments;

/**
 * What a request that crosses the link to a target's region has to expect.
 *
 * @param millis time by which it is answered later than by the same target in this host's region, in milliseconds
 * @param requestsPerMilli requests per millisecond that the hosts of the target's region are expected to send there
 */
public record Crossing(double millis, double requestsPerMilli) {
    /** A target in this host's region. */
    public static final Crossing NONE = new Crossing(0, 0);

    /** Checks that neither is negative. */
    public Crossing {
        Arguments.require(millis >= 0, "time must not be negative");
        Arguments.require(requestsPerMilli >= 0, "rate must not be negative");
    }
}
