package org.amaranthlock.coordination.targetlimit;

import java.util.Objects;
import org.amaranthlock.model.Arguments;

/** What a response of a target says about its request rate limit. */
public sealed interface LimitStatement {
    /** The response names no limit. */
    record NotNamed() implements LimitStatement {}

    /**
     * The response names a limit.
     *
     * @param requestsPerSecond requests per second that the target takes from all hosts together; not negative
     */
    record Named(double requestsPerSecond) implements LimitStatement {
        /** Checks that the limit is a non-negative number. */
        public Named {
            Arguments.require(
                    Double.isFinite(requestsPerSecond) && requestsPerSecond >= 0,
                    "requests per second must be a non-negative number: " + requestsPerSecond);
        }
    }

    /**
     * The response names a limit that cannot be used; it changes nothing.
     *
     * @param text the value as received
     */
    record Unusable(String text) implements LimitStatement {
        /** Checks that the text is present. */
        public Unusable {
            Objects.requireNonNull(text, "text");
        }
    }
}
