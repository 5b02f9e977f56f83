package org.amaranthlock.entry.control;

import java.util.Set;
import org.amaranthlock.entry.peer.EntryPeerMessage;

/** Sends queries to the other hosts of the failure domain. */
public interface PeerQueries {
    /** Returns the names of the connected hosts. */
    Set<String> connectedPeers();

    /**
     * Sends a query to a host.
     *
     * @return whether the host is connected; if not, nothing is sent
     */
    boolean sendQuery(String peer, EntryPeerMessage query);

    /** Closes the connection to an unresponsive host, so that a new one is opened. */
    void reset(String peer);
}
