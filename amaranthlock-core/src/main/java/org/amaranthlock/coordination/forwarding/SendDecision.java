package org.amaranthlock.coordination.forwarding;

/** Decides whether a request that may crash targets is sent. */
sealed interface SendDecision {
    /** The request is sent. */
    record Send() implements SendDecision {}

    /**
     * The request waits until the target of its last attempt has been probed, or others with a suspect part were tried.
     *
     * @param millis time after which to decide again, in milliseconds
     */
    record Wait(long millis) implements SendDecision {}

    /** The request is not sent any more. */
    record Reject(Rejection rejection) implements SendDecision {}
}
