package org.amaranthlock.coordination.placement;

import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;
import org.amaranthlock.coordination.forwarding.EntryTarget;
import org.amaranthlock.coordination.forwarding.ServiceDefinition;
import org.amaranthlock.coordination.placement.PlacementListener.Reason;
import org.amaranthlock.coordination.region.Crossing;
import org.amaranthlock.coordination.region.RegionSplit;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Chooses the target with the lowest expected delay in milliseconds, such that hosts that choose at the same moment
 * choose different targets.
 *
 * <p>Load pattern: many hosts choose from reports of the same age, and the target that was free last is overloaded
 * while others are idle. {@link WaterFilling} computes the part of the unseen requests, those that other hosts have
 * placed and not yet reported, for each target. The targets are arranged on a ring in an order that all hosts share,
 * and each occupies its part of the ring. A host uses the target at its own position. Positions are evenly spaced, so
 * that the number of hosts that choose a target corresponds to its part and is not random.
 *
 * <p>Reports do not contain requests to targets without an engine. For these, a host uses the target at its position
 * unless its own requests wait there; the parts follow from the speeds of the targets and the rate of all requests.
 */
public final class EvenLoadPlacement implements PlacementPolicy {
    /** Delay that a generating stream and a prompt at the same engine cause each other, in prefills. */
    private static final double GENERATING_SHARE = 0.1;

    /** Like {@link #GENERATING_SHARE}, for a KV cache backup; low, because few streams are ever resumed from one. */
    private static final double BACKUP_SHARE = 1.0 / 6;

    /** Probability that a target of a failing domain does not respond. */
    private static final double SUSPECT_LOSS = 0.5;

    /**
     * Cost of a prompt that is lost with its engine, in prefills: includes the lost prefill and that at the next
     * engine.
     */
    private static final double LOST_PREFILLS = 3;

    /** Requests in flight by which a target without an engine may be busier if it is in the local failure domain. */
    private static final double LOCAL_REQUESTS = 0.6;

    /**
     * Fraction of an engine's KV cache up to which backups are placed on it. A backup needs as much of it as its
     * stream; beyond this fraction, prompts would wait for KV cache, which costs more than the prefills that backups
     * save.
     */
    private static final double MAX_BACKUP_KV_CACHE_FRACTION = 0.85;

    /** Step between positions on the ring; multiples of it are spread evenly for any number of choices. */
    private static final double GOLDEN_RATIO = (Math.sqrt(5) - 1) / 2;

    /** Number of backups placed; it moves the position, so that streams that lose one engine resume on many others. */
    private long backupChoices;

    /** Number of choices for services without engines; it moves the position in the split between regions. */
    private long plainChoices;

    private final PlacementListener listener;

    /** Creates a policy; hosts differ only in {@link FleetView#position()}. */
    public EvenLoadPlacement(PlacementListener listener) {
        this.listener = Objects.requireNonNull(listener, "listener");
    }

    @Override
    public Optional<EntryTarget> chooseTarget(
            ServiceDefinition service, long tokens, List<CandidateLoad> candidates, FleetView fleet) {
        Optional<PlacementChoice> choice = weighTarget(service, tokens, candidates, fleet);
        if (!service.engine()) {
            plainChoices++;
        }
        return use(choice);
    }

    @Override
    public Optional<EntryTarget> chooseBackup(
            ServiceDefinition service, long tokens, List<CandidateLoad> candidates, FleetView fleet) {
        Optional<PlacementChoice> choice = weighBackup(service, tokens, candidates, fleet);
        backupChoices++;
        return use(choice);
    }

    @Override
    public Optional<PlacementChoice> previewTarget(
            ServiceDefinition service,
            long tokens,
            List<CandidateLoad> candidates,
            FleetView fleet,
            UniformRandomProvider random) {
        return weighTarget(service, tokens, candidates, fleet);
    }

    @Override
    public Optional<PlacementChoice> previewBackup(
            ServiceDefinition service,
            long tokens,
            List<CandidateLoad> candidates,
            FleetView fleet,
            UniformRandomProvider random) {
        return weighBackup(service, tokens, candidates, fleet);
    }

