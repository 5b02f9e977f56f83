package org.amaranthlock.coordination.forwarding;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Chooses the target at which a request is expected to wait least; equal ones by lot.
 *
 * <p>Load pattern: an engine reads one prompt after the other and delays the tokens of all streams beside it, while a
 * running stream delays others little. When most engines of a failure domain die, their streams come to the others at
 * once, and prompts that pile up at one engine wait for seconds.
 */
public final class LeastDelayPlacement implements PlacementPolicy {
    /** Cost of a request whose prompt is still to be read, in running streams. */
    private static final double READING_COST = 3;

    /** Cost of a copy that an engine keeps, in running streams; it takes a slot, and may have to run. */
    private static final double COPY_COST = 0.5;

    /**
     * Advantage of plain targets in the own failure domain, in requests in flight; traffic inside it is free. Engines get
     * none: when most of a domain's engines die, all its hosts would choose the few that are left.
     */
    private static final double LOCAL_ADVANTAGE = 0.6;

    /** Cost of an engine in a failing domain, in running streams; it is used before a longer queue. */
    private static final double DOUBTED_COST = 4;

    /** Cost of a target that is still warming up, in running streams. */
    private static final double COLD_COST = 2;

    /** Cost of an engine whose memory a request would overfill, in running streams; the request would wait there. */
    private static final double FULL_COST = 12;

    /**
     * Part of an engine's memory up to which it takes copies. Copies need as much memory as runs; beyond this part they would
     * make prompts wait for memory, which costs more than the prompts that copies save.
     */
    private static final double COPY_MEMORY = 0.85;

    private final UniformRandomProvider random;

    /** Creates a rule that draws lots with {@code random}. */
    public LeastDelayPlacement(UniformRandomProvider random) {
        this.random = Objects.requireNonNull(random, "random");
    }

    @Override
    public Optional<EntryTarget> choose(ServiceDefinition service, long tokens, List<CandidateLoad> candidates) {
        return cheapest(candidates, load -> service.engine() ? engineCost(service, tokens, load) : plainCost(load));
    }

    @Override
    public Optional<EntryTarget> chooseBackup(ServiceDefinition service, long tokens, List<CandidateLoad> candidates) {
        List<CandidateLoad> roomy = candidates.stream()
                .filter(load -> service.hasCapacity(load.inFlight(), tokens, COPY_MEMORY))
                .toList();
        return cheapest(roomy, load -> engineCost(service, tokens, load));
    }

    private Optional<EntryTarget> cheapest(List<CandidateLoad> candidates, ToDoubleFunction<CandidateLoad> costs) {
        double least = Double.MAX_VALUE;
        List<EntryTarget> equal = new ArrayList<>();
        for (CandidateLoad candidate : candidates) {
            double cost = costs.applyAsDouble(candidate);
            if (cost < least) {
                least = cost;
                equal.clear();
            }
            if (cost == least) {
                equal.add(candidate.target());
            }
        }
        return equal.isEmpty() ? Optional.empty() : Optional.of(equal.get(random.nextInt(equal.size())));
    }

    private static double engineCost(ServiceDefinition service, long tokens, CandidateLoad load) {
        return READING_COST * load.inFlight().prefilling()
                + load.inFlight().generating()
                + COPY_COST * load.inFlight().copies()
                + (service.hasCapacity(load.inFlight(), tokens, 1) ? 0 : FULL_COST)
                + commonCost(load);
    }

    private static double plainCost(CandidateLoad load) {
        return load.inFlight().requests() - (load.local() ? LOCAL_ADVANTAGE : 0) + commonCost(load);
    }

    private static double commonCost(CandidateLoad load) {
        double cost = load.suspect() ? DOUBTED_COST : 0;
        return cost + (load.target().coldMillis() > 0 ? COLD_COST : 0);
    }
}
