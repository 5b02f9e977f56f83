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
import org.amaranthlock.bench.sim.EngineSettings;
import org.amaranthlock.bench.sim.SimulatedRequest;
import org.amaranthlock.bench.sim.SimulatedRequest.State;
import org.amaranthlock.model.OutcomeRecord;
import org.amaranthlock.model.RequestId;

/** The brief's four measures of one policy in one deployment, over several seeds. */
public final class PolicyBenchmark {
    private static final long ARRIVALS_MILLIS = 90_000;
    private static final long DRAIN_MILLIS = 120_000;
    private static final long FAULT_AT_MILLIS = 30_000;

    /** Requests that arrive before this time warm the run up and are not measured. */
    private static final long MEASURED_FROM_MILLIS = 20_000;

    private static final long PEAK_FROM_MILLIS = 30_000;
    private static final long PEAK_TO_MILLIS = 60_000;
    private static final double QUIET_UTILISATION = 0.3;
    private static final double PEAK_FACTOR = 5;
    private static final double PEAK_UTILISATION = QUIET_UTILISATION * PEAK_FACTOR;

    /** Title of the figure by which the policies' tails are compared with each other. */
    public static final String TAIL_EXCESS = "p99 excess, ms";

    /** A decision on admission takes no virtual time; this covers the rounding of times. */
    private static final long DECISION_MILLIS = 2;

    private static final double NO_TARGET = Double.NaN;

    private final Deployment deployment;
    private final Policy policy;
    private final List<Long> seeds;

    /** Creates the measures. */
    public PolicyBenchmark(Deployment deployment, Policy policy, List<Long> seeds) {
        this.deployment = Objects.requireNonNull(deployment, "deployment");
        this.policy = Objects.requireNonNull(policy, "policy");
        this.seeds = List.copyOf(seeds);
    }

    /** Measures resumption after the death of an engine or a failure domain. */
    public List<MetricResult> measureResume(Fault fault) {
        Demand demand = Demand.steady(0.5, 0.03);
        List<SimulationResult> results = simulate(demand, fault);
        List<SimulationResult> healthy = simulate(demand, new Fault.None());
        // A single run has a few dozen resumed answers, too few for a 95th percentile; the seeds' answers are pooled.
        double pooledGap = SimulationResult.percentile(results, 95, _ -> true, SimulatedRequest::resumeGapMillis);
        List<Double> readAgain = new ArrayList<>();
        for (int i = 0; i < results.size(); i++) {
            readAgain.add((results.get(i).prefilledTokens() - healthy.get(i).prefilledTokens()) / 1_000.0);
        }
        return List.of(
                new MetricResult("output gap p95 of all seeds, ms", 1_000, true, List.of(pooledGap)),
                metric("output gap worst, ms", 6_000, true, results, PolicyBenchmark::worstGap),
                metric("tokens computed twice, %", 2, true, results, PolicyBenchmark::recomputedPercent),
                metric(
                        "resumed answers",
                        NO_TARGET,
                        true,
                        results,
                        result -> result.count(request -> request.resumeGapMillis() >= 0)),
                metric("failed answers", 0, true, results, result -> result.count(hasState(State.FAILED))),
                metric("read by resumes, thousand tokens", NO_TARGET, true, results, PolicyBenchmark::resumePrefill),
                new MetricResult("read more than unfaulted, thousand", NO_TARGET, true, readAgain));
    }

    /** Measures service at a demand peak. */
    public List<MetricResult> measureDemandPeak() {
        Demand peak = new Demand(QUIET_UTILISATION, 0, PEAK_FACTOR, PEAK_FROM_MILLIS, PEAK_TO_MILLIS);
        List<SimulationResult> results = simulate(peak, new Fault.None());
        List<SimulationResult> quiet = simulate(Demand.steady(QUIET_UTILISATION, 0), new Fault.None());
        // A single run has about 35 quiet requests of small accounts, too few for a 99th percentile.
        double quietLatency = smallAccountLatency(quiet, afterWarmUp());
        double smallRatio = ratio(smallAccountLatency(results, inPeak()), quietLatency);
        double fullBatchRatio = ratio(smallAccountFullBatchLatency(results), quietLatency);
        return List.of(
                metric("useful throughput, % of capacity", 95, false, results, this::usefulThroughputPercent),
                metric("capacity spent on prompts, %", NO_TARGET, true, results, this::promptPercent),
                metric("admitted but late", 0, true, results, result -> result.count(this::isLate)),
                new MetricResult("small accounts p99, times quiet", 1.2, true, List.of(smallRatio)),
                new MetricResult("same, full batch without any wait", NO_TARGET, true, List.of(fullBatchRatio)),
                metric(
                        "small accounts refused, %",
                        NO_TARGET, true, results, PolicyBenchmark::smallAccountRefusedPercent));
    }

