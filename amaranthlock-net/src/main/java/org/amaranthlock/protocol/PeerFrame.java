package org.amaranthlock.protocol;

import java.util.Objects;
import org.amaranthlock.model.HostId;
import org.amaranthlock.protocol.peer.PeerMessage;

/**
 * A message between routers with its envelope.
 *
 * @param sender the sending router
 * @param incarnation number of the sender's process
 * @param hybridTime time at the sender, see {@link HybridClock}
 * @param message the message
 */
public record PeerFrame(HostId sender, long incarnation, long hybridTime, PeerMessage message) {
    public PeerFrame {
        Objects.requireNonNull(sender, "sender");
        Objects.requireNonNull(message, "message");
    }
}
