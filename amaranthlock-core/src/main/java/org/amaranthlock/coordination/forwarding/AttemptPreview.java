package org.amaranthlock.coordination.forwarding;

import java.util.Objects;
import java.util.Optional;
import org.amaranthlock.coordination.placement.PlacementChoice;

/**
 * Attempt of a request that would be sent now.
 *
 * @param holder engine that holds the prompt or a copy of its KV cache, and is therefore used without a choice
 * @param placement choice among all targets
 * @param withoutBest the same choice if its chosen target did not exist; empty if nothing is chosen
 * @param backupPossible whether a backup of the KV cache would be made if an engine has room for it
 * @param backup choice of the engine for the backup
 * @param tooLate whether the request would be rejected because its prompt cannot be read before the deadline
 */
public record AttemptPreview(
        Optional<EntryTarget> holder,
        PlacementPreview placement,
        Optional<PlacementPreview> withoutBest,
        boolean backupPossible,
        Optional<PlacementChoice> backup,
        boolean tooLate) {
    public AttemptPreview {
        Objects.requireNonNull(holder, "holder");
        Objects.requireNonNull(placement, "placement");
        Objects.requireNonNull(withoutBest, "choice without the best target");
        Objects.requireNonNull(backup, "backup");
    }

    /** Returns the target that the attempt would be sent to; empty if there is none. */
    public Optional<EntryTarget> target() {
        return holder.or(placement::target);
    }
}
