package org.amaranthlock.standin.fleet;

import java.util.ArrayList;
import java.util.List;

/**
 * What a request asks of an engine.
 *
 * @param id id of the request
 * @param promptParts parts of its prompt, in order
 * @param firstEvent first event to make; events before it are read again with the prompt
 * @param eventCount events of the whole answer
 * @param urgency 0 first, 9 last
 */
public record EngineRequest(String id, List<PromptPart> promptParts, int firstEvent, int eventCount, int urgency) {
    private static final int DEFAULT_URGENCY = 5;

    /** Part of a prompt: its name, and its tokens. */
    public record PromptPart(String name, int tokens) {}

    /** Copies the parts. */
    public EngineRequest {
        promptParts = List.copyOf(promptParts);
    }

    /** Reads the headers of a request; one without a prompt has a prompt of a single token. */
    static EngineRequest of(WorkerRequest request, int events) {
        String prefix = request.headers().getOrDefault("x-prompt-prefix", request.id() + ":1");
        List<PromptPart> parts = new ArrayList<>();
        for (String part : prefix.split(",")) {
            int colon = part.indexOf(':');
            parts.add(new PromptPart(
                    part.substring(0, colon).trim(),
                    Integer.parseInt(part.substring(colon + 1).trim())));
        }
        int first = Integer.parseInt(request.headers().getOrDefault("last-event-id", "-1")) + 1;
        String urgency = request.headers().getOrDefault("x-request-urgency", Integer.toString(DEFAULT_URGENCY));
        return new EngineRequest(request.id(), parts, first, events, Integer.parseInt(urgency));
    }

    /** Returns the tokens of the prompt. */
    public int promptTokens() {
        return promptParts.stream().mapToInt(PromptPart::tokens).sum();
    }
}
