package org.amaranthlock.standin.fleet;

/** How the store behaves towards its callers. */
public enum StoreMode {
    /** Answers. */
    AVAILABLE,
    /** Refuses each call with 503. */
    UNAVAILABLE,
    /** Closes the connection without an answer. */
    DROPS_CONNECTIONS,
    /** Does what a call asks for and closes the connection without an answer. */
    DROPS_RESPONSES,
    /** Answers half a second late. */
    SLOW
}
