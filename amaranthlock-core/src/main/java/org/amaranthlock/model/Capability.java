package org.amaranthlock.model;

/** What a target can do beyond executing requests. */
public enum Capability {
    /** Refuses a dispatch or order whose fencing number is lower than the highest it has seen. */
    FENCING,
    /** Tells whether a given idempotency key was executed. */
    RECONCILE,
    /** Lets a stream be attached to again at a given position. */
    ATTACH,
    /** Goes on with an answer from given tokens. */
    RESUME
}
