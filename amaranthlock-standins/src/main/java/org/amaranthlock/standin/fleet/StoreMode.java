package org.amaranthlock.standin.fleet;

/** How the store behaves towards its callers. */
public enum StoreMode {
    /** Answers. */
    UP,
    /** Refuses each call with 503. */
    BUSY,
    /** Closes the connection without an answer. */
    RESET
}
