package org.amaranthlock.protocol.peer;

/** Membership state of a router, in ascending order of precedence within the same incarnation. */
public enum RouterState {
    ALIVE,
    SUSPECT,
    LEAVING,
    DEAD
}
