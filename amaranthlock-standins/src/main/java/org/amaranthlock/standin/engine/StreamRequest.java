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
 * @param requestId the request id
 * @param attempt the number of the attempt
 * @param model the required model, or an empty string for any
 * @param version the required version, or an empty string for any
 * @param prompt the prompt
 * @param maxTokens the maximum number of tokens of the response, including the prefix
 * @param seed the sampling seed
 * @param prefix the tokens of the response that have already been generated
 * @param priority the priority; higher values run first
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
    /**
     * Marker in the prompt that ends the response after the given number of tokens.
     *
     * <p>It replaces the content of a real prompt, which determines the length of the response.
     */
    private static final Pattern RESPONSE_LENGTH = Pattern.compile("answer-tokens=(\\d{1,7})");

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

    /** Returns the number of tokens of the whole response, including the prefix. */
    int responseTokens() {
        Matcher matcher = RESPONSE_LENGTH.matcher(prompt);
        int requested = matcher.find() ? Integer.parseInt(matcher.group(1)) : maxTokens;
        return Math.min(requested, maxTokens);
    }

    /** Returns the reason for which the response ends. */
    String endReason() {
        return responseTokens() < maxTokens ? "stop" : "length";
    }

    /** Returns the tokens to prefill: the prompt followed by the prefix. */
    List<String> contextTokens() {
        List<String> tokens = new ArrayList<>(Arrays.asList(prompt.trim().split("\\s+")));
        prefix.forEach(token -> tokens.add(token.trim()));
        return tokens;
    }

    /**
     * Returns the nonce of the generation to which the prefix belongs.
     *
     * @param fresh the nonce of a generation without a prefix
     * @throws HttpProblemException with status 400 unless the prefix consists of the tokens of one generation from
     *     index 0
     */
    String nonce(String fresh) {
        String nonce = prefix.isEmpty() ? fresh : "";
        for (int i = 0; i < prefix.size(); i++) {
            VerifiableToken token = VerifiableToken.parse(prefix.get(i)).orElseThrow(StreamRequest::invalidPrefix);
            nonce = i == 0 ? token.nonce() : nonce;
            if (token.index() != i || !token.nonce().equals(nonce) || !token.matchesSeed(seed)) {
                throw invalidPrefix();
            }
        }
        return nonce;
    }

    private static List<String> prefix(JsonNode json) {
        List<String> prefix = new ArrayList<>();
        json.forEach(token -> prefix.add(token.asText()));
        return prefix;
    }

    private static HttpProblemException invalidPrefix() {
        return new HttpProblemException(
                400,
                "invalid-request",
                "The prefix must consist of the tokens of one generation with this seed from index 0.");
    }
}
