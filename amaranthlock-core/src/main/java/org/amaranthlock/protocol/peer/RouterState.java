package org.amaranthlock.protocol.peer;

/** State of a router in the membership, ordered by how strongly it overrides at the same incarnation. */
public enum RouterState {
    ALIVE,
    SUSPECT,
    LEAVING,
    DEAD
}
