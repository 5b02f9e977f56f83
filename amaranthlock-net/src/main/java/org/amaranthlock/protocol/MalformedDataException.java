package org.amaranthlock.protocol;

import org.amaranthlock.model.AmaranthlockException;
import org.amaranthlock.model.ErrorCode;

/** Thrown when received or stored bytes do not conform to the expected format. */
public final class MalformedDataException extends AmaranthlockException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with a message. */
    public MalformedDataException(String message) {
        super(ErrorCode.INVALID_REQUEST, message);
    }

    /** Creates an exception with a message and a cause. */
    public MalformedDataException(String message, Throwable cause) {
        super(ErrorCode.INVALID_REQUEST, message, cause);
    }
}
