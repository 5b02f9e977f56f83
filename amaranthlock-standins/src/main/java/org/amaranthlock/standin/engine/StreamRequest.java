package org.amaranthlock.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.amaranthlock.standin.HttpProblemException;

/**
 * Body of {@code POST /v1/streams}.
 *
 * @param requestId request id
 * @param attempt number of the attempt
 * @param model wanted model, empty for any
 * @param version wanted version, empty for any
 * @param prompt the prompt
 * @param maxTokens upper bound on the answer's tokens, with the prefix
 * @param seed seed of the sampling
 * @param prefix tokens of the answer that exist already
 * @param priority higher runs first
 */
record StreamRequest(
        String requestId,
        int attempt,
        String model,
        String version,
        String prompt,
        int maxTokens,
        long seed,
        List<String> prefix,
        int priority) {
    /** A prompt with {@code answer-tokens=<n>} ends its answer after n tokens, as a real prompt decides its length. */
    private static final Pattern ANSWER_TOKENS = Pattern.compile("answer-tokens=(\\d{1,7})");

    static StreamRequest parse(JsonNode json) {
        String requestId = json.path("requestId").asText();
        int maxTokens = json.path("maxTokens").asInt();
        if (requestId.isEmpty() || maxTokens <= 0) {
            throw new HttpProblemException(400, "invalid-request", "requestId and a positive maxTokens are required.");
        }
        return new StreamRequest(
                requestId,
                json.path("attempt").asInt(),
                json.path("model").asText(""),
                json.path("version").asText(""),
                json.path("prompt").asText(""),
                maxTokens,
                json.path("seed").asLong(),
                prefix(json.path("prefix")),
                json.path("priority").asInt());
    }

    String streamId() {
        return requestId + "/" + attempt;
    }

    /** Returns the number of tokens of the whole answer. */
    int answerTokens() {
        Matcher matcher = ANSWER_TOKENS.matcher(prompt);
        int wanted = matcher.find() ? Integer.parseInt(matcher.group(1)) : maxTokens;
        return Math.min(wanted, maxTokens);
    }

    /** Returns why the answer ends. */
    String endReason() {
        return answerTokens() < maxTokens ? "stop" : "length";
    }

    /** Returns everything that has to be prefilled. */
    List<String> contextTokens() {
        List<String> tokens = new ArrayList<>(Arrays.asList(prompt.trim().split("\\s+")));
        prefix.forEach(token -> tokens.add(token.trim()));
        return tokens;
    }

    /**
     * Returns the nonce of the generation that the prefix belongs to.
     *
     * @param fresh nonce for a generation without prefix
     * @throws HttpProblemException with status 400 if the prefix is not a run of tokens of one generation from index 0
     */
    String nonce(String fresh) {
        String nonce = prefix.isEmpty() ? fresh : "";
        for (int i = 0; i < prefix.size(); i++) {
            TokenText token = TokenText.parse(prefix.get(i)).orElseThrow(StreamRequest::brokenPrefix);
            nonce = i == 0 ? token.nonce() : nonce;
            if (token.index() != i || !token.nonce().equals(nonce) || !token.belongsTo(seed)) {
                throw brokenPrefix();
            }
        }
        return nonce;
    }

    private static List<String> prefix(JsonNode json) {
        List<String> prefix = new ArrayList<>();
        json.forEach(token -> prefix.add(token.asText()));
        return prefix;
    }

    private static HttpProblemException brokenPrefix() {
        return new HttpProblemException(
                400, "invalid-request", "The prefix must hold the tokens of one generation of this seed from index 0.");
    }
}
