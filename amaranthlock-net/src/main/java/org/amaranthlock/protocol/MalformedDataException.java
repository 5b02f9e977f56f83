package org.amaranthlock.protocol;

import org.amaranthlock.model.AmaranthlockException;
import org.amaranthlock.model.ErrorCode;

/** Received bytes do not follow the format that was expected. */
public final class MalformedDataException extends AmaranthlockException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception. */
    public MalformedDataException(String message) {
        super(ErrorCode.INVALID_REQUEST, message);
    }

    /** Creates an exception with a cause. */
    public MalformedDataException(String message, Throwable cause) {
        super(ErrorCode.INVALID_REQUEST, message, cause);
    }
}
