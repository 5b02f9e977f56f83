package org.amaranthlock.entry.explain;

import java.util.Objects;

/** Thrown when a request cannot be explained; the message names the remedy. */
public final class ExplainException extends RuntimeException {
    private static final long serialVersionUID = 1;

    private final ExplainError error;

    /** Creates an exception with a message for the operator. */
    public ExplainException(ExplainError error, String message) {
        super(message);
        this.error = Objects.requireNonNull(error, "error");
    }

    /** Returns why the request cannot be explained. */
    public ExplainError error() {
        return error;
    }
}
