package org.amaranthlock.transport.peer;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.amaranthlock.model.Arguments;
import org.amaranthlock.protocol.HandshakeMessage.Hello;

/** Proves and checks that a peer holds the secret of the cluster. Thread-safe. */
final class ClusterKey {
    private static final String ALGORITHM = "HmacSHA256";
    private static final int CHALLENGE_BYTES = 32;

    private final SecretKeySpec key;

    ClusterKey(byte[] secret) {
        Arguments.require(secret.length > 0, "the cluster key must not be empty; set it in the settings");
        key = new SecretKeySpec(secret, ALGORITHM);
    }

    static int challengeBytes() {
        return CHALLENGE_BYTES;
    }

    /**
     * Returns the proof of the router that sent {@code prover} to the one that sent {@code verifier}.
     *
     * <p>It covers both messages and the direction, so a proof can't be replayed or reflected to its sender.
     *
     * @param proverDialed whether the prover opened the connection
     */
    byte[] proof(Hello prover, Hello verifier, boolean proverDialed) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(key);
            mac.update((byte) (proverDialed ? 1 : 2));
            update(mac, verifier);
            update(mac, prover);
            return mac.doFinal();
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("this Java runtime lacks " + ALGORITHM, e);
        }
    }

    boolean accepts(byte[] proof, Hello prover, Hello verifier, boolean proverDialed) {
        return MessageDigest.isEqual(proof, proof(prover, verifier, proverDialed));
    }

    private static void update(Mac mac, Hello hello) {
        byte[] sender = hello.sender().value().getBytes(StandardCharsets.UTF_8);
        mac.update(ByteBuffer.allocate(Integer.BYTES + Long.BYTES)
                .putInt(sender.length)
                .putLong(hello.incarnation())
                .flip());
        mac.update(sender);
        mac.update(hello.challenge());
    }
}
