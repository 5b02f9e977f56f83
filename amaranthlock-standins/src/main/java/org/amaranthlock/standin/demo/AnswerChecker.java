package org.amaranthlock.standin.demo;

import java.util.Optional;
import org.amaranthlock.standin.engine.TokenText;

/** Checks one generated answer token by token; used by one thread. */
final class AnswerChecker {
    private final long seed;
    private final int expectedTokens;
    private int next;
    private String nonce;
    private int missing;
    private int repeated;
    private int mixed;

    /**
     * Creates a checker.
     *
     * @param seed seed that the caller asked for
     * @param expectedTokens tokens of the whole answer
     */
    AnswerChecker(long seed, int expectedTokens) {
        this.seed = seed;
        this.expectedTokens = expectedTokens;
    }

    /** Checks the text of one event, which holds one or several whole tokens. */
    void accept(String content) {
        for (String word : content.split("(?<= )")) {
            if (!word.isEmpty()) {
                acceptToken(TokenText.parse(word));
            }
        }
    }

    /** Counts the tokens behind the last delivered one as missing; called once, at the end of a complete answer. */
    void finish() {
        missing += Math.max(0, expectedTokens - next);
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
    int missing() {
        return missing;
    }

    /** Returns the number of tokens that were delivered again, or behind the end of the answer. */
    int repeated() {
        return repeated;
    }

    /** Returns the number of tokens of another generation or request, and of texts that are no token. */
    int mixed() {
        return mixed;
    }

    private void acceptToken(Optional<TokenText> parsed) {
        if (parsed.isEmpty() || !parsed.get().belongsTo(seed)) {
            mixed++;
            return;
        }
        TokenText token = parsed.get();
        nonce = nonce == null ? token.nonce() : nonce;
        if (!token.nonce().equals(nonce)) {
            mixed++;
        }
        if (token.index() < next || token.index() >= expectedTokens) {
            repeated++;
            return;
        }
        missing += token.index() - next;
        next = token.index() + 1;
    }
}
