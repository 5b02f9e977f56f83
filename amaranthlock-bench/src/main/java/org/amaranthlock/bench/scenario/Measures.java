package org.amaranthlock.bench.scenario;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;
import org.amaranthlock.bench.policy.Policy;
import org.amaranthlock.bench.sim.SimulatedRequest;
import org.amaranthlock.bench.sim.SimulatedRequest.State;
import org.amaranthlock.model.OutcomeRecord;
import org.amaranthlock.model.RequestId;

/** The brief's four measures of one policy in one deployment, over several seeds. */
public final class Measures {
    private static final long ARRIVALS_MILLIS = 90_000;
    private static final long DRAIN_MILLIS = 120_000;
    private static final long FAULT_AT_MILLIS = 30_000;

    /** Requests that arrive before this time warm the run up and are not measured. */
    private static final long MEASURED_FROM_MILLIS = 20_000;

    private static final long CREST_FROM_MILLIS = 30_000;
    private static final long CREST_TO_MILLIS = 60_000;

    /** The crest is measured once the rise is over and the queues are full. */
    private static final long CREST_MEASURED_FROM_MILLIS = 35_000;

    private static final double NO_TARGET = Double.NaN;

    private final Deployment deployment;
    private final Policy policy;
    private final List<Long> seeds;

    /** Creates the measures. */
    public Measures(Deployment deployment, Policy policy, List<Long> seeds) {
        this.deployment = Objects.requireNonNull(deployment, "deployment");
        this.policy = Objects.requireNonNull(policy, "policy");
        this.seeds = List.copyOf(seeds);
    }

    /** Measures resumption after the death of an engine or a failure domain. */
    public List<Figure> resume(Fault fault) {
        List<RunResult> results = runs(Demand.steady(0.5, 0.03), fault);
        return List.of(
                figure("output gap p95, ms", 1_000, true, results, result -> gap(result, 95)),
                figure("output gap worst, ms", 6_000, true, results, result -> gap(result, 100)),
                figure("tokens computed twice, %", 2, true, results, Measures::recomputedPercent),
                figure(
                        "resumed answers",
                        NO_TARGET,
                        true,
                        results,
                        result -> resumed(result).size()),
                figure("failed answers", 0, true, results, result -> result.count(state(State.FAILED))),
                figure("tokens read again, thousands", NO_TARGET, true, results, Measures::prefilledThousands));
    }

    /** Measures service at the crest of a demand swing. */
    public List<Figure> crest() {
        Demand crest = new Demand(0.3, 0, 5, CREST_FROM_MILLIS, CREST_TO_MILLIS);
        List<RunResult> results = runs(crest, new Fault.None());
        List<RunResult> quiet = runs(Demand.steady(0.3, 0), new Fault.None());
        List<Double> smallRatios = new ArrayList<>();
        for (int i = 0; i < results.size(); i++) {
            smallRatios.add(ratio(smallLatency(results.get(i)), smallLatency(quiet.get(i))));
        }
        return List.of(
                figure("useful throughput, % of capacity", 95, false, results, this::usefulPercent),
                figure("admitted but late", 0, true, results, result -> result.count(Measures::late)),
                new Figure("small accounts p99, times quiet", 1.2, true, smallRatios),
                figure("small accounts refused, %", NO_TARGET, true, results, Measures::smallRefusedPercent));
    }

    /** Measures how long short work waits behind stragglers. */
    public List<Figure> headOfLine() {
        List<RunResult> without = runs(Demand.steady(0.4, 0), new Fault.None());
        List<RunResult> with = runs(Demand.steady(0.4, 0.03), new Fault.None());
        List<Double> ratios = new ArrayList<>();
        for (int i = 0; i < with.size(); i++) {
            ratios.add(ratio(shortWait(with.get(i)), shortWait(without.get(i))));
        }
        return List.of(
                new Figure("short work p99 wait, times without", 1.2, true, ratios),
                figure("short work p99 wait, ms", NO_TARGET, true, with, Measures::shortWait),
                figure(
                        "short work refused",
                        NO_TARGET,
                        true,
                        with,
                        result -> result.count(state(State.REFUSED).and(request -> !request.straggler()))));
    }

    /** Measures tail latency while two engines run five times slower. */
    public List<Figure> tail() {
        List<RunResult> healthy = runs(Demand.steady(0.5, 0), new Fault.None());
        List<RunResult> slowed = runs(Demand.steady(0.5, 0), new Fault.SlowEngines(2, 5, FAULT_AT_MILLIS));
        List<Double> ratios = new ArrayList<>();
        List<Double> excess = new ArrayList<>();
        for (int i = 0; i < slowed.size(); i++) {
            double slow = tailLatency(slowed.get(i));
            double normal = tailLatency(healthy.get(i));
            ratios.add(ratio(slow, normal));
            excess.add(slow - normal);
        }
        return List.of(
                new Figure("p99 latency, times unslowed", 1.3, true, ratios),
                new Figure("p99 excess, ms", NO_TARGET, true, excess),
                figure("refused", NO_TARGET, true, slowed, result -> result.count(state(State.REFUSED))));
    }

