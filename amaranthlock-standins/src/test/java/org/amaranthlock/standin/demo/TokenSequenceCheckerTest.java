package org.amaranthlock.standin.demo;

import static com.google.common.truth.Truth.assertThat;

import org.amaranthlock.standin.engine.VerifiableToken;
import org.junit.jupiter.api.Test;

class TokenSequenceCheckerTest {
    private static final long SEED = 7;

    private final TokenSequenceChecker checker = new TokenSequenceChecker(SEED, 4);

    // Guards against a checker that rejects correct answers with several tokens per event.
    @Test
    void aWholeAnswerOfOneGenerationPasses() {
        checker.accept(token(0, "a") + token(1, "a"));
        checker.accept("");
        checker.accept(token(2, "a") + token(3, "a"));
        assertCounts(0, 0, 0);
    }

    // Guards against a checker that overlooks a missing token inside or at the end of an answer.
    @Test
    void missingTokensAreDetected() {
        checker.accept(token(0, "a") + token(2, "a"));
        assertCounts(2, 0, 0);
    }

    // Guards against a checker that overlooks tokens that are delivered again after a reconnect.
    @Test
    void repeatedTokensAreDetected() {
        checker.accept(token(0, "a") + token(1, "a"));
        checker.accept(token(1, "a") + token(2, "a") + token(3, "a") + token(4, "a"));
        assertCounts(0, 2, 0);
    }

    // Guards against a checker that overlooks tokens of a second generation at the right positions.
    @Test
    void tokensOfASecondGenerationAreDetected() {
        checker.accept(token(0, "a") + token(1, "a") + token(2, "b") + token(3, "b"));
        assertCounts(0, 0, 2);
    }

    // Guards against a checker that accepts the answer to another request, or text of no engine.
    @Test
    void tokensOfAnotherRequestAreDetected() {
        checker.accept(token(0, "a") + VerifiableToken.of(SEED + 1, 1, "a").text() + "what ");
        assertCounts(3, 0, 2);
    }

    private void assertCounts(int missing, int repeated, int mixed) {
        checker.finish();
        assertThat(checker.missingTokens()).isEqualTo(missing);
        assertThat(checker.duplicateTokens()).isEqualTo(repeated);
        assertThat(checker.foreignTokens()).isEqualTo(mixed);
    }

    private static String token(int index, String nonce) {
        return VerifiableToken.of(SEED, index, nonce).text();
    }
}
