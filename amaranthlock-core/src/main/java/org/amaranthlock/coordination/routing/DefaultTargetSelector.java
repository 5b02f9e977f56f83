package org.amaranthlock.coordination.routing;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.amaranthlock.coordination.TargetEvent;
import org.amaranthlock.model.AttemptId;
import org.amaranthlock.model.Region;
import org.amaranthlock.model.RequestSpec;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.Target;
import org.amaranthlock.model.TargetId;
import org.amaranthlock.model.Work;
import org.amaranthlock.state.TargetDirectory;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Chooses the target with the least expected cost, from own observation first and late reports second.
 *
 * <p>The cost of a target is its occupancy with this request, times its slowness against the median of its service,
 * plus a cost for another region, minus a bonus for a cached prompt prefix. Not thread-safe.
 */
public final class DefaultTargetSelector implements TargetSelector, CapacityView {
    /** Expected time between tokens before anything was observed, in milliseconds. */
    private static final double PRIOR_PACE_MILLIS = 50;

    /** Expected time to the first token before anything was observed, in milliseconds. */
    private static final double PRIOR_FIRST_TOKEN_MILLIS = 300;

    /** Cost of another region, in units of a full target. */
    private static final double OTHER_REGION_COST = 0.5;

    /**
     * Cost of another region for a resume. A full target costs its caller seconds of silence and another region 24 ms,
     * so resumes spread over the regions instead of crowding onto what is left of their own.
     */
    private static final double RESUME_OTHER_REGION_COST = 0.05;

    /** Cost of an own attempt whose prompt the target still reads; prefills of one target run one after the other. */
    private static final double PENDING_PREFILL_COST = 0.25;

    /**
     * Temperature of the choice for resumes. All routers lose streams in the same instant and see the same late reports;
     * without noise they would choose the same target.
     */
    private static final double RESUME_TEMPERATURE = 0.15;

    /** Cost that a wholly cached prompt saves, in units of a full target. */
    private static final double CACHED_PREFIX_BONUS = 0.3;

    /** A cached prefix draws no work to a target whose occupancy is above this multiple of the mean. */
    private static final double AFFINITY_LOAD_FACTOR = 1.25;

    /** Share of choices that goes to a random target, so that the recovery of a slow one is noticed. */
    private static final double PROBE_SHARE = 0.01;

    /** Costs that differ by less than this are equal; the choice among equals is random. */
    private static final double EQUAL_COST_MARGIN = 0.02;

    /**
     * Places per slot that the routers fill together. Slots must not stay empty while a finished answer and the next
     * request cross the network, and more would only wait at the target instead of in the fair queue.
     */
    private static final double QUEUE_FACTOR = 1.1875;

    /** Reads an average as of its last sample. */
    private static final long NO_DECAY = Long.MIN_VALUE;

    /** Expected time of an attempt before one was observed, in milliseconds. */
    private static final double PRIOR_RUN_MILLIS = 5_000;

    private static final double RUN_HALF_LIFE_MILLIS = 30_000;

    /** Below this number of observed targets the median says little of what is usual. */
    private static final int MIN_COMPARED_TARGETS = 3;

    /** Attempts of other routers that may have reached a target since its last report. */
    private static final int UNREPORTED_ATTEMPTS = 4;

    private static final int PREFIXES_PER_TARGET = 4_096;

    private final TargetDirectory directory;
    private final Region region;
    private final UniformRandomProvider random;
    private final Map<TargetId, TargetState> states = new LinkedHashMap<>();
    private final Map<AttemptId, RunningAttempt> attempts = new LinkedHashMap<>();
    private long chosenAtMillis;

    /** Creates a selector for a router in {@code region}. */
    public DefaultTargetSelector(TargetDirectory directory, Region region, UniformRandomProvider random) {
        this.directory = Objects.requireNonNull(directory, "directory");
        this.region = Objects.requireNonNull(region, "region");
        this.random = Objects.requireNonNull(random, "random");
    }

    @Override
    public Optional<Target> select(RequestSpec spec, SelectionContext context, long nowMillis) {
        chosenAtMillis = nowMillis;
        List<Target> candidates = candidates(spec, context);
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        if (context.resumedTokens() == 0 && random.nextDouble() < PROBE_SHARE) {
            return Optional.of(candidates.get(random.nextInt(candidates.size())));
        }
        List<TargetCost> priced = priced(candidates, spec, context.resumedTokens() > 0, nowMillis);
        return Optional.of(context.resumedTokens() > 0 ? sampled(priced) : cheapest(priced));
    }

    @Override
    public void onAttemptStarted(
            AttemptId attempt, RequestSpec spec, Target target, int resumedTokens, long nowMillis) {
        TargetState state = state(target.id());
        state.load.addAttempt(attempt, nowMillis);
        state.pendingPrefills++;
        if (spec.work() instanceof Work.Generation generation) {
            state.prefixes.add(generation.prefixHashes());
        }
        attempts.put(attempt, new RunningAttempt(target.id(), nowMillis));
    }

