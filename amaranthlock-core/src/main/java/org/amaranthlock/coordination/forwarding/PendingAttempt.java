package org.amaranthlock.coordination.forwarding;

import java.util.Objects;

/**
 * Attempt that waits for the check of its target.
 *
 * @param destination target, and the copy from which it resumes
 * @param cause reason for the attempt
 */
record PendingAttempt(RetryTargets.Destination destination, String cause) {
    PendingAttempt {
        Objects.requireNonNull(destination, "destination");
        Objects.requireNonNull(cause, "cause");
    }
}
