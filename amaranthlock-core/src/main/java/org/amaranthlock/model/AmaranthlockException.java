package org.amaranthlock.model;

import java.util.Objects;

/** Root of all exceptions of this project; the message names the remedy. */
public class AmaranthlockException extends RuntimeException {
    private final ErrorCode code;

    /** Creates an exception. */
    public AmaranthlockException(ErrorCode code, String message) {
        super(message);
        this.code = Objects.requireNonNull(code, "code");
    }

    /** Creates an exception with a cause. */
    public AmaranthlockException(ErrorCode code, String message, Throwable cause) {
        super(message, cause);
        this.code = Objects.requireNonNull(code, "code");
    }

    /** Returns the stable code. */
    public ErrorCode code() {
        return code;
    }
}
