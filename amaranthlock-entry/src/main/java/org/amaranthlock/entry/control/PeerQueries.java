package org.amaranthlock.entry.control;

import java.util.Set;
import org.amaranthlock.entry.peer.EntryPeerMessage;

/** Sends queries to other hosts: to all of the fleet, or to those among which one reads the store for the others. */
public interface PeerQueries {
    /** Returns the names of the connected hosts. */
    Set<String> connectedPeers();

    /** Returns the names of the connected hosts of this host's failure domain. */
    default Set<String> connectedDomainPeers() {
        return connectedPeers();
    }

    /**
     * Sends a query to a host.
     *
     * @return whether the host is connected; if not, nothing is sent
     */
    boolean sendQuery(String peer, EntryPeerMessage query);

    /** Returns whether the store is beyond a link between regions, so that each object crosses it only once. */
    default boolean isStoreRemote() {
        return false;
    }

    /** Closes the connection to an unresponsive host, so that a new one is opened. */
    void reset(String peer);
}
