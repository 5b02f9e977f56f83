package org.amaranthlock.faults;

import java.util.List;

/**
 * Tokens that identify the generation they belong to.
 *
 * <p>A token is {@code request fingerprint:position:nonce:nonce of its predecessor}. Two generations of the same
 * request use different nonces, so a response that mixes parts of both does not form a chain.
 */
final class GeneratedText {
    private GeneratedText() {}

    static String token(long fingerprint, List<String> previousTokens, long nonce) {
        String previousNonce =
                previousTokens.isEmpty() ? "start" : previousTokens.getLast().split(":")[2];
        return fingerprint + ":" + previousTokens.size() + ":" + nonce + ":" + previousNonce;
    }

    /** Returns whether a token continues the previous tokens of the same generation. */
    static boolean isContinuation(long fingerprint, List<String> previousTokens, String token) {
        String[] parts = token.split(":");
        return token(fingerprint, previousTokens, Long.parseLong(parts[2])).equals(token);
    }
}
