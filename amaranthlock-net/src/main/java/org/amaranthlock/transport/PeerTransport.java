package org.amaranthlock.transport;

import org.amaranthlock.model.HostId;
import org.amaranthlock.protocol.peer.PeerMessage;

/**
 * Exchanges messages with other routers over TCP; messages to one router keep their order while its connection lasts.
 *
 * <p>Received messages become {@code PeerReceived} events. If no connection can be made, the messages are dropped and
 * one {@code PeerUnreachable} event is raised.
 */
public interface PeerTransport extends Lifecycle {
    /**
     * Queues a message; never blocks.
     *
     * <p>Only the process {@code to} gets it; a message to {@link HostId#unknownAt} goes to whichever router listens at
     * the address.
     */
    void send(HostId to, String address, PeerMessage message);

    /** Returns the IP number and port that other routers reach this one at; valid after the start. */
    String localAddress();
}
