package org.amaranthlock.transport.peer;

import java.security.SecureRandom;
import org.amaranthlock.model.HostId;
import org.amaranthlock.protocol.HandshakeMessage.Hello;

/**
 * What a router says about itself on every connection.
 *
 * @param host the router
 * @param incarnation number of the process
 * @param key secret of the cluster
 */
record PeerIdentity(HostId host, long incarnation, ClusterKey key) {
    private static final SecureRandom RANDOM = new SecureRandom();

    Hello newHello() {
        byte[] challenge = new byte[ClusterKey.challengeBytes()];
        RANDOM.nextBytes(challenge);
        return new Hello(host, incarnation, challenge);
    }
}
