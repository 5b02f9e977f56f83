package org.amaranthlock.coordination.forwarding;

import java.util.Objects;

/**
 * What a host believes of the load of a target that it may use.
 *
 * @param target the target
 * @param inFlight work that all hosts have there
 * @param local whether it is in the host's failure domain
 * @param suspect whether several targets of its failure domain died a short time ago and it has not answered since
 */
public record CandidateLoad(EntryTarget target, InFlightLoad inFlight, boolean local, boolean suspect) {
    /** Checks that nothing is missing. */
    public CandidateLoad {
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(inFlight, "in flight");
    }
}
