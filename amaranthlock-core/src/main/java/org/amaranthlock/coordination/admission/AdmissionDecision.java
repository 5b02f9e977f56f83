package org.amaranthlock.coordination.admission;

import org.amaranthlock.model.ErrorCode;

/** Decision on a new request. */
public sealed interface AdmissionDecision {
    /** The request may start now. */
    record Admitted() implements AdmissionDecision {}

    /**
     * The request is queued; {@link org.amaranthlock.coordination.RequestEvent.AdmissionGranted} is raised when it may
     * start.
     */
    record Queued() implements AdmissionDecision {}

    /**
     * The request is refused.
     *
     * @param code reason of the refusal
     * @param detail explanation that names the remedy
     * @param retryAfterMillis delay after which the client should retry, in milliseconds
     */
    record Refused(ErrorCode code, String detail, long retryAfterMillis) implements AdmissionDecision {}
}
