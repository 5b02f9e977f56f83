package org.amaranthlock.model;

/** How requests of a profile are treated when something fails. */
public enum ProfileKind {
    /** The answer goes on after the loss of its target or its router. */
    KEPT_ALIVE,
    /** The request is executed at most once. */
    AT_MOST_ONCE,
    /** The request may be repeated freely. */
    RETRIABLE
}
