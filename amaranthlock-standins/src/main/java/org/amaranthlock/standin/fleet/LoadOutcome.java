package org.amaranthlock.standin.fleet;

/** Outcome of a request for the client that sent it. */
public enum LoadOutcome {
    /** The complete response arrived on one connection. */
    COMPLETE,
    /** The complete stream arrived over more than one connection. */
    RESUMED,
    /** No attempt succeeded before the client gave up; for an order, none of them ran. */
    REFUSED,
    /** It is unknown whether the order ran. */
    UNKNOWN,
    /** The stream was never completed. */
    LOST_STREAM,
    /** The response differed from the expected one. */
    WRONG
}