    /** Measures how long short work waits behind stragglers. */
    public List<MetricResult> measureHeadOfLineBlocking() {
        List<SimulationResult> without = simulate(Demand.steady(0.4, 0), new Fault.None());
        List<SimulationResult> with = simulate(Demand.steady(0.4, 0.03), new Fault.None());
        List<Double> ratios = new ArrayList<>();
        for (int i = 0; i < with.size(); i++) {
            ratios.add(ratio(shortWait(with.get(i)), shortWait(without.get(i))));
        }
        return List.of(
                new MetricResult("short work p99 wait, times without", 1.2, true, ratios),
                metric("short work p99 wait, ms", NO_TARGET, true, with, PolicyBenchmark::shortWait),
                metric(
                        "short work refused",
                        NO_TARGET,
                        true,
                        with,
                        result -> result.count(hasState(State.REFUSED).and(request -> !request.straggler()))));
    }

    /** Measures tail latency while two engines run five times slower. */
    public List<MetricResult> measureTailLatency() {
        List<SimulationResult> healthy = simulate(Demand.steady(0.5, 0), new Fault.None());
        List<SimulationResult> slowed = simulate(Demand.steady(0.5, 0), new Fault.SlowEngines(2, 5, FAULT_AT_MILLIS));
        List<Double> ratios = new ArrayList<>();
        List<Double> excess = new ArrayList<>();
        for (int i = 0; i < slowed.size(); i++) {
            double slow = tailLatency(slowed.get(i));
            double normal = tailLatency(healthy.get(i));
            ratios.add(ratio(slow, normal));
            excess.add(slow - normal);
        }
        return List.of(
                new MetricResult("p99 latency, times unslowed", 1.3, true, ratios),
                new MetricResult(TAIL_EXCESS, NO_TARGET, true, excess),
                metric("failed answers", NO_TARGET, true, slowed, result -> result.count(hasState(State.FAILED))),
                metric("refused", NO_TARGET, true, slowed, result -> result.count(hasState(State.REFUSED))));
    }

    private List<SimulationResult> simulate(Demand demand, Fault fault) {
        return seeds.parallelStream()
                .map(seed -> new Simulation(new SimulationSettings(
                                deployment, demand, fault, policy, ARRIVALS_MILLIS, DRAIN_MILLIS, seed))
                        .run())
                .toList();
    }

    private static MetricResult metric(
            String title,
            double target,
            boolean atMost,
            List<SimulationResult> results,
            ToDoubleFunction<SimulationResult> value) {
        return new MetricResult(
                title,
                target,
                atMost,
                results.stream().map(value::applyAsDouble).toList());
    }

    private static Set<RequestId> resumed(SimulationResult result) {
        return result.records().stream()
                .filter(record -> record.attempts() > 1)
                .map(OutcomeRecord::request)
                .collect(Collectors.toCollection(HashSet::new));
    }

    private static double worstGap(SimulationResult result) {
        return result.requests().stream()
                .mapToLong(SimulatedRequest::resumeGapMillis)
                .max()
                .orElse(0);
    }

