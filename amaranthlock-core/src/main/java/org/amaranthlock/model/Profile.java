package org.amaranthlock.model;

import java.util.Objects;

/**
 * Operator-defined policy for requests, shared by the services that refer to it.
 *
 * @param name the name that services refer to
 * @param kind how requests are handled on failure
 * @param maxAttempts upper bound on attempts, at least 1
 * @param priority scheduling priority at the targets; higher priorities run first
 * @param deadlineMillis default time limit for a request, in milliseconds
 */
public record Profile(String name, ProfileKind kind, int maxAttempts, int priority, long deadlineMillis) {
    public Profile {
        Arguments.requireText(name, "profile name");
        Objects.requireNonNull(kind, "kind");
        Arguments.requirePositive(maxAttempts, "maxAttempts");
        Arguments.requirePositive(deadlineMillis, "deadlineMillis");
    }
}
