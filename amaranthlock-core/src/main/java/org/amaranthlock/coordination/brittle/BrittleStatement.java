package org.amaranthlock.coordination.brittle;

import java.util.Objects;
import org.amaranthlock.model.Arguments;

/** What a response of a target says about how many rejections the target survives. */
public sealed interface BrittleStatement {
    /** The response says nothing. */
    record NotNamed() implements BrittleStatement {}

    /**
     * The target fails if it rejects more requests.
     *
     * @param rejectionsPerSecond requests that it may reject within a second for want of room; not negative
     */
    record Named(int rejectionsPerSecond) implements BrittleStatement {
        /** Checks that the number is not negative. */
        public Named {
            Arguments.requireNonNegative(rejectionsPerSecond, "rejections per second");
        }
    }

    /**
     * The response names a number that cannot be used; it changes nothing.
     *
     * @param text the value as received
     */
    record Unusable(String text) implements BrittleStatement {
        /** Checks that the text is present. */
        public Unusable {
            Objects.requireNonNull(text, "text");
        }
    }
}
