package org.amaranthlock.protocol;

import java.util.Objects;
import org.amaranthlock.model.HostId;
import org.amaranthlock.protocol.peer.PeerMessage;

/**
 * Message between two routers, with the sender and the time of sending.
 *
 * @param sender the sending router
 * @param incarnation number that identifies the sender's process
 * @param hybridTime timestamp of the sender's {@link HybridClock}
 * @param message the message
 */
public record PeerFrame(HostId sender, long incarnation, long hybridTime, PeerMessage message) {
    public PeerFrame {
        Objects.requireNonNull(sender, "sender");
        Objects.requireNonNull(message, "message");
    }
}
