package org.amaranthlock.coordination.forwarding;

import org.amaranthlock.model.AmaranthlockException;
import org.amaranthlock.model.ErrorCode;

/** A target sent an event stream that cannot be forwarded; the stream has to be resumed on another one. */
public final class MalformedStreamException extends AmaranthlockException {
    /** Reason for an event without a numeric id, after which a stream cannot resume. */
    public static final String NO_NUMBER = "event without a number";

    private static final long serialVersionUID = 1L;

    private final String reason;

    /** Creates an exception with the reason that logs and clients get. */
    public MalformedStreamException(String reason) {
        this(reason, null);
    }

    /** Creates an exception with the reason that logs and clients get, and a cause. */
    public MalformedStreamException(String reason, Throwable cause) {
        super(ErrorCode.TARGET_FAILED, reason + "; resume the stream on another target", cause);
        this.reason = reason;
    }

    /** Returns the reason, without the remedy. */
    public String reason() {
        return reason;
    }
}
