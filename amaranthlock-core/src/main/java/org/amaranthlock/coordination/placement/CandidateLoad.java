package org.amaranthlock.coordination.placement;

import java.util.Objects;
import org.amaranthlock.coordination.forwarding.EntryTarget;
import org.amaranthlock.coordination.forwarding.InFlightLoad;
import org.amaranthlock.coordination.region.Crossing;
import org.amaranthlock.model.Arguments;

/**
 * Load of a candidate target as estimated by one host.
 *
 * @param target the target
 * @param inFlight requests and backups that all hosts have in flight there
 * @param local whether it is in the failure domain of the host
 * @param suspect whether several targets of its failure domain were unreachable recently and it has not responded
 *     recently
 * @param slowness time that it takes for a request, as a multiple of the time of its peers
 * @param full whether it has just rejected a request because its queue is full
 * @param crossing what a request has to expect of the link to its region
 */
public record CandidateLoad(
        EntryTarget target,
        InFlightLoad inFlight,
        boolean local,
        boolean suspect,
        double slowness,
        boolean full,
        Crossing crossing) {
    public CandidateLoad {
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(inFlight, "in-flight load");
        Arguments.require(slowness > 0, "slowness must be positive");
        Objects.requireNonNull(crossing, "crossing");
    }

    /** Creates the load of a target in the region of the host. */
    public CandidateLoad(
            EntryTarget target, InFlightLoad inFlight, boolean local, boolean suspect, double slowness, boolean full) {
        this(target, inFlight, local, suspect, slowness, full, Crossing.NONE);
    }

    /** Creates the load of a target that is as fast as its peers and has room. */
    public CandidateLoad(EntryTarget target, InFlightLoad inFlight, boolean local, boolean suspect) {
        this(target, inFlight, local, suspect, 1, false);
    }
}
