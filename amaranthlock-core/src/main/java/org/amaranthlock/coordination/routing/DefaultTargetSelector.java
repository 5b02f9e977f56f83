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
 * {@link TargetSelector} that selects the target with the lowest expected cost, based on local observations and on the
 * targets' delayed load reports.
 *
 * <p>The cost of a target is its occupancy including the new request, multiplied by its slowness relative to the median
 * of the candidates, plus the slowness above 1, which also counts for an idle target, plus costs for pending prefills
 * and for another region, minus a bonus for a cached prompt prefix. Resumes are distributed randomly over targets of
 * similar cost, and a few first attempts probe a random target. Not thread-safe.
 */
public final class DefaultTargetSelector implements TargetSelector, CapacityView {
    /** Expected time between tokens before the first observation, in milliseconds. */
    private static final double PRIOR_TOKEN_LATENCY_MILLIS = 50;

    /** Expected time to the first token before the first observation, in milliseconds. */
    private static final double PRIOR_FIRST_TOKEN_MILLIS = 300;

    /** Cost of another region; 1 is the cost of a fully occupied target. */
    private static final double OTHER_REGION_COST = 0.5;

    /**
     * Cost of another region for a resume. A full target delays the client's next token by seconds and another region
     * by 24 ms, so resumes spread over all regions instead of overloading the remaining targets of their own.
     */
    private static final double RESUME_OTHER_REGION_COST = 0.05;

    /** Cost of each local attempt that is still in prefill; a target runs its prefills sequentially. */
    private static final double PENDING_PREFILL_COST = 0.25;

    /**
     * Softmax temperature of the selection for resumes. When a target fails, all routers lose their streams at the same
     * moment and have the same delayed reports; without noise they would select the same target.
     */
    private static final double RESUME_TEMPERATURE = 0.15;

    /** Cost reduction for a completely cached prompt; 1 is the cost of a fully occupied target. */
    private static final double CACHED_PREFIX_BONUS = 0.3;

    /** A cached prefix gives no bonus to a target whose occupancy is above this multiple of the mean. */
    private static final double AFFINITY_LOAD_FACTOR = 1.25;

    /** Probability of selecting a random target, which detects the recovery of a slow one. */
    private static final double PROBE_PROBABILITY = 0.01;

    /** Costs that differ by at most this count as equal; the selection among equal targets is random. */
    private static final double EQUAL_COST_MARGIN = 0.02;

    /**
     * Attempts per slot that all routers run together. A factor above 1 keeps slots busy while a finished response and
     * the next request cross the network; a higher one would only queue requests at the target instead of in the fair
     * queue.
     */
    private static final double ATTEMPTS_PER_SLOT = 1.1875;

    /** Expected duration of an attempt before the first observation, in milliseconds. */
    private static final double PRIOR_ATTEMPT_MILLIS = 5_000;

    private static final double ATTEMPT_HALF_LIFE_MILLIS = 30_000;

    /** Number of observed targets below which the median is not representative. */
    private static final int MIN_COMPARED_TARGETS = 3;

    /** Assumed number of attempts that other routers have sent to a target since its last report. */
    private static final int UNREPORTED_ATTEMPTS = 4;

    private static final int MAX_PREFIXES_PER_TARGET = 4_096;

    private final TargetDirectory directory;
    private final Region region;
    private final UniformRandomProvider random;
    private final Map<TargetId, TargetState> states = new LinkedHashMap<>();
    private final Map<AttemptId, AttemptProgress> attempts = new LinkedHashMap<>();
    private long lastSelectionMillis;

    /** Creates a selector for a router in {@code region}. */
    public DefaultTargetSelector(TargetDirectory directory, Region region, UniformRandomProvider random) {
        this.directory = Objects.requireNonNull(directory, "directory");
        this.region = Objects.requireNonNull(region, "region");
        this.random = Objects.requireNonNull(random, "random");
    }

    @Override
    public Optional<Target> select(RequestSpec spec, SelectionContext context, long nowMillis) {
        lastSelectionMillis = nowMillis;
        List<Target> candidates = candidates(spec, context);
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        if (context.resumedTokens() == 0 && random.nextDouble() < PROBE_PROBABILITY) {
            return Optional.of(candidates.get(random.nextInt(candidates.size())));
        }
        List<TargetCost> costs = estimateCosts(candidates, spec, context.resumedTokens() > 0, nowMillis);
        return Optional.of(context.resumedTokens() > 0 ? sampleTarget(costs) : cheapestTarget(costs));
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
        attempts.put(attempt, new AttemptProgress(target.id(), nowMillis));
    }

