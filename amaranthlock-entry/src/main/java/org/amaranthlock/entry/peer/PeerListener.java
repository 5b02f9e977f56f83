package org.amaranthlock.entry.peer;

import java.util.function.Consumer;

/** Listener for messages of other entry hosts. All calls are on the control loop. */
public interface PeerListener {
    /**
     * Called when another host has sent a message on a connection that it opened.
     *
     * @param reply sends a message back on the same connection, from any thread; the same object for each message
     */
    void onMessage(EntryPeerMessage message, Consumer<EntryPeerMessage> reply);

    /** Called when a connection that another host opened is closed; {@code reply} is that of its messages. */
    void onInboundClosed(Consumer<EntryPeerMessage> reply);

    /** Called when another host has responded to a query of this host. */
    void onResponse(EntryPeerMessage.Response response);

    /** Called when a connection to a host has been opened. */
    void onConnectionOpened(String peer);

    /** Called when a host has told for the first time, or differently than before, which messages it reads. */
    void onMessageLevelChanged(String peer);

    /** Called when the connection to a host is closed; pending queries on it get no response. */
    void onConnectionClosed(String peer);
}
