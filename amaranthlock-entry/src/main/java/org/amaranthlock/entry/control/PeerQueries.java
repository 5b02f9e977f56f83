package org.amaranthlock.entry.control;

import java.util.Set;
import org.amaranthlock.entry.peer.EntryPeerMessage;

/** Links to the other hosts of the failure domain. */
public interface PeerQueries {
    /** Returns the names of the hosts to which there is a link. */
    Set<String> connected();

    /** Sends a question; returns whether there is a link to the host. */
    boolean sendQuery(String peer, EntryPeerMessage question);

    /** Closes the link to a host that does not answer, so that it is opened anew. */
    void reset(String peer);
}