    private List<RunResult> runs(Demand demand, Fault fault) {
        return seeds.parallelStream()
                .map(seed -> new Simulation(
                                new Run(deployment, demand, fault, policy, ARRIVALS_MILLIS, DRAIN_MILLIS, seed))
                        .run())
                .toList();
    }

    private static Figure figure(
            String title, double target, boolean atMost, List<RunResult> results, ToDoubleFunction<RunResult> value) {
        return new Figure(
                title,
                target,
                atMost,
                results.stream().map(value::applyAsDouble).toList());
    }

    private static Set<RequestId> resumed(RunResult result) {
        return result.records().stream()
                .filter(record -> record.attempts() > 1)
                .map(OutcomeRecord::request)
                .collect(Collectors.toCollection(HashSet::new));
    }

    private static double gap(RunResult result, double percentile) {
        Set<RequestId> resumed = resumed(result);
        return result.percentile(
                percentile, request -> resumed.contains(request.spec().id()), SimulatedRequest::longestGapMillis);
    }

    private static double recomputedPercent(RunResult result) {
        long delivered = result.requests().stream()
                .mapToLong(SimulatedRequest::deliveredTokens)
                .sum();
        Set<RequestId> resumed = resumed(result);
        long deliveredResumed = result.requests().stream()
                .filter(request -> resumed.contains(request.spec().id()))
                .mapToLong(SimulatedRequest::deliveredTokens)
                .sum();
        return 100.0 * (result.generatedTokens() - delivered) / Math.max(1, deliveredResumed);
    }

    private static double prefilledThousands(RunResult result) {
        return result.prefilledTokens() / 1_000.0;
    }

    private double usefulPercent(RunResult result) {
        double useful = result.requests().stream()
                .filter(state(State.COMPLETED).and(request -> !late(request)))
                .mapToDouble(Measures::tokensInCrest)
                .sum();
        double seconds = (CREST_TO_MILLIS - CREST_MEASURED_FROM_MILLIS) / 1_000.0;
        return 100 * useful / (deployment.capacityTokensPerSecond() * seconds);
    }

    /** Spreads the tokens of an answer evenly from its first token to its end. */
    private static double tokensInCrest(SimulatedRequest request) {
        double from = request.spec().arrivedAtMillis() + request.waitMillis();
        double to = Math.max(from + 1, request.endedMillis());
        double overlap = Math.min(to, CREST_TO_MILLIS) - Math.max(from, CREST_MEASURED_FROM_MILLIS);
        return request.length() * Math.max(0, overlap) / (to - from);
    }

    /** An admitted request is late if it failed, is still open, or ended after its deadline. */
    private static boolean late(SimulatedRequest request) {
        return switch (request.state()) {
            case REFUSED -> false;
            case FAILED, OPEN -> true;
            case COMPLETED -> request.endedMillis() > request.spec().deadlineMillis();
        };
    }

    private static double smallLatency(RunResult result) {
        return result.percentile(99, smallInCrest().and(state(State.COMPLETED)), SimulatedRequest::latencyMillis);
    }

    private static double smallRefusedPercent(RunResult result) {
        long refused = result.count(smallInCrest().and(state(State.REFUSED)));
        return 100.0 * refused / Math.max(1, result.count(smallInCrest()));
    }

    private static Predicate<SimulatedRequest> smallInCrest() {
        return request -> Workload.small(request.spec().account())
                && request.spec().arrivedAtMillis() >= CREST_FROM_MILLIS
                && request.spec().arrivedAtMillis() < CREST_TO_MILLIS;
    }

    private static double shortWait(RunResult result) {
        return result.percentile(99, measured().and(request -> !request.straggler()), SimulatedRequest::waitMillis);
    }

    private static double tailLatency(RunResult result) {
        return result.percentile(
                99, request -> request.spec().arrivedAtMillis() >= FAULT_AT_MILLIS, SimulatedRequest::latencyMillis);
    }

    private static Predicate<SimulatedRequest> measured() {
        return request -> request.spec().arrivedAtMillis() >= MEASURED_FROM_MILLIS;
    }

    private static Predicate<SimulatedRequest> state(State state) {
        return request -> request.state() == state;
    }

    private static double ratio(double value, double reference) {
        return value / Math.max(1, reference);
    }
}