    @Override
    public void onTokens(AttemptId attempt, int tokens, long nowMillis) {
        AttemptProgress progress = attempts.get(attempt);
        if (progress == null || tokens <= 0) {
            return;
        }
        TargetState state = state(progress.target);
        long elapsed = nowMillis - progress.lastProgressMillis;
        if (progress.hasTokens) {
            state.tokenLatency.add((double) elapsed / tokens, tokens, nowMillis);
        } else {
            state.firstTokenLatency.add(elapsed, 1, nowMillis);
            state.pendingPrefills--;
        }
        progress.hasTokens = true;
        progress.lastProgressMillis = nowMillis;
    }

    @Override
    public void onAttemptFinished(AttemptId attempt, AttemptResult result, long nowMillis) {
        AttemptProgress progress = attempts.remove(attempt);
        if (progress != null) {
            state(progress.target).pendingPrefills -= progress.hasTokens ? 0 : 1;
            state(progress.target).load.removeAttempt(attempt, nowMillis);
            if (result == AttemptResult.SUCCEEDED) {
                state(progress.target).attemptDuration.add(nowMillis - progress.startedAtMillis, 1, nowMillis);
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
                    TargetEvent.OrderResponseReceived _ -> {
                // The target directory and the engine order controller handle these.
            }
        }
    }

    @Override
    public int localAttempts(TargetId target) {
        return state(target).load.localAttempts();
    }

    @Override
    public double expectedTokenLatencyMillis(TargetId target) {
        TargetState state = state(target);
        return state.tokenLatency.lastMediumTermAverage(PRIOR_TOKEN_LATENCY_MILLIS);
    }

    @Override
    public double medianTokenLatencyMillis(ServiceName service, long nowMillis) {
        List<Target> observed = directory.targets(service).stream()
                .filter(target -> directory.isAvailable(target.id()))
                .filter(target -> state(target.id()).tokenLatency.hasSamples(nowMillis))
                .toList();
        return observed.size() < MIN_COMPARED_TARGETS
                ? Double.POSITIVE_INFINITY
                : medianTokenLatency(observed, nowMillis);
    }

    @Override
    public double expectedFirstTokenMillis(RequestSpec spec, TargetId target, int resumedTokens) {
        TargetState state = state(target);
        return state.firstTokenLatency.lastMediumTermAverage(PRIOR_FIRST_TOKEN_MILLIS) + expectedQueueMillis(target);
    }

    /** Returns an upper estimate of the wait for a slot, by the load at the last selection. */
    private double expectedQueueMillis(TargetId target) {
        TargetState state = state(target);
        int slots = directory.target(target).map(Target::slots).orElse(1);
        int attemptsAhead = state.load.estimatedAttempts(lastSelectionMillis) + UNREPORTED_ATTEMPTS - slots;
        double attemptMillis = state.attemptDuration.lastValueWithPrior(PRIOR_ATTEMPT_MILLIS, 1);
        return Math.max(0, attemptsAhead) * attemptMillis / slots;
    }

    @Override
    public double slotShare(ServiceName service, double sharingRouters, long nowMillis) {
        double capacity = 0;
        double localAttempts = 0;
        double remoteAttempts = 0;
        for (Target target : directory.targets(service)) {
            if (directory.isAvailable(target.id())) {
                TargetLoad load = state(target.id()).load;
                capacity += target.slots() * ATTEMPTS_PER_SLOT;
                localAttempts += load.localAttemptsAtReport(nowMillis);
                remoteAttempts += load.remoteAttemptsAtReport(nowMillis);
            }
        }
        // One extra attempt per router lets a router without load start, and grow to the full capacity if it is the
        // only one.
        double shareByLoad = capacity * (localAttempts + 1) / (localAttempts + remoteAttempts + sharingRouters);
        return Math.max(capacity / sharingRouters, shareByLoad);
    }

    @Override
    public int localAttempts(ServiceName service) {
        int attempts = 0;
        for (Target target : directory.targets(service)) {
            attempts +=
                    directory.isAvailable(target.id()) ? state(target.id()).load.localAttempts() : 0;
        }
        return attempts;
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
                    .filter(target -> localAttempts(target.id()) == 0)
                    .toList();
        }
        return preferred.isEmpty() ? suitable : preferred;
    }

