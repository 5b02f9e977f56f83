package org.amaranthlock.coordination.contention;

import java.util.Objects;
import org.amaranthlock.model.Arguments;

/** Verdict on a request that has not been sent to a target. */
public sealed interface AdmissionVerdict {
    /** The request is to be sent now. */
    record Start() implements AdmissionVerdict {}

    /**
     * The request waits at this host.
     *
     * @param startsInMillis time after which it is predicted to be sent, in milliseconds
     */
    record Wait(long startsInMillis) implements AdmissionVerdict {}

    /**
     * The request is rejected; it has not run.
     *
     * @param reason stable identifier for logs and metrics
     * @param retryAfterMillis time after which the client should return, in milliseconds
     * @param startsInMillis time after which it would have been sent, in milliseconds
     * @param queueLength number of requests for its service that wait at this host
     * @param share this host's share of the engines' room, from 0 to 1
     * @param accountShare share of the request's account in the work that all hosts have recently started, from 0 to 1
     */
    record TurnAway(
            String reason,
            long retryAfterMillis,
            long startsInMillis,
            int queueLength,
            double share,
            double accountShare)
            implements AdmissionVerdict {
        public TurnAway {
            Objects.requireNonNull(reason, "reason");
            Arguments.requireNonNegative(retryAfterMillis, "retry delay");
        }
    }
}
