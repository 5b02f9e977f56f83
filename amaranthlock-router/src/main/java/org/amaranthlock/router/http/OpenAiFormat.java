package org.amaranthlock.router.http;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.amaranthlock.model.RequestId;

/** Creates the OpenAI API objects of one response. */
final class OpenAiFormat {
    /** The router has no tokenizer; four characters per token is the usual estimate for prompts. */
    private static final int CHARACTERS_PER_PROMPT_TOKEN = 4;

    private final RequestId id;
    private final CompletionRequest request;
    private final long createdSeconds;

    OpenAiFormat(RequestId id, CompletionRequest request, long createdSeconds) {
        this.id = id;
        this.request = request;
        this.createdSeconds = createdSeconds;
    }

    /** Returns a chunk of a stream; the finish reason is present in the last one only. */
    ObjectNode chunk(String content, boolean withRole, Optional<String> finishReason) {
        ObjectNode chunk = createObject(request.chat() ? "chat.completion.chunk" : "text_completion");
        ObjectNode choice = chunk.putArray("choices").addObject();
        choice.put("index", 0);
        if (request.chat()) {
            ObjectNode delta = choice.putObject("delta");
            if (withRole) {
                delta.put("role", "assistant");
            }
            if (finishReason.isEmpty()) {
                delta.put("content", content);
            }
        } else {
            choice.put("text", content);
        }
        choice.put("finish_reason", finishReason.orElse(null));
        return chunk;
    }

    /** Returns the final chunk of a stream whose client requested token counts. */
    ObjectNode usageChunk(int completionTokens) {
        ObjectNode chunk = createObject(request.chat() ? "chat.completion.chunk" : "text_completion");
        chunk.putArray("choices");
        putUsage(chunk, completionTokens);
        return chunk;
    }

    /** Returns the response as a single completion object. */
    ObjectNode completion(String content, String finishReason, int completionTokens) {
        ObjectNode completion = createObject(request.chat() ? "chat.completion" : "text_completion");
        ObjectNode choice = completion.putArray("choices").addObject();
        choice.put("index", 0);
        if (request.chat()) {
            choice.putObject("message").put("role", "assistant").put("content", content);
        } else {
            choice.put("text", content);
        }
        choice.put("finish_reason", finishReason);
        putUsage(completion, completionTokens);
        return completion;
    }

    private ObjectNode createObject(String kind) {
        return Json.createObject()
                .put("id", id.value())
                .put("object", kind)
                .put("created", createdSeconds)
                .put("model", request.model());
    }

    private void putUsage(ObjectNode object, int completionTokens) {
        int promptTokens = Math.ceilDiv(request.prompt().length(), CHARACTERS_PER_PROMPT_TOKEN);
        object.putObject("usage")
                .put("prompt_tokens", promptTokens)
                .put("completion_tokens", completionTokens)
                .put("total_tokens", promptTokens + completionTokens);
    }
}
