package org.amaranthlock.coordination.forwarding;

import org.amaranthlock.model.Arguments;

/**
 * Part of a prompt that engines keep in their KV cache under its id.
 *
 * @param id id of the part
 * @param tokens its length in tokens
 */
public record PromptPart(String id, long tokens) {
    public PromptPart {
        Arguments.requireText(id, "prompt part id");
        Arguments.requireNonNegative(tokens, "tokens");
    }
}
