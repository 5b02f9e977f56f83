package org.amaranthlock.coordination.forwarding;

/** Retry semantics of the requests of a route. */
public enum RouteKind {
    /** May be executed any number of times. */
    IDEMPOTENT,
    /** Executed at most once per attempt of the client. */
    NON_IDEMPOTENT,
    /** Event stream; executed again only if it is resumable. */
    STREAMING
}
