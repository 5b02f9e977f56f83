package org.amaranthlock.transport;

import org.amaranthlock.model.HostId;
import org.amaranthlock.protocol.peer.PeerMessage;

/**
 * Exchanges messages with other routers over TCP.
 *
 * <p>Messages to one router keep their order while its connection lasts. Received messages are published as
 * {@code PeerReceived} events. If no connection can be established, the queued messages are dropped and one
 * {@code PeerUnreachable} event is published. Delivery is not acknowledged: a message that was written to a connection
 * before it broke may be lost without an event.
 */
public interface PeerTransport extends Lifecycle {
    /**
     * Queues a message; never blocks.
     *
     * <p>It is delivered only to the process {@code to}; a message to {@link HostId#unknownAt} is delivered to any
     * router that listens at the address.
     */
    void send(HostId to, String address, PeerMessage message);

    /** Returns the IP address and port on which this transport listens; valid after {@link #start()}. */
    String localAddress();
}
