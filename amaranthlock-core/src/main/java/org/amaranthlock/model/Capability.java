package org.amaranthlock.model;

/** Optional capability of a target. */
public enum Capability {
    /** Rejects a dispatch or order whose fencing number is lower than the highest one it has seen. */
    FENCING,
    /** Reports whether the request with a given idempotency key was executed. */
    RECONCILE,
    /** Allows reattaching to a running stream at a given position. */
    ATTACH,
    /** Continues a response from given tokens. */
    RESUME
}
