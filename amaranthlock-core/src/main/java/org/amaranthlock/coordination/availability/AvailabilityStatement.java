package org.amaranthlock.coordination.availability;

import java.util.Objects;

/**
 * What a response says about whether its target takes further requests.
 *
 * @param leaving whether the target is about to leave
 * @param rest for how long it wants no request from this host
 */
public record AvailabilityStatement(boolean leaving, RestStatement rest) {
    /** Response that says nothing. */
    public static final AvailabilityStatement NONE = new AvailabilityStatement(false, new RestStatement.NotAsked());

    public AvailabilityStatement {
        Objects.requireNonNull(rest, "rest");
    }
}
