package org.amaranthlock.coordination.placement;

import java.util.List;
import java.util.Objects;
import org.amaranthlock.coordination.forwarding.EntryTarget;

/**
 * Choice of a {@link PlacementPolicy} with the costs that led to it.
 *
 * @param candidates costs of all candidates, in the order in which the policy considered them
 * @param chosenIndex index of the chosen candidate
 * @param contenders number of candidates of which one could have been chosen, depending on chance or on the host
 * @param unitMillis milliseconds that a cost of 1 stands for
 */
public record PlacementChoice(List<CandidateCost> candidates, int chosenIndex, int contenders, double unitMillis) {
    public PlacementChoice {
        candidates = List.copyOf(candidates);
        Objects.checkIndex(chosenIndex, candidates.size());
    }

    /** Returns the cost of the chosen candidate. */
    public CandidateCost chosen() {
        return candidates.get(chosenIndex);
    }

    /** Returns the chosen target. */
    public EntryTarget target() {
        return chosen().load().target();
    }
}
