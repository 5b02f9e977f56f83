package org.amaranthlock.model;

import java.util.Objects;

/** Preconditions for method arguments, with messages that name the argument. */
public final class Arguments {
    private Arguments() {}

    /**
     * Returns {@code value} if it contains at least one non-whitespace character.
     *
     * @throws IllegalArgumentException if it is blank
     */
    public static String requireText(String value, String name) {
        Objects.requireNonNull(value, name);
        require(!value.isBlank(), name + " must not be blank");
        return value;
    }

    /** Returns {@code value} if it is not negative. */
    public static long requireNonNegative(long value, String name) {
        require(value >= 0, name + " must not be negative: " + value);
        return value;
    }

    /** Returns {@code value} if it is positive. */
    public static long requirePositive(long value, String name) {
        require(value > 0, name + " must be positive: " + value);
        return value;
    }

    /**
     * Checks a condition on an argument.
     *
     * @throws IllegalArgumentException with {@code message} if the condition is false
     */
    public static void require(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException(message);
        }
    }
}
