package org.amaranthlock.transport.peer;

import java.security.SecureRandom;
import org.amaranthlock.model.HostId;
import org.amaranthlock.protocol.HandshakeMessage.Hello;

/**
 * Identity by which a router authenticates itself on its peer connections.
 *
 * @param host the router
 * @param incarnation number that identifies the process
 * @param key secret shared by all routers
 */
record PeerIdentity(HostId host, long incarnation, ClusterKey key) {
    private static final SecureRandom RANDOM = new SecureRandom();

    Hello newHello() {
        byte[] challenge = new byte[ClusterKey.challengeLength()];
        RANDOM.nextBytes(challenge);
        return new Hello(host, incarnation, challenge);
    }
}