    @Override
    public void onTokens(AttemptId attempt, int tokens, long nowMillis) {
        RunningAttempt running = attempts.get(attempt);
        if (running == null || tokens <= 0) {
            return;
        }
        TargetState state = state(running.target);
        long elapsed = nowMillis - running.lastProgressMillis;
        if (running.hasTokens) {
            state.pace.add((double) elapsed / tokens, tokens, nowMillis);
        } else {
            state.firstToken.add(elapsed, 1, nowMillis);
            state.pendingPrefills--;
        }
        running.hasTokens = true;
        running.lastProgressMillis = nowMillis;
    }

    @Override
    public void onAttemptFinished(AttemptId attempt, AttemptResult result, long nowMillis) {
        RunningAttempt running = attempts.remove(attempt);
        if (running != null) {
            state(running.target).pendingPrefills -= running.hasTokens ? 0 : 1;
            state(running.target).load.removeAttempt(attempt, nowMillis);
            if (result == AttemptResult.SUCCEEDED) {
                state(running.target).run.add(nowMillis - running.startedAtMillis, 1, nowMillis);
            }
        }
    }

    @Override
    public void onTargetEvent(TargetEvent event, long nowMillis) {
        switch (event) {
            case TargetEvent.LoadReported report ->
                state(report.target())
                        .load
                        .updateReport(report.running() + report.queued(), report.ageMillis(), nowMillis);
            case TargetEvent.CacheChanged change -> {
                PrefixCacheEstimate prefixes = state(change.target()).prefixes;
                prefixes.add(change.added());
                prefixes.remove(change.evicted());
            }
            case TargetEvent.Draining _,
                    TargetEvent.Unreachable _,
                    TargetEvent.Reachable _,
                    TargetEvent.OrderAnswered _ -> {
                // The target directory and the engine orders react to these.
            }
        }
    }

    @Override
    public int inFlightAttempts(TargetId target) {
        return state(target).load.localAttempts();
    }

    @Override
    public double expectedTokenLatencyMillis(TargetId target) {
        TargetState state = state(target);
        return state.pace.mediumTermAverage(PRIOR_PACE_MILLIS, NO_DECAY);
    }

    @Override
    public double medianTokenLatencyMillis(ServiceName service, long nowMillis) {
        List<Target> observed = directory.targets(service).stream()
                .filter(target -> directory.isAvailable(target.id()))
                .filter(target -> state(target.id()).pace.hasSamples(nowMillis))
                .toList();
        return observed.size() < MIN_COMPARED_TARGETS ? Double.POSITIVE_INFINITY : medianPace(observed, nowMillis);
    }

    @Override
    public double expectedFirstTokenMillis(RequestSpec spec, TargetId target, int resumedTokens) {
        TargetState state = state(target);
        return state.firstToken.mediumTermAverage(PRIOR_FIRST_TOKEN_MILLIS, NO_DECAY) + queueMillis(target);
    }

    /** Returns the longest plausible wait for a slot, by the load when a target was last chosen. */
    private double queueMillis(TargetId target) {
        TargetState state = state(target);
        int slots = directory.target(target).map(Target::slots).orElse(1);
        int ahead = state.load.estimatedAttempts(chosenAtMillis) + UNREPORTED_ATTEMPTS - slots;
        double runMillis = state.run.valueWithPrior(PRIOR_RUN_MILLIS, 1, NO_DECAY);
        return Math.max(0, ahead) * runMillis / slots;
    }

    @Override
    public double slotShare(ServiceName service, double sharingRouters, long nowMillis) {
        double places = 0;
        double own = 0;
        double others = 0;
        for (Target target : directory.targets(service)) {
            if (directory.isAvailable(target.id())) {
                TargetLoad load = state(target.id()).load;
                places += target.slots() * QUEUE_FACTOR;
                own += load.localAttemptsAtReport(nowMillis);
                others += load.remoteAttemptsAtReport(nowMillis);
            }
        }
        // One more attempt per router lets a router without load begin, and grow to all places if it is alone.
        double ofLoad = places * (own + 1) / (own + others + sharingRouters);
        return Math.max(places / sharingRouters, ofLoad);
    }

    @Override
    public int localAttempts(ServiceName service) {
        int own = 0;
        for (Target target : directory.targets(service)) {
            own += directory.isAvailable(target.id()) ? state(target.id()).load.localAttempts() : 0;
        }
        return own;
    }

    @Override
    public int totalSlots(ServiceName service) {
        int slots = 0;
        for (Target target : directory.targets(service)) {
            if (directory.isAvailable(target.id())) {
                slots += target.slots();
            }
        }
        return slots;
    }

    @Override
    public int targetCount(ServiceName service) {
        return (int) directory.targets(service).stream()
                .filter(target -> directory.isAvailable(target.id()))
                .count();
    }

