package org.amaranthlock.model;

/**
 * Identifies a part of a prompt, which requests may share.
 *
 * @param value the id that the client chose
 */
public record PromptPartId(String value) {
    public PromptPartId {
        Arguments.requireText(value, "prompt part id");
    }

    @Override
    public String toString() {
        return value;
    }
}
