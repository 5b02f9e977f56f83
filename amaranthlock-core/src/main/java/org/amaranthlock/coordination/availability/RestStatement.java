package org.amaranthlock.coordination.availability;

import org.amaranthlock.model.Arguments;

/** What a response says about a time for which its target wants no request from this host. */
public sealed interface RestStatement {
    /** The response asks for no rest. */
    record NotAsked() implements RestStatement {}

    /**
     * The target asks for a rest.
     *
     * @param millis duration from the response on, in milliseconds
     */
    record Asked(long millis) implements RestStatement {
        /** Checks the duration. */
        public Asked {
            Arguments.requireNonNegative(millis, "rest");
        }
    }

    /**
     * The target asks for a rest of a duration that cannot be read.
     *
     * @param text value as it was sent
     */
    record Unusable(String text) implements RestStatement {}
}