    private List<Target> candidates(RequestSpec spec, SelectionContext context) {
        List<Target> suitable = new ArrayList<>();
        for (Target target : directory.targets(spec.service())) {
            boolean versionFits = context.requiredVersion().isEmpty()
                    || context.requiredVersion().equals(target.version());
            if (versionFits && !context.excluded().contains(target.id()) && directory.isAvailable(target.id())) {
                suitable.add(target);
            }
        }
        List<Target> preferred = suitable;
        if (context.avoidedDomain().isPresent()) {
            preferred = preferred.stream()
                    .filter(target -> !target.failureDomain()
                            .equals(context.avoidedDomain().get()))
                    .toList();
        }
        if (context.exclusive()) {
            preferred = preferred.stream()
                    .filter(target -> inFlightAttempts(target.id()) == 0)
                    .toList();
        }
        return preferred.isEmpty() ? suitable : preferred;
    }

    private List<TargetCost> priced(List<Target> candidates, RequestSpec spec, boolean resume, long nowMillis) {
        double medianPace = medianPace(candidates, nowMillis);
        double meanOccupancy = candidates.stream()
                .mapToDouble(target -> occupancy(target, nowMillis))
                .average()
                .orElse(0);
        List<TargetCost> priced = new ArrayList<>();
        for (Target target : candidates) {
            double cost = cost(target, spec, medianPace, meanOccupancy, nowMillis);
            priced.add(new TargetCost(target, cost + regionCost(target, resume)));
        }
        return priced;
    }

    private Target cheapest(List<TargetCost> priced) {
        double least = priced.stream().mapToDouble(TargetCost::cost).min().orElseThrow();
        List<TargetCost> best = priced.stream()
                .filter(candidate -> candidate.cost() <= least + EQUAL_COST_MARGIN)
                .toList();
        return best.get(random.nextInt(best.size())).target();
    }

    /** Samples from the softmax of the negative costs: the least cost after adding Gumbel noise to each. */
    private Target sampled(List<TargetCost> priced) {
        Target chosen = priced.getFirst().target();
        double least = Double.POSITIVE_INFINITY;
        for (TargetCost candidate : priced) {
            double noisy = candidate.cost() + RESUME_TEMPERATURE * Math.log(-Math.log(random.nextDouble()));
            if (noisy < least) {
                least = noisy;
                chosen = candidate.target();
            }
        }
        return chosen;
    }

    private double regionCost(Target target, boolean resume) {
        if (target.region().equals(region)) {
            return 0;
        }
        return resume ? RESUME_OTHER_REGION_COST : OTHER_REGION_COST;
    }

    private double cost(Target target, RequestSpec spec, double medianPace, double meanOccupancy, long nowMillis) {
        TargetState state = state(target.id());
        double occupancy = occupancy(target, nowMillis);
        double slowness = Math.max(1, state.pace.worstAverage(medianPace, nowMillis) / medianPace);
        double cost = occupancy * slowness + (slowness - 1) + PENDING_PREFILL_COST * state.pendingPrefills;
        if (spec.work() instanceof Work.Generation generation && occupancy <= meanOccupancy * AFFINITY_LOAD_FACTOR) {
            cost -= CACHED_PREFIX_BONUS * state.prefixes.cachedFraction(generation.prefixHashes());
        }
        return cost;
    }

    private double occupancy(Target target, long nowMillis) {
        return (state(target.id()).load.estimatedAttempts(nowMillis) + 1.0) / target.slots();
    }

    private double medianPace(List<Target> candidates, long nowMillis) {
        double[] paces = candidates.stream()
                .map(target -> state(target.id()))
                .filter(state -> state.pace.hasSamples(nowMillis))
                .mapToDouble(state -> state.pace.mediumTermAverage(PRIOR_PACE_MILLIS, nowMillis))
                .sorted()
                .toArray();
        return paces.length == 0 ? PRIOR_PACE_MILLIS : Math.max(1, paces[(paces.length - 1) / 2]);
    }

    private TargetState state(TargetId target) {
        return states.computeIfAbsent(target, _ -> new TargetState());
    }

    private record TargetCost(Target target, double cost) {}

    private static final class TargetState {
        private final TargetLoad load = new TargetLoad();
        private final TargetLatency pace = new TargetLatency();
        private final TargetLatency firstToken = new TargetLatency();
        private final PrefixCacheEstimate prefixes = new PrefixCacheEstimate(PREFIXES_PER_TARGET);
        private final DecayingAverage run = new DecayingAverage(RUN_HALF_LIFE_MILLIS);
        private int pendingPrefills;
    }

    private static final class RunningAttempt {
        private final TargetId target;
        private final long startedAtMillis;
        private long lastProgressMillis;
        private boolean hasTokens;

        private RunningAttempt(TargetId target, long startedAtMillis) {
            this.target = target;
            this.startedAtMillis = startedAtMillis;
            this.lastProgressMillis = startedAtMillis;
        }
    }
}
