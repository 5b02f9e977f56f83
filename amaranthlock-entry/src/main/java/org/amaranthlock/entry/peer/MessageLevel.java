package org.amaranthlock.entry.peer;

/**
 * Levels of the messages between hosts, for hosts of different builds that run side by side.
 *
 * <p>A host is told the level of another one by {@link EntryPeerMessage.MessageLevelTold}, on the connection that it
 * opened itself, and sends it no messages of a higher level. The level in a load report only says whether its sender
 * understands that answer. Within a level, fields are only appended to a message: an older host ignores them, and a
 * newer one uses a default if they are missing.
 */
final class MessageLevel {
    /** Level of hosts that name none. */
    static final int FIRST = 0;

    /** Messages on the software versions of event streams. */
    static final int STREAM_VERSIONS = 1;

    /** Load reports that hosts pass on, and checks of connections. */
    static final int REPORT_BUNDLES = 2;

    /** Orders, grants and evidence of roll-outs. */
    static final int ROLLOUTS = 3;

    /** Start state, which a starting host receives from another one instead of reading the store. */
    static final int START_FROM_PEERS = 4;

    /** Reservations of engines. */
    static final int RESERVATIONS = 5;

    /** Configuration objects, which one host of a region reads over the link to the store for the others. */
    static final int CONFIGURATION_FETCHES = 6;

    /** Level of this build. */
    static final int CURRENT = CONFIGURATION_FETCHES;

    private MessageLevel() {}
}
