package org.amaranthlock.model;

import java.util.Objects;

/**
 * Operator-defined treatment of a kind of work.
 *
 * @param name the name that services refer to
 * @param kind treatment on failure
 * @param maxAttempts upper bound on attempts, at least 1
 * @param priority scheduling priority at the targets, higher runs first
 * @param deadlineMillis default time for a whole request, in milliseconds
 */
public record Profile(String name, ProfileKind kind, int maxAttempts, int priority, long deadlineMillis) {
    public Profile {
        Arguments.requireText(name, "profile name");
        Objects.requireNonNull(kind, "kind");
        Arguments.requirePositive(maxAttempts, "maxAttempts");
        Arguments.requirePositive(deadlineMillis, "deadlineMillis");
    }
}
