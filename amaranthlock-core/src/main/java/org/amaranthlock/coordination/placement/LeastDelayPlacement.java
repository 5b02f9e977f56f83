package org.amaranthlock.coordination.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;
import org.amaranthlock.coordination.forwarding.EntryTarget;
import org.amaranthlock.coordination.forwarding.ServiceDefinition;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Chooses the target with the lowest expected delay, and among equal targets a random one.
 *
 * <p>An engine prefills one prompt at a time and meanwhile delays the tokens of all its streams, while a generating
 * stream delays others little. When most engines of a failure domain fail, their streams move to the remaining engines
 * at once, and prompts that queue on one engine wait for seconds.
 *
 * <p>If reports are slow compared with the rate of streams, all hosts would choose the engine that was free last. A
 * host therefore chooses among several of the best engines: as many as minimize the expected cost, given that the
 * unseen streams of the other hosts are spread over them too.
 */
public final class LeastDelayPlacement implements PlacementPolicy {
    /** Cost of a request that is still to be prefilled, in generating streams. */
    private static final double PREFILL_COST = 3;

    /** Cost of a KV cache backup, in generating streams; it takes a slot, and its stream may be resumed there. */
    private static final double BACKUP_COST = 0.5;

    /**
     * Advantage of targets without an engine in the local failure domain, in requests in flight; traffic within the
     * domain is free. Engines get none: when most engines of a domain fail, all its hosts would choose the few that are
     * left.
     */
    private static final double LOCAL_ADVANTAGE = 0.6;

    /** Cost of a target in a failing domain, in generating streams; low enough to be preferred to a prefill queue. */
    private static final double SUSPECT_COST = 4;

    /** Cost of a target that is still warming up, in generating streams. */
    private static final double WARM_UP_COST = 2;

    /** Cost of an engine without enough KV cache for a request, in generating streams; the request would wait there. */
    private static final double KV_CACHE_FULL_COST = 12;

    /**
     * Fraction of an engine's KV cache up to which backups are placed on it. A backup needs as much of it as its
     * stream; beyond this fraction, prompts would wait for KV cache, which costs more than the prefills that backups
     * save.
     */
    private static final double MAX_BACKUP_KV_CACHE_FRACTION = 0.85;

    /** Maximum difference between expected costs that is attributed to rounding errors. */
    private static final double EQUAL_COST = 1e-9;

    private final UniformRandomProvider random;

    /** Creates a policy that chooses among equal targets with {@code random}. */
    public LeastDelayPlacement(UniformRandomProvider random) {
        this.random = Objects.requireNonNull(random, "random");
    }

    @Override
    public Optional<EntryTarget> chooseTarget(
            ServiceDefinition service, long tokens, List<CandidateLoad> candidates, FleetView fleet) {
        return previewTarget(service, tokens, candidates, fleet, random).map(PlacementChoice::target);
    }

    @Override
    public Optional<EntryTarget> chooseBackup(
            ServiceDefinition service, long tokens, List<CandidateLoad> candidates, FleetView fleet) {
        return previewBackup(service, tokens, candidates, fleet, random).map(PlacementChoice::target);
    }

    @Override
    public Optional<PlacementChoice> previewTarget(
            ServiceDefinition service,
            long tokens,
            List<CandidateLoad> candidates,
            FleetView fleet,
            UniformRandomProvider generator) {
        return service.engine()
                ? chooseAmongBest(
                        candidates,
                        load -> engineTerms(service, tokens, load, fleet),
                        fleet.unseenRequests(),
                        generatingMillis(fleet),
                        generator)
                : chooseAmongBest(candidates, load -> plainTerms(load, fleet), 0, fleet.requestMillis(), generator);
    }

    @Override
    public Optional<PlacementChoice> previewBackup(
            ServiceDefinition service,
            long tokens,
            List<CandidateLoad> candidates,
            FleetView fleet,
            UniformRandomProvider generator) {
        List<CandidateLoad> withCapacity = candidates.stream()
                .filter(load -> service.hasCapacity(load.inFlight(), tokens, MAX_BACKUP_KV_CACHE_FRACTION))
                .toList();
        return chooseAmongBest(
                withCapacity, load -> engineTerms(service, tokens, load, fleet), 0, generatingMillis(fleet), generator);
    }

    private static Optional<PlacementChoice> chooseAmongBest(
            List<CandidateLoad> candidates,
            Function<CandidateLoad, List<CostTerm>> terms,
            double unseenPlacements,
            double unitMillis,
            UniformRandomProvider generator) {
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        List<CandidateCost> byCost = candidates.stream()
                .map(load -> CandidateCost.of(load, terms.apply(load)))
                .sorted(Comparator.comparingDouble(CandidateCost::total))
                .toList();
        int best = bestCount(byCost, unseenPlacements);
        return Optional.of(new PlacementChoice(byCost, generator.nextInt(best), best, unitMillis));
    }

    /** Returns among how many of the best targets a choice is expected to cost least, at least all that are equal. */
    private static int bestCount(List<CandidateCost> byCost, double unseenPlacements) {
        int bestCount = 0;
        double lowestExpected = Double.MAX_VALUE;
        double sum = 0;
        for (int count = 1; count <= byCost.size(); count++) {
            sum += byCost.get(count - 1).total();
            double expected = (sum + PREFILL_COST * unseenPlacements) / count;
            if (expected <= lowestExpected + EQUAL_COST) {
                lowestExpected = expected;
                bestCount = count;
            }
        }
        return bestCount;
    }

    /** Returns the delay that a generating stream, the unit of cost on engines, stands for. */
    private static double generatingMillis(FleetView fleet) {
        return fleet.requestMillis() / PREFILL_COST;
    }

    private static List<CostTerm> engineTerms(
            ServiceDefinition service, long tokens, CandidateLoad load, FleetView fleet) {
        return List.of(
                new CostTerm("prompts-ahead", PREFILL_COST * load.inFlight().prefilling()),
                new CostTerm("generating", load.inFlight().generating()),
                new CostTerm("backups", BACKUP_COST * load.inFlight().backups()),
                new CostTerm("kv-cache-full", service.hasCapacity(load.inFlight(), tokens, 1) ? 0 : KV_CACHE_FULL_COST),
                new CostTerm("other-region", PREFILL_COST * load.crossing().millis() / fleet.requestMillis()),
                suspectTerm(load),
                warmUpTerm(load));
    }

    private static List<CostTerm> plainTerms(CandidateLoad load, FleetView fleet) {
        return List.of(
                new CostTerm("in-flight", load.inFlight().requests()),
                new CostTerm("same-domain", load.local() ? -LOCAL_ADVANTAGE : 0),
                new CostTerm("other-region", load.crossing().millis() / fleet.requestMillis()),
                suspectTerm(load),
                warmUpTerm(load));
    }

    private static CostTerm suspectTerm(CandidateLoad load) {
        return new CostTerm("failing-domain", load.suspect() ? SUSPECT_COST : 0);
    }

    private static CostTerm warmUpTerm(CandidateLoad load) {
        return new CostTerm("warm-up", load.target().remainingWarmUpMillis() > 0 ? WARM_UP_COST : 0);
    }
}
