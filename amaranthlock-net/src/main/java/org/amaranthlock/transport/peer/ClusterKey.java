package org.amaranthlock.transport.peer;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.amaranthlock.model.Arguments;
import org.amaranthlock.protocol.HandshakeMessage.Hello;

/**
 * Secret key shared by all routers; computes and verifies the proofs by which two routers show each other that they
 * hold it. Thread-safe.
 */
final class ClusterKey {
    private static final String MAC_ALGORITHM = "HmacSHA256";
    private static final int CHALLENGE_LENGTH_BYTES = 32;

    private final SecretKeySpec key;

    ClusterKey(byte[] secret) {
        Arguments.require(secret.length > 0, "the cluster key is empty; set peer.cluster-key in the settings");
        key = new SecretKeySpec(secret, MAC_ALGORITHM);
    }

    static int challengeLength() {
        return CHALLENGE_LENGTH_BYTES;
    }

    /**
     * Computes the proof that the sender of {@code prover} sends to the sender of {@code verifier}.
     *
     * <p>The proof covers both hello messages and the direction, so it can't be replayed or reflected to its sender.
     *
     * @param proverIsInitiator whether the prover opened the connection
     */
    byte[] computeProof(Hello prover, Hello verifier, boolean proverIsInitiator) {
        try {
            Mac mac = Mac.getInstance(MAC_ALGORITHM);
            mac.init(key);
            mac.update((byte) (proverIsInitiator ? 1 : 2));
            updateWithHello(mac, verifier);
            updateWithHello(mac, prover);
            return mac.doFinal();
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("this Java runtime does not support " + MAC_ALGORITHM, e);
        }
    }

    boolean verifyProof(byte[] proof, Hello prover, Hello verifier, boolean proverIsInitiator) {
        return MessageDigest.isEqual(proof, computeProof(prover, verifier, proverIsInitiator));
    }

    private static void updateWithHello(Mac mac, Hello hello) {
        byte[] sender = hello.sender().value().getBytes(StandardCharsets.UTF_8);
        mac.update(ByteBuffer.allocate(Integer.BYTES + Long.BYTES)
                .putInt(sender.length)
                .putLong(hello.incarnation())
                .flip());
        mac.update(sender);
        mac.update(hello.challenge());
    }
}
