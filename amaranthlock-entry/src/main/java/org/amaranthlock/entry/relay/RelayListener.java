package org.amaranthlock.entry.relay;

import org.amaranthlock.entry.peer.EntryPeerMessage;

/** Listener for what becomes of a request at another host. */
public interface RelayListener {
    /** Called if the host is not connected, so that nothing was sent. */
    void onNotSent(String cause);

    /** Called if the connection to the host was closed before the final response. */
    void onLost(String cause);

    /** Called for each response of the host. */
    void onResponse(EntryPeerMessage.RelayResponse response);
}
