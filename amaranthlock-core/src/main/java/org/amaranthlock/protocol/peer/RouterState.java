package org.amaranthlock.protocol.peer;

/** Membership state of a router, in ascending order of precedence among updates with the same refutation counter. */
public enum RouterState {
    ALIVE,
    SUSPECT,
    LEAVING,
    DEAD
}