    private static double recomputedPercent(SimulationResult result) {
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

    private static double resumePrefill(SimulationResult result) {
        return result.resumePrefillTokens() / 1_000.0;
    }

    private double usefulThroughputPercent(SimulationResult result) {
        double useful = result.requests().stream()
                .filter(hasState(State.COMPLETED).and(request -> !isLate(request)))
                .mapToDouble(this::tokensInPeak)
                .sum();
        double seconds = (PEAK_TO_MILLIS - peakMeasuredFromMillis()) / 1_000.0;
        return 100 * useful / (deployment.capacityTokensPerSecond() * seconds);
    }

    /**
     * The peak is measured once its arrivals could have filled all slots. Before that, engines have free slots because
     * too little work has arrived, which no policy can change.
     */
    private long peakMeasuredFromMillis() {
        double arrivalsPerSecond = PEAK_UTILISATION * deployment.capacityTokensPerSecond() / deployment.meanTokens();
        double slots = (double) deployment.engines() * deployment.engine().slots();
        return PEAK_FROM_MILLIS + Demand.RISE_MILLIS + Math.round(1_000 * slots / arrivalsPerSecond);
    }

    /** Part of the engines' time that reads prompts when all slots decode; no policy can use it for answers. */
    private double promptPercent(SimulationResult result) {
        EngineSettings engine = deployment.engine();
        double prompts = result.prefilledTokens() * engine.prefillMillisPerToken();
        double answers = result.generatedTokens() * 1_000.0 / engine.capacityTokensPerSecond();
        return 100 * prompts / (prompts + answers);
    }

    /** Spreads the tokens of an answer evenly from its first token to its end. */
    private double tokensInPeak(SimulatedRequest request) {
        double from = request.spec().arrivedAtMillis() + request.waitMillis();
        double to = Math.max(from + 1, request.endedMillis());
        double overlap = Math.min(to, PEAK_TO_MILLIS) - Math.max(from, peakMeasuredFromMillis());
        return request.length() * Math.max(0, overlap) / (to - from);
    }

    /**
     * An admitted request is late if it failed, is still open, or ended after its deadline. A refusal after more than
     * the time of a decision means that the request was admitted and given up later.
     */
    private boolean isLate(SimulatedRequest request) {
        return switch (request.state()) {
            case REFUSED -> request.latencyMillis() > deployment.clientMillis() + DECISION_MILLIS;
            case FAILED, OPEN -> true;
            case COMPLETED -> request.endedMillis() > request.spec().deadlineMillis();
        };
    }

    private static double smallAccountLatency(List<SimulationResult> results, Predicate<SimulatedRequest> condition) {
        return SimulationResult.percentile(
                results,
                99,
                fromSmallAccount().and(condition).and(hasState(State.COMPLETED)),
                SimulatedRequest::latencyMillis);
    }

    /** The least p99 that decoding in a full batch allows, without queueing and without prefill. */
    private double smallAccountFullBatchLatency(List<SimulationResult> results) {
        EngineSettings engine = deployment.engine();
        double pace = engine.baseStepMillis() + engine.stepMillisPerRequest() * engine.slots();
        return SimulationResult.percentile(
                results, 99, fromSmallAccount().and(inPeak()), request -> Math.round(request.length() * pace));
    }

    private static double smallAccountRefusedPercent(SimulationResult result) {
        long refused = result.count(fromSmallAccount().and(inPeak()).and(hasState(State.REFUSED)));
        return 100.0 * refused / Math.max(1, result.count(fromSmallAccount().and(inPeak())));
    }

    private static Predicate<SimulatedRequest> fromSmallAccount() {
        return request -> Workload.isSmall(request.spec().account());
    }

    private static Predicate<SimulatedRequest> inPeak() {
        return request -> request.spec().arrivedAtMillis() >= PEAK_FROM_MILLIS
                && request.spec().arrivedAtMillis() < PEAK_TO_MILLIS;
    }

    private static double shortWait(SimulationResult result) {
        return result.percentile(99, afterWarmUp().and(request -> !request.straggler()), SimulatedRequest::waitMillis);
    }

    /** Includes the requests that were running when the fault came, and open ones with their time so far. */
    private static double tailLatency(SimulationResult result) {
        return result.percentile(
                99,
                hasState(State.REFUSED).negate().and(PolicyBenchmark::openAfterFault),
                request -> request.state() == State.OPEN
                        ? ARRIVALS_MILLIS + DRAIN_MILLIS - request.spec().arrivedAtMillis()
                        : request.latencyMillis());
    }

    private static boolean openAfterFault(SimulatedRequest request) {
        return request.state() == State.OPEN || request.endedMillis() >= FAULT_AT_MILLIS;
    }

    private static Predicate<SimulatedRequest> afterWarmUp() {
        return request -> request.spec().arrivedAtMillis() >= MEASURED_FROM_MILLIS;
    }

    private static Predicate<SimulatedRequest> hasState(State state) {
        return request -> request.state() == state;
    }

    private static double ratio(double value, double reference) {
        return value / Math.max(1, reference);
    }
}
