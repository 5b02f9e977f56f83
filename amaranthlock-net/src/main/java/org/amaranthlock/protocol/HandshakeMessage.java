package org.amaranthlock.protocol;

import java.util.Objects;
import org.amaranthlock.model.HostId;

/**
 * Message that authenticates a connection between two routers.
 *
 * <p>Handshake messages are the first ones on a connection; no other message is accepted before the handshake is
 * complete.
 */
public sealed interface HandshakeMessage {
    /**
     * Identifies the sender and challenges the receiver to prove that it holds the cluster key.
     *
     * @param sender the sending router
     * @param incarnation number that identifies the sender's process
     * @param challenge random bytes; not copied, so the array must not be modified after construction
     */
    record Hello(HostId sender, long incarnation, byte[] challenge) implements HandshakeMessage {
        public Hello {
            Objects.requireNonNull(sender, "sender");
            Objects.requireNonNull(challenge, "challenge");
        }
    }

    /**
     * Proves, in response to the challenge of a {@link Hello}, that the sender holds the cluster key.
     *
     * @param mac message authentication code of both hello messages and the direction under the cluster key; not
     *     copied, so the array must not be modified after construction
     */
    record Proof(byte[] mac) implements HandshakeMessage {
        public Proof {
            Objects.requireNonNull(mac, "mac");
        }
    }
}
