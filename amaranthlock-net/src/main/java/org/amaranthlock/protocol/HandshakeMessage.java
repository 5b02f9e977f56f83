package org.amaranthlock.protocol;

import java.util.Objects;
import org.amaranthlock.model.HostId;

/** First messages on a connection between routers; no other message is accepted before them. */
public sealed interface HandshakeMessage {
    /**
     * Names the sender and asks the receiver to prove that it holds the cluster key.
     *
     * @param sender the sending router
     * @param incarnation number of the sender's process
     * @param challenge random bytes; must not be changed by anyone after construction
     */
    record Hello(HostId sender, long incarnation, byte[] challenge) implements HandshakeMessage {
        public Hello {
            Objects.requireNonNull(sender, "sender");
            Objects.requireNonNull(challenge, "challenge");
        }
    }

    /**
     * Answers a {@link Hello}.
     *
     * @param mac message authentication code under the cluster key; must not be changed after construction
     */
    record Proof(byte[] mac) implements HandshakeMessage {
        public Proof {
            Objects.requireNonNull(mac, "mac");
        }
    }
}
