package org.amaranthlock.model;

/** Final outcome of a request. */
public enum Outcome {
    /** The complete response was sent to the client. */
    COMPLETED,
    /** The request was refused before any part of a response was sent. */
    REFUSED,
    /** The request failed after it had started. */
    FAILED,
    /** The client disconnected and did not reconnect. */
    ABANDONED
}
