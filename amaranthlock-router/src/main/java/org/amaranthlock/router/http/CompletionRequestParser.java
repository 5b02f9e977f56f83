package org.amaranthlock.router.http;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.OptionalLong;
import org.amaranthlock.model.AmaranthlockException;
import org.amaranthlock.model.ErrorCode;
import org.amaranthlock.model.ServiceName;

/** Parses completion requests of the OpenAI API; error messages name the field and the remedy. */
final class CompletionRequestParser {
    static final int DEFAULT_MAX_TOKENS = 1_024;
    static final int MAX_TOKENS_LIMIT = 1_000_000;

    /** Fields that the engines don't support; ignoring them silently would change the meaning of the response. */
    private static final List<String> UNSUPPORTED_FIELDS =
            List.of("stop", "tools", "functions", "logprobs", "top_logprobs", "suffix", "echo", "response_format");

    private CompletionRequestParser() {}

    static CompletionRequest parse(boolean chat, byte[] body) {
        JsonNode json = Json.readObject(body);
        for (String field : UNSUPPORTED_FIELDS) {
            JsonNode value = json.path(field);
            boolean unset = value.isMissingNode() || value.isNull() || value.isBoolean() && !value.booleanValue();
            check(unset, "The field '" + field + "' is not supported; omit it.");
        }
        check(json.path("n").asInt(1) == 1, "The field 'n' must be 1; send one request per completion.");
        check(json.path("best_of").asInt(1) == 1, "The field 'best_of' must be 1 or absent.");
        String model = requiredText(json, "model");
        int slash = model.indexOf('/');
        String service = slash < 0 ? model : model.substring(0, slash);
        check(!service.isBlank(), "The field 'model' must be '<service>' or '<service>/<adapter>'.");
        return new CompletionRequest(
                chat,
                new ServiceName(service),
                slash < 0 ? "" : model.substring(slash + 1),
                chat ? chatPrompt(json.path("messages")) : textPrompt(json.path("prompt")),
                maxTokens(json),
                optionalSeed(json),
                optionalBoolean(json, "stream"),
                json.path("stream_options").path("include_usage").asBoolean(false));
    }

    /** Returns the messages as one text, because an engine takes a single prompt. */
    private static String chatPrompt(JsonNode messages) {
        check(messages.isArray() && !messages.isEmpty(), "The field 'messages' must be a non-empty array of messages.");
        StringBuilder prompt = new StringBuilder();
        for (JsonNode message : messages) {
            prompt.append(requiredText(message, "role")).append(": ");
            prompt.append(content(message.path("content"))).append('\n');
        }
        return prompt.append("assistant: ").toString();
    }

    private static String content(JsonNode content) {
        if (content.isTextual()) {
            return content.textValue();
        }
        check(content.isArray(), "The field 'content' of a message must be a string or an array of text parts.");
        StringBuilder text = new StringBuilder();
        for (JsonNode part : content) {
            check(
                    "text".equals(part.path("type").asText())
                            && part.path("text").isTextual(),
                    "A message part has a type other than 'text'; send text parts only.");
            text.append(part.path("text").textValue());
        }
        return text.toString();
    }

    private static String textPrompt(JsonNode prompt) {
        JsonNode single = prompt.isArray() && prompt.size() == 1 ? prompt.get(0) : prompt;
        check(single.isTextual(), "The field 'prompt' must be one string; send one request per prompt.");
        return single.textValue();
    }

    private static int maxTokens(JsonNode json) {
        JsonNode value =
                json.hasNonNull("max_completion_tokens") ? json.get("max_completion_tokens") : json.path("max_tokens");
        if (value.isMissingNode() || value.isNull()) {
            return DEFAULT_MAX_TOKENS;
        }
        check(
                value.isIntegralNumber()
                        && value.canConvertToInt()
                        && value.intValue() >= 1
                        && value.intValue() <= MAX_TOKENS_LIMIT,
                "The field 'max_tokens' or 'max_completion_tokens' must be an integer from 1 to " + MAX_TOKENS_LIMIT
                        + ".");
        return value.intValue();
    }

    private static OptionalLong optionalSeed(JsonNode json) {
        JsonNode value = json.path("seed");
        if (value.isMissingNode() || value.isNull()) {
            return OptionalLong.empty();
        }
        check(
                value.isIntegralNumber() && value.canConvertToLong(),
                "The field 'seed' must be an integer of at most 64 bits.");
        return OptionalLong.of(value.longValue());
    }

    private static boolean optionalBoolean(JsonNode json, String field) {
        JsonNode value = json.path(field);
        check(
                value.isMissingNode() || value.isNull() || value.isBoolean(),
                "The field '" + field + "' must be true or false.");
        return value.asBoolean(false);
    }

    private static String requiredText(JsonNode json, String field) {
        JsonNode value = json.path(field);
        check(
                value.isTextual() && !value.textValue().isBlank(),
                "The field '" + field + "' must be a non-empty string.");
        return value.textValue();
    }

    private static void check(boolean condition, String message) {
        if (!condition) {
            throw new AmaranthlockException(ErrorCode.INVALID_REQUEST, message);
        }
    }
}