    private Optional<EntryTarget> use(Optional<PlacementChoice> choice) {
        choice.ifPresent(made -> listener.onChosen(reason(made)));
        return choice.map(PlacementChoice::target);
    }

    private Optional<PlacementChoice> weighTarget(
            ServiceDefinition service, long tokens, List<CandidateLoad> candidates, FleetView fleet) {
        Objects.requireNonNull(fleet, "fleet");
        if (service.engine()) {
            return choose(
                    candidates,
                    load -> engineTerms(service, tokens, load, fleet),
                    load -> load.slowness() * fleet.requestMillis(),
                    fleet.unseenRequests(),
                    fleet.position());
        }
        List<CandidateLoad> ofOneRegion = ofChosenRegion(candidates, fleet);
        return choose(
                ofOneRegion,
                load -> plainTerms(load, fleet),
                load -> plainIncrementMillis(load, fleet),
                unseenPlainRequests(ofOneRegion, fleet),
                fleet.position());
    }

    private Optional<PlacementChoice> weighBackup(
            ServiceDefinition service, long tokens, List<CandidateLoad> candidates, FleetView fleet) {
        List<CandidateLoad> withCapacity = candidates.stream()
                .filter(load -> service.hasCapacity(load.inFlight(), tokens, MAX_BACKUP_KV_CACHE_FRACTION))
                .toList();
        return choose(
                withCapacity,
                load -> engineTerms(service, tokens, load, fleet),
                load -> BACKUP_SHARE * load.slowness() * fleet.requestMillis(),
                fleet.unseenRequests(),
                (fleet.position() + (backupChoices + 1) * GOLDEN_RATIO) % 1);
    }

    /** Returns the expected delay of a stream at an engine, in milliseconds. */
    public static double expectedMillis(ServiceDefinition service, long tokens, CandidateLoad load, FleetView fleet) {
        return CandidateCost.of(load, engineTerms(service, tokens, load, fleet)).total();
    }

    private static Optional<PlacementChoice> choose(
            List<CandidateLoad> candidates,
            Function<CandidateLoad, List<CostTerm>> terms,
            ToDoubleFunction<CandidateLoad> increment,
            double unseenRequests,
            double ownPosition) {
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        List<CandidateCost> ring = candidates.stream()
                .sorted(Comparator.comparingInt(EvenLoadPlacement::ringOrder))
                .map(load -> CandidateCost.of(load, terms.apply(load)))
                .toList();
        double[] costs = ring.stream().mapToDouble(CandidateCost::total).toArray();
        double[] increments = ring.stream()
                .mapToDouble(cost -> increment.applyAsDouble(cost.load()))
                .toArray();
        double[] parts = WaterFilling.parts(costs, increments, unseenRequests);
        double sum = 0;
        int chosen = 0;
        for (int i = 0; i < parts.length && sum <= ownPosition; i++) {
            if (parts[i] > 0) {
                chosen = i;
                sum += parts[i];
            }
        }
        int contenders = (int) Arrays.stream(parts).filter(part -> part > 0).count();
        return Optional.of(new PlacementChoice(ring, chosen, contenders, 1));
    }

    /** Returns the candidates of the region in which the next request to targets without an engine is served. */
    private List<CandidateLoad> ofChosenRegion(List<CandidateLoad> candidates, FleetView fleet) {
        // targets of one region have equal crossings
        Map<Crossing, List<CandidateLoad>> regions =
                candidates.stream().collect(Collectors.groupingBy(CandidateLoad::crossing));
        if (regions.size() <= 1) {
            return candidates;
        }
        List<Crossing> crossings = regions.keySet().stream()
                .sorted(Comparator.comparingDouble(Crossing::millis))
                .toList();
        List<RegionSplit.Side> sides = crossings.stream()
                .map(crossing -> side(crossing, regions.get(crossing), fleet))
                .toList();
        double place = (fleet.position() + (plainChoices + 1) * GOLDEN_RATIO) % 1;
        int chosen = RegionSplit.choose(sides, fleet.unseenRequests(), fleet.requestMillis(), place);
        return regions.get(crossings.get(chosen));
    }

