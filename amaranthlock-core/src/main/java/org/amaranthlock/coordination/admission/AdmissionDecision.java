package org.amaranthlock.coordination.admission;

import org.amaranthlock.model.ErrorCode;

/** Decision on a new request. */
public sealed interface AdmissionDecision {
    /** The request may start now. */
    record Admitted() implements AdmissionDecision {}

    /** The request waits; {@link org.amaranthlock.coordination.RequestEvent.AdmissionGranted} tells when it may start. */
    record Queued() implements AdmissionDecision {}

    /**
     * The request is refused.
     *
     * @param code reason
     * @param detail explanation that names the remedy
     * @param retryAfterMillis when the caller should come back, in milliseconds from now
     */
    record Refused(ErrorCode code, String detail, long retryAfterMillis) implements AdmissionDecision {}
}
