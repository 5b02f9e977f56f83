package org.amaranthlock.faults;

import java.util.List;

/**
 * Tokens that name the generation they belong to.
 *
 * <p>A token is {@code request fingerprint:position:own nonce:nonce of its predecessor}. Two generations of the same
 * request use different nonces, so an answer that joins parts of both does not form a chain.
 */
final class GeneratedText {
    private GeneratedText() {}

    static String token(long fingerprint, List<String> before, long nonce) {
        String previous = before.isEmpty() ? "start" : before.getLast().split(":")[2];
        return fingerprint + ":" + before.size() + ":" + nonce + ":" + previous;
    }

    /** Tells whether a token follows the tokens before it in the same generation. */
    static boolean isContinuation(long fingerprint, List<String> before, String token) {
        String[] parts = token.split(":");
        return token(fingerprint, before, Long.parseLong(parts[2])).equals(token);
    }
}
