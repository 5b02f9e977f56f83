package org.amaranthlock.standin.demo;

import java.util.Optional;
import org.amaranthlock.standin.engine.VerifiableToken;

/** Checks one generated answer token by token; used by one thread. */
final class TokenSequenceChecker {
    private final long seed;
    private final int expectedTokens;
    private int next;
    private String nonce;
    private int missingTokens;
    private int duplicateTokens;
    private int foreignTokens;

    /**
     * Creates a checker.
     *
     * @param seed seed that the caller asked for
     * @param expectedTokens tokens of the whole answer
     */
    TokenSequenceChecker(long seed, int expectedTokens) {
        this.seed = seed;
        this.expectedTokens = expectedTokens;
    }

    /** Checks the text of one event, which holds one or several whole tokens. */
    void accept(String content) {
        for (String word : content.split("(?<= )")) {
            if (!word.isEmpty()) {
                acceptToken(VerifiableToken.parse(word));
            }
        }
    }

    /** Counts the tokens behind the last delivered one as missing; called once, at the end of a complete answer. */
    void finish() {
        missingTokens += Math.max(0, expectedTokens - next);
    }

    /** Starts over for a new generation; the counts go on. */
    void restart() {
        next = 0;
        nonce = null;
    }

    /** Returns the number of tokens up to the last delivered one. */
    int position() {
        return next;
    }

    /** Returns the number of tokens that were left out. */
    int missingTokens() {
        return missingTokens;
    }

    /** Returns the number of tokens that were delivered again, or behind the end of the answer. */
    int duplicateTokens() {
        return duplicateTokens;
    }

    /** Returns the number of tokens of another generation or request, and of texts that are no token. */
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
        if (token.index() < next || token.index() >= expectedTokens) {
            duplicateTokens++;
            return;
        }
        missingTokens += token.index() - next;
        next = token.index() + 1;
    }
}
