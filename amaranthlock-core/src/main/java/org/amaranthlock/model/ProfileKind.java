package org.amaranthlock.model;

/** How requests of a profile are handled on failure. */
public enum ProfileKind {
    /** The response is resumed after the loss of its target or router. */
    KEPT_ALIVE,
    /** The request is executed at most once. */
    AT_MOST_ONCE,
    /** The request may be retried any number of times. */
    RETRIABLE
}
