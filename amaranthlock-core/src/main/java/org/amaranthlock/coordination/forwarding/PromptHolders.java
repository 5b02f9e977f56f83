package org.amaranthlock.coordination.forwarding;

import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.amaranthlock.model.SoftwareVersion;

/**
 * Engines that hold a prompt in their KV caches, as the engines say.
 *
 * @param best engine that holds most of the prompt, among those that were searched; empty if none holds enough of it
 * @param versions versions of all engines that hold enough of it
 * @param complete whether all engines answered
 */
public record PromptHolders(Optional<EntryTarget> best, Set<SoftwareVersion> versions, boolean complete) {
    /** Result of a search without an answer. */
    public static final PromptHolders NONE = new PromptHolders(Optional.empty(), Set.of(), false);

    public PromptHolders {
        Objects.requireNonNull(best, "best");
        versions = Set.copyOf(versions);
    }

    /**
     * Returns the version of all holders. It is that of the stream, because its engine and the one with its copy run one
     * version; what engines hold that did not answer is open.
     */
    Optional<SoftwareVersion> onlyVersion() {
        return complete && versions.size() == 1 ? versions.stream().findFirst() : Optional.empty();
    }
}