    private static RegionSplit.Side side(Crossing crossing, List<CandidateLoad> targets, FleetView fleet) {
        return new RegionSplit.Side(
                targets.stream()
                        .mapToDouble(load ->
                                CandidateCost.of(load, plainTerms(load, fleet)).total())
                        .min()
                        .orElseThrow(),
                crossing.requestsPerMilli() * targets.size() * fleet.requestMillis(),
                targets.stream()
                        .mapToDouble(load -> Math.max(1, load.target().slots()) / load.slowness())
                        .sum(),
                targets.size());
    }

    /**
     * Returns the unseen requests that compete for the targets that are cheap to this host. Hosts of another failure
     * domain of its region prefer the targets there.
     */
    private static double unseenPlainRequests(List<CandidateLoad> candidates, FleetView fleet) {
        if (candidates.stream().noneMatch(CandidateLoad::local)) {
            return fleet.unseenRequests();
        }
        long domains = candidates.stream()
                .map(load -> load.target().failureDomain())
                .distinct()
                .count();
        return fleet.unseenRequests() / domains;
    }

    private static Reason reason(PlacementChoice choice) {
        if (choice.candidates().size() == 1) {
            return Reason.ONLY_TARGET;
        }
        double lowest = choice.candidates().stream()
                .mapToDouble(CandidateCost::total)
                .min()
                .orElseThrow();
        return choice.chosen().total() <= lowest ? Reason.SHORTEST_DELAY : Reason.UNSEEN_REQUESTS;
    }

    /** Returns a hash to sort by, so that neighbours on the ring are usually in different failure domains. */
    private static int ringOrder(CandidateLoad load) {
        return load.target().id().value().hashCode() * 0x9E3779B9;
    }

    private static List<CostTerm> engineTerms(
            ServiceDefinition service, long tokens, CandidateLoad load, FleetView fleet) {
        double prefillMillis = load.slowness() * fleet.requestMillis();
        boolean mustWait = load.full() || !service.hasCapacity(load.inFlight(), tokens, 1);
        return List.of(
                new CostTerm("own-prompt", prefillMillis),
                new CostTerm("prompts-ahead", load.inFlight().prefilling() * prefillMillis),
                new CostTerm("generating", GENERATING_SHARE * load.inFlight().generating() * prefillMillis),
                new CostTerm("backups", BACKUP_SHARE * load.inFlight().backups() * prefillMillis),
                new CostTerm("wait-for-room", mustWait ? fleet.streamMillis() : 0),
                new CostTerm(
                        "failing-domain", load.suspect() ? SUSPECT_LOSS * LOST_PREFILLS * fleet.requestMillis() : 0),
                new CostTerm("other-region", load.crossing().millis()),
                new CostTerm("warm-up", warmUpMillis(load, fleet)));
    }

    private static List<CostTerm> plainTerms(CandidateLoad load, FleetView fleet) {
        return List.of(
                new CostTerm("own-request", fleet.requestMillis() * load.slowness()),
                new CostTerm(
                        "in-flight", fleet.requestMillis() * load.inFlight().requests()),
                new CostTerm("same-domain", load.local() ? -LOCAL_REQUESTS * fleet.requestMillis() : 0),
                new CostTerm("wait-for-room", load.full() ? fleet.requestMillis() : 0),
                new CostTerm("failing-domain", load.suspect() ? SUSPECT_LOSS * fleet.requestMillis() : 0),
                new CostTerm("other-region", load.crossing().millis()),
                new CostTerm("warm-up", warmUpMillis(load, fleet)));
    }

    /** Returns the delay that each request at a target without an engine adds for the next one, in milliseconds. */
    private static double plainIncrementMillis(CandidateLoad load, FleetView fleet) {
        return load.slowness()
                * load.slowness()
                * fleet.requestMillis()
                / Math.max(1, load.target().slots());
    }

    /** Returns the delay by a target's warm-up, in milliseconds; bounded by two thirds of a request's time. */
    private static double warmUpMillis(CandidateLoad load, FleetView fleet) {
        return Math.min(load.target().remainingWarmUpMillis(), fleet.requestMillis() * 2 / 3);
    }
}
