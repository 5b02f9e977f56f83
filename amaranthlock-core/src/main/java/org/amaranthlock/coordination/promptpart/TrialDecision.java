package org.amaranthlock.coordination.promptpart;

/** Decides whether a request may be sent to a target although parts of its prompt may crash it. */
public sealed interface TrialDecision {
    /** The request may be sent. */
    record Granted() implements TrialDecision {}

    /**
     * The request waits, because another one with a suspect part is being tried or its own trial was just announced.
     *
     * @param millis time after which to ask again, in milliseconds
     */
    record Wait(long millis) implements TrialDecision {}

    /**
     * The request is not sent, because a part of its prompt crashes targets.
     *
     * @param retryAfterMillis time after which a request with the part is tried again, in milliseconds
     */
    record Rejected(long retryAfterMillis) implements TrialDecision {}
}
