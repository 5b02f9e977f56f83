package org.amaranthlock.coordination.reservation;

import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.function.ToIntFunction;
import org.amaranthlock.coordination.forwarding.EntryTarget;
import org.amaranthlock.coordination.forwarding.ServiceDefinition;
import org.amaranthlock.coordination.placement.CandidateLoad;
import org.amaranthlock.coordination.placement.EvenLoadPlacement;
import org.amaranthlock.coordination.placement.FleetView;
import org.amaranthlock.model.FailureDomain;

/**
 * What a host would ask a keeper for a stream, and what that is worth.
 *
 * @param group engines whose keeper is asked
 * @param request the question
 * @param unseenWaitMillis expected wait behind prompts that the host does not see if it asks nobody, in milliseconds
 */
public record ReservationPlan(EngineGroup group, ReservationRequest request, double unseenWaitMillis) {
    public ReservationPlan {
        Objects.requireNonNull(group, "group");
        Objects.requireNonNull(request, "request");
    }

    /**
     * Plans the question for a stream.
     *
     * @param tokens KV cache size that the stream is expected to need, in tokens
     * @param chosen engine that the host would use if it asked nobody; one of the candidates
     * @param candidates engines that the stream may be sent to
     * @param enginesInDomain returns the number of registered engines of the service in a failure domain
     */
    public static ReservationPlan of(
            ServiceDefinition service,
            long tokens,
            EntryTarget chosen,
            List<CandidateLoad> candidates,
            FleetView fleet,
            ToIntFunction<FailureDomain> enginesInDomain) {
        FailureDomain domain = chosen.failureDomain();
        int engines = enginesInDomain.applyAsInt(domain);
        EngineGroup group = EngineGroup.of(service.name(), domain, chosen.id(), engines);
        Comparator<CandidateLoad> chosenFirst =
                Comparator.comparing(load -> !load.target().equals(chosen));
        List<ReservationRequest.Candidate> best = candidates.stream()
                .filter(load -> load.target().failureDomain().equals(domain))
                .filter(load -> EngineGroup.of(
                                service.name(), domain, load.target().id(), engines)
                        .equals(group))
                .sorted(chosenFirst.thenComparingDouble(
                        load -> EvenLoadPlacement.expectedMillis(service, tokens, load, fleet)))
                .limit(ReservationRequest.MAX_CANDIDATES)
                .map(load -> new ReservationRequest.Candidate(
                        load.target().id(), costWithoutPrompts(service, tokens, load, fleet)))
                .toList();
        long promptMillis = Math.max(1, Math.round(fleet.requestMillis()));
        return new ReservationPlan(
                group, new ReservationRequest(promptMillis, best), unseenWaitMillis(candidates, fleet));
    }

    /**
     * Returns the expected wait behind unseen prompts, in milliseconds; these are assumed to be spread evenly over the
     * engines with the fewest prompts.
     */
    private static double unseenWaitMillis(List<CandidateLoad> candidates, FleetView fleet) {
        int fewest = candidates.stream()
                .mapToInt(load -> load.inFlight().prefilling())
                .min()
                .orElseThrow();
        long leastLoaded = candidates.stream()
                .filter(load -> load.inFlight().prefilling() == fewest)
                .count();
        return fleet.unseenRequests() / leastLoaded * fleet.requestMillis();
    }

    private static long costWithoutPrompts(
            ServiceDefinition service, long tokens, CandidateLoad load, FleetView fleet) {
        double promptMillis = load.inFlight().prefilling() * load.slowness() * fleet.requestMillis();
        return Math.round(Math.max(0, EvenLoadPlacement.expectedMillis(service, tokens, load, fleet) - promptMillis));
    }
}
