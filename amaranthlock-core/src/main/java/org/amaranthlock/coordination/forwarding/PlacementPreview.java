package org.amaranthlock.coordination.forwarding;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.amaranthlock.coordination.placement.FleetView;
import org.amaranthlock.coordination.placement.PlacementChoice;

/**
 * Choice of a target that a host would make now.
 *
 * @param fleet state of the fleet on which the costs rest
 * @param choice the choice among the candidates; empty if there is no candidate
 * @param admitted whether the chosen target would be sent the request; false only if it fails under too many requests
 *     and this host's part of its room is used
 * @param leftOut registered targets of the service that are no candidates
 */
public record PlacementPreview(
        FleetView fleet, Optional<PlacementChoice> choice, boolean admitted, List<LeftOut> leftOut) {
    public PlacementPreview {
        Objects.requireNonNull(fleet, "fleet");
        Objects.requireNonNull(choice, "choice");
        leftOut = List.copyOf(leftOut);
    }

    /**
     * Target that is no candidate.
     *
     * @param reason first reason that applies
     */
    public record LeftOut(EntryTarget target, LeftOutReason reason) {}

    /** Returns the target that the request would be sent to; empty if there is none. */
    public Optional<EntryTarget> target() {
        return admitted ? choice.map(PlacementChoice::target) : Optional.empty();
    }
}
