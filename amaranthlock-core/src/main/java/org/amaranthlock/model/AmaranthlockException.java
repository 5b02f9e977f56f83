package org.amaranthlock.model;

import java.util.Objects;

/** Base class of the exceptions of this project; the message names the remedy. */
public class AmaranthlockException extends RuntimeException {
    private final ErrorCode code;

    /** Creates an exception with an error code and a message. */
    public AmaranthlockException(ErrorCode code, String message) {
        super(message);
        this.code = Objects.requireNonNull(code, "code");
    }

    /** Creates an exception with an error code, a message and a cause. */
    public AmaranthlockException(ErrorCode code, String message, Throwable cause) {
        super(message, cause);
        this.code = Objects.requireNonNull(code, "code");
    }

    /** Returns the error code. */
    public ErrorCode code() {
        return code;
    }
}
