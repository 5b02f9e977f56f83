package org.amaranthlock.standin.demo;

import java.util.Optional;
import org.amaranthlock.standin.engine.VerifiableToken;

/** Verifies the tokens of one generated response. Not thread-safe. */
final class TokenSequenceChecker {
    private final long seed;
    private final int expectedTokens;
    private int nextIndex;
    private String nonce;
    private int missingTokens;
    private int duplicateTokens;
    private int foreignTokens;

    /**
     * Creates a checker.
     *
     * @param seed the sampling seed of the request
     * @param expectedTokens the number of tokens of the complete response
     */
    TokenSequenceChecker(long seed, int expectedTokens) {
        this.seed = seed;
        this.expectedTokens = expectedTokens;
    }

    /** Checks the text of an event, which consists of zero or more complete tokens. */
    void accept(String content) {
        for (String word : content.split("(?<= )")) {
            if (!word.isEmpty()) {
                acceptToken(VerifiableToken.parse(word));
            }
        }
    }

    /** Counts the tokens after the last delivered one as missing. Called once, at the end of a complete response. */
    void finishResponse() {
        missingTokens += Math.max(0, expectedTokens - nextIndex);
    }

    /** Restarts at index 0 for a new generation, and keeps the counts. */
    void restart() {
        nextIndex = 0;
        nonce = null;
    }

    /** Returns the index after the last delivered token. */
    int position() {
        return nextIndex;
    }

    /** Returns the number of tokens that were not delivered. */
    int missingTokens() {
        return missingTokens;
    }

    /** Returns the number of tokens that were delivered again or after the end of the response. */
    int duplicateTokens() {
        return duplicateTokens;
    }

    /** Returns the number of tokens of another generation or request, and of words that are not tokens. */
    int foreignTokens() {
        return foreignTokens;
    }

    private void acceptToken(Optional<VerifiableToken> parsed) {
        if (parsed.isEmpty() || !parsed.get().matchesSeed(seed)) {
            foreignTokens++;
            return;
        }
        VerifiableToken token = parsed.get();
        nonce = nonce == null ? token.nonce() : nonce;
        if (!token.nonce().equals(nonce)) {
            foreignTokens++;
        }
        if (token.index() < nextIndex || token.index() >= expectedTokens) {
            duplicateTokens++;
            return;
        }
        missingTokens += token.index() - nextIndex;
        nextIndex = token.index() + 1;
    }
}
