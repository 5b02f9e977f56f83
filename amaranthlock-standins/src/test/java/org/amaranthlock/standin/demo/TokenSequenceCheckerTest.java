package org.amaranthlock.standin.demo;

import static com.google.common.truth.Truth.assertThat;

import org.amaranthlock.standin.engine.VerifiableToken;
import org.junit.jupiter.api.Test;

class TokenSequenceCheckerTest {
    private static final long SEED = 7;

    private final TokenSequenceChecker checker = new TokenSequenceChecker(SEED, 4);

    // Guards against a checker that rejects a correct response with several tokens per event.
    @Test
    void completeResponseOfOneGenerationPasses() {
        checker.accept(token(0, "a") + token(1, "a"));
        checker.accept("");
        checker.accept(token(2, "a") + token(3, "a"));
        assertCounts(0, 0, 0);
    }

    // Guards against a checker that does not detect a missing token within or at the end of a response.
    @Test
    void missingTokensAreDetected() {
        checker.accept(token(0, "a") + token(2, "a"));
        assertCounts(2, 0, 0);
    }

    // Guards against a checker that does not detect tokens that are delivered again after a reconnect.
    @Test
    void duplicateTokensAreDetected() {
        checker.accept(token(0, "a") + token(1, "a"));
        checker.accept(token(1, "a") + token(2, "a") + token(3, "a") + token(4, "a"));
        assertCounts(0, 2, 0);
    }

    // Guards against a checker that does not detect tokens of a second generation at the right positions.
    @Test
    void tokensOfSecondGenerationAreDetected() {
        checker.accept(token(0, "a") + token(1, "a") + token(2, "b") + token(3, "b"));
        assertCounts(0, 0, 2);
    }

    // Guards against a checker that accepts the response to another request or text that no engine generated.
    @Test
    void tokensOfAnotherRequestAreDetected() {
        checker.accept(token(0, "a") + VerifiableToken.of(SEED + 1, 1, "a").text() + "what ");
        assertCounts(3, 0, 2);
    }

    private void assertCounts(int missing, int duplicate, int foreign) {
        checker.finishResponse();
        assertThat(checker.missingTokens()).isEqualTo(missing);
        assertThat(checker.duplicateTokens()).isEqualTo(duplicate);
        assertThat(checker.foreignTokens()).isEqualTo(foreign);
    }

    private static String token(int index, String nonce) {
        return VerifiableToken.of(SEED, index, nonce).text();
    }
}
