package org.amaranthlock.model;

/** How a request ended. */
public enum Outcome {
    /** The caller was sent the whole answer. */
    COMPLETED,
    /** The request was refused before any part of an answer was sent. */
    REFUSED,
    /** The request failed after it had started. */
    FAILED,
    /** The caller left and did not return. */
    ABANDONED
}