    private List<TargetCost> estimateCosts(List<Target> candidates, RequestSpec spec, boolean resume, long nowMillis) {
        double medianLatencyMillis = medianTokenLatency(candidates, nowMillis);
        double meanOccupancy = candidates.stream()
                .mapToDouble(target -> occupancy(target, nowMillis))
                .average()
                .orElse(0);
        List<TargetCost> costs = new ArrayList<>();
        for (Target target : candidates) {
            double cost = cost(target, spec, medianLatencyMillis, meanOccupancy, nowMillis);
            costs.add(new TargetCost(target, cost + regionCost(target, resume)));
        }
        return costs;
    }

    private Target cheapestTarget(List<TargetCost> costs) {
        double least = costs.stream().mapToDouble(TargetCost::cost).min().orElseThrow();
        List<TargetCost> best = costs.stream()
                .filter(candidate -> candidate.cost() <= least + EQUAL_COST_MARGIN)
                .toList();
        return best.get(random.nextInt(best.size())).target();
    }

    /** Samples from the softmax of the negative costs, by adding Gumbel noise to each cost and taking the lowest. */
    private Target sampleTarget(List<TargetCost> costs) {
        Target chosen = costs.getFirst().target();
        double least = Double.POSITIVE_INFINITY;
        for (TargetCost candidate : costs) {
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

    private double cost(
            Target target, RequestSpec spec, double medianLatencyMillis, double meanOccupancy, long nowMillis) {
        TargetState state = state(target.id());
        double occupancy = occupancy(target, nowMillis);
        double slowness =
                Math.max(1, state.tokenLatency.worstAverage(medianLatencyMillis, nowMillis) / medianLatencyMillis);
        double cost = occupancy * slowness + (slowness - 1) + PENDING_PREFILL_COST * state.pendingPrefills;
        if (spec.work() instanceof Work.Generation generation && occupancy <= meanOccupancy * AFFINITY_LOAD_FACTOR) {
            cost -= CACHED_PREFIX_BONUS * state.prefixes.cachedFraction(generation.prefixHashes());
        }
        return cost;
    }

    private double occupancy(Target target, long nowMillis) {
        return (state(target.id()).load.estimatedAttempts(nowMillis) + 1.0) / target.slots();
    }

    private double medianTokenLatency(List<Target> candidates, long nowMillis) {
        double[] latencies = candidates.stream()
                .map(target -> state(target.id()))
                .filter(state -> state.tokenLatency.hasSamples(nowMillis))
                .mapToDouble(state -> state.tokenLatency.mediumTermAverage(PRIOR_TOKEN_LATENCY_MILLIS, nowMillis))
                .sorted()
                .toArray();
        return latencies.length == 0 ? PRIOR_TOKEN_LATENCY_MILLIS : Math.max(1, latencies[(latencies.length - 1) / 2]);
    }

    private TargetState state(TargetId target) {
        return states.computeIfAbsent(target, _ -> new TargetState());
    }

    private record TargetCost(Target target, double cost) {}

    private static final class TargetState {
        private final TargetLoad load = new TargetLoad();
        private final TargetLatency tokenLatency = new TargetLatency();
        private final TargetLatency firstTokenLatency = new TargetLatency();
        private final PrefixCacheEstimate prefixes = new PrefixCacheEstimate(MAX_PREFIXES_PER_TARGET);
        private final DecayingAverage attemptDuration = new DecayingAverage(ATTEMPT_HALF_LIFE_MILLIS);
        private int pendingPrefills;
    }

    private static final class AttemptProgress {
        private final TargetId target;
        private final long startedAtMillis;
        private long lastProgressMillis;
        private boolean hasTokens;

        private AttemptProgress(TargetId target, long startedAtMillis) {
            this.target = target;
            this.startedAtMillis = startedAtMillis;
            this.lastProgressMillis = startedAtMillis;
        }
    }
}
