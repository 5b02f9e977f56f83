package org.amaranthlock.coordination.targetlimit;

import java.util.Objects;
import org.amaranthlock.model.Arguments;
import org.amaranthlock.model.TargetId;

/** Answer to a {@link PermitRequest}. */
public sealed interface PermitDecision {
    /**
     * One request may be sent to a target.
     *
     * @param target the target, one of those that the request named
     */
    record Granted(TargetId target) implements PermitDecision {
        /** Checks that the target is present. */
        public Granted {
            Objects.requireNonNull(target, "target");
        }
    }

    /**
     * No target has room.
     *
     * @param retryAfterMillis time after which one is expected to have room, in milliseconds
     */
    record Denied(long retryAfterMillis) implements PermitDecision {
        /** Checks that the time is not negative. */
        public Denied {
            Arguments.requireNonNegative(retryAfterMillis, "retry after");
        }
    }
}
