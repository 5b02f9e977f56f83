package org.amaranthlock.coordination.forwarding;

/** Says which repeats a route allows. */
public enum RouteKind {
    /** May run any number of times. */
    IDEMPOTENT,
    /** Runs at most once per attempt of the client. */
    NON_IDEMPOTENT,
    /** Event stream; only a resumable one may run again. */
    STREAMING
}
