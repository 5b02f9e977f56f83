package org.amaranthlock.standin.fleet;

/** Behaviour of the store towards its clients. */
public enum StoreMode {
    /** Serves calls normally. */
    AVAILABLE,
    /** Rejects each call with 503. */
    UNAVAILABLE,
    /** Closes the connection without executing the call. */
    DROPS_CONNECTIONS,
    /** Executes the call and closes the connection without a response. */
    DROPS_RESPONSES,
    /** Delays each response by half a second. */
    SLOW
}
