package org.amaranthlock.standin.fleet;

import java.util.ArrayList;
import java.util.List;

/**
 * Request for a generation.
 *
 * @param id id of the request
 * @param promptParts parts of the prompt, in order
 * @param firstEvent number of the first event to generate; the tokens of earlier events are prefilled with the prompt
 * @param eventCount number of events of the complete response
 * @param priority scheduling priority from 0 (first) to 9 (last)
 */
public record EngineRequest(String id, List<PromptPart> promptParts, int firstEvent, int eventCount, int priority) {
    private static final int DEFAULT_PRIORITY = 5;

    /**
     * Part of a prompt, the unit of prefix caching.
     *
     * @param name name under which the part is cached
     * @param tokens number of tokens
     */
    public record PromptPart(String name, int tokens) {}

    /** Copies the list of parts. */
    public EngineRequest {
        promptParts = List.copyOf(promptParts);
    }

    /** Creates a request from HTTP headers; without the header for prompt parts, the prompt is a single token. */
    static EngineRequest of(WorkerRequest request, int eventCount) {
        String prefix = request.headers().getOrDefault("x-prompt-prefix", request.id() + ":1");
        List<PromptPart> parts = new ArrayList<>();
        for (String part : prefix.split(",")) {
            int colon = part.indexOf(':');
            parts.add(new PromptPart(
                    part.substring(0, colon).trim(),
                    Integer.parseInt(part.substring(colon + 1).trim())));
        }
        int first = Integer.parseInt(request.headers().getOrDefault("last-event-id", "-1")) + 1;
        String priority = request.headers().getOrDefault("x-request-urgency", Integer.toString(DEFAULT_PRIORITY));
        return new EngineRequest(request.id(), parts, first, eventCount, Integer.parseInt(priority));
    }

    /** Returns the number of tokens of the prompt. */
    public int promptTokens() {
        return promptParts.stream().mapToInt(PromptPart::tokens).sum();
    }
}
