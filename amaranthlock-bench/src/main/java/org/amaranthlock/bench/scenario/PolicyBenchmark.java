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

/**
 * Measures one policy in one deployment over several seeds, as the requirements state: resuming after a crash, demand
 * peaks, head-of-line blocking and tail latency.
 */
public final class PolicyBenchmark {
    private static final long ARRIVALS_MILLIS = 90_000;
    private static final long DRAIN_MILLIS = 120_000;
    private static final long FAULT_AT_MILLIS = 30_000;

    /** Requests that arrive before this time belong to the warm-up and are not measured. */
    private static final long MEASURED_FROM_MILLIS = 20_000;

    private static final long PEAK_FROM_MILLIS = 30_000;
    private static final long PEAK_TO_MILLIS = 60_000;
    private static final double QUIET_UTILIZATION = 0.3;
    private static final double PEAK_FACTOR = 5;
    private static final double PEAK_UTILIZATION = QUIET_UTILIZATION * PEAK_FACTOR;

    /** Title of the metric by which the tail latencies of the policies are compared. */
    public static final String TAIL_EXCESS = "p99 excess, ms";

    /** Tolerance for the rounding of times; an admission decision itself takes no virtual time. */
    private static final long DECISION_TOLERANCE_MILLIS = 2;

    private static final double NO_TARGET_VALUE = Double.NaN;

    private final Deployment deployment;
    private final Policy policy;
    private final List<Long> seeds;

    /** Creates a benchmark that simulates every scenario once per seed. */
    public PolicyBenchmark(Deployment deployment, Policy policy, List<Long> seeds) {
        this.deployment = Objects.requireNonNull(deployment, "deployment");
        this.policy = Objects.requireNonNull(policy, "policy");
        this.seeds = List.copyOf(seeds);
    }

    /** Measures how responses resume after the crash of an engine or a failure domain. */
    public List<MetricResult> measureResume(SimulatedFault fault) {
        Demand demand = Demand.steady(0.5, 0.03);
        List<SimulationResult> results = simulate(demand, fault);
        List<SimulationResult> healthy = simulate(demand, new SimulatedFault.None());
        // One simulation has a few dozen resumed responses at most, too few for a 95th percentile; all seeds are
        // pooled.
        double pooledGapMillis = SimulationResult.percentile(results, 95, _ -> true, SimulatedRequest::resumeGapMillis);
        List<Double> additionalPrefill = new ArrayList<>();
        for (int i = 0; i < results.size(); i++) {
            additionalPrefill.add(
                    (results.get(i).prefilledTokens() - healthy.get(i).prefilledTokens()) / 1_000.0);
        }
        return List.of(
                new MetricResult("output gap p95 of all seeds, ms", 1_000, true, List.of(pooledGapMillis)),
                metric("output gap worst, ms", 6_000, true, results, PolicyBenchmark::longestResumeGap),
                metric("tokens computed twice, %", 2, true, results, PolicyBenchmark::recomputedPercent),
                metric(
                        "resumed answers",
                        NO_TARGET_VALUE,
                        true,
                        results,
                        result -> result.count(request -> request.resumeGapMillis() >= 0)),
                metric("failed answers", 0, true, results, result -> result.count(hasState(State.FAILED))),
                metric(
                        "prefill for resumes, thousand tokens",
                        NO_TARGET_VALUE,
                        true,
                        results,
                        PolicyBenchmark::resumePrefillThousands),
                new MetricResult("prefill added by fault, thousand", NO_TARGET_VALUE, true, additionalPrefill));
    }

    /** Measures throughput, deadlines and fairness between accounts during a demand peak. */
    public List<MetricResult> measureDemandPeak() {
        Demand peak = new Demand(QUIET_UTILIZATION, 0, PEAK_FACTOR, PEAK_FROM_MILLIS, PEAK_TO_MILLIS);
        List<SimulationResult> results = simulate(peak, new SimulatedFault.None());
        List<SimulationResult> quiet = simulate(Demand.steady(QUIET_UTILIZATION, 0), new SimulatedFault.None());
        // One quiet simulation has about 35 requests of small accounts, too few for a 99th percentile; all seeds are
        // pooled.
        double quietLatency = smallAccountLatency(quiet, afterWarmUp());
        double smallRatio = ratio(smallAccountLatency(results, arrivedInPeak()), quietLatency);
        double fullBatchRatio = ratio(smallAccountFullBatchLatency(results), quietLatency);
        return List.of(
                metric("useful throughput, % of capacity", 95, false, results, this::usefulThroughputPercent),
                metric("capacity spent on prompts, %", NO_TARGET_VALUE, true, results, this::prefillTimePercent),
                metric("admitted but late", 0, true, results, result -> result.count(this::isLate)),
                new MetricResult("small accounts p99, ratio to quiet", 1.2, true, List.of(smallRatio)),
                new MetricResult("same, full batch without queueing", NO_TARGET_VALUE, true, List.of(fullBatchRatio)),
                metric(
                        "small accounts refused, %",
                        NO_TARGET_VALUE, true, results, PolicyBenchmark::smallAccountRefusedPercent));
    }

    /** Measures how long short requests wait behind stragglers. */
    public List<MetricResult> measureHeadOfLineBlocking() {
        List<SimulationResult> withoutStragglers = simulate(Demand.steady(0.4, 0), new SimulatedFault.None());
        List<SimulationResult> withStragglers = simulate(Demand.steady(0.4, 0.03), new SimulatedFault.None());
        List<Double> ratios = new ArrayList<>();
        for (int i = 0; i < withStragglers.size(); i++) {
            ratios.add(ratio(shortRequestWait(withStragglers.get(i)), shortRequestWait(withoutStragglers.get(i))));
        }
        return List.of(
                new MetricResult("short work p99 wait, ratio", 1.2, true, ratios),
                metric(
                        "short work p99 wait, ms",
                        NO_TARGET_VALUE,
                        true,
                        withStragglers,
                        PolicyBenchmark::shortRequestWait),
                metric(
                        "short work refused",
                        NO_TARGET_VALUE,
                        true,
                        withStragglers,
                        result -> result.count(hasState(State.REFUSED).and(request -> !request.straggler()))));
    }

    /** Measures tail latency while two engines run five times slower. */
    public List<MetricResult> measureTailLatency() {
        List<SimulationResult> healthy = simulate(Demand.steady(0.5, 0), new SimulatedFault.None());
        List<SimulationResult> slowed =
                simulate(Demand.steady(0.5, 0), new SimulatedFault.SlowEngines(2, 5, FAULT_AT_MILLIS));
        List<Double> ratios = new ArrayList<>();
        List<Double> excess = new ArrayList<>();
        for (int i = 0; i < slowed.size(); i++) {
            double slowedLatency = tailLatency(slowed.get(i));
            double healthyLatency = tailLatency(healthy.get(i));
            ratios.add(ratio(slowedLatency, healthyLatency));
            excess.add(slowedLatency - healthyLatency);
        }
        return List.of(
                new MetricResult("p99 latency, ratio to healthy", 1.3, true, ratios),
                new MetricResult(TAIL_EXCESS, NO_TARGET_VALUE, true, excess),
                metric("failed answers", NO_TARGET_VALUE, true, slowed, result -> result.count(hasState(State.FAILED))),
                metric("refused", NO_TARGET_VALUE, true, slowed, result -> result.count(hasState(State.REFUSED))));
    }

    private List<SimulationResult> simulate(Demand demand, SimulatedFault fault) {
        return seeds.parallelStream()
                .map(seed -> new Simulation(new SimulationSettings(
                                deployment, demand, fault, policy, ARRIVALS_MILLIS, DRAIN_MILLIS, seed))
                        .run())
                .toList();
    }

    private static MetricResult metric(
            String title,
            double target,
            boolean upperBound,
            List<SimulationResult> results,
            ToDoubleFunction<SimulationResult> value) {
        return new MetricResult(
                title,
                target,
                upperBound,
                results.stream().map(value::applyAsDouble).toList());
    }

    private static Set<RequestId> resumedRequests(SimulationResult result) {
        return result.outcomes().stream()
                .filter(record -> record.attempts() > 1)
                .map(OutcomeRecord::request)
                .collect(Collectors.toCollection(HashSet::new));
    }

    private static double longestResumeGap(SimulationResult result) {
        return result.requests().stream()
                .mapToLong(SimulatedRequest::resumeGapMillis)
                .max()
                .orElse(0);
    }

    /** Returns the tokens generated but not delivered, as a percentage of the tokens delivered to resumed requests. */
    private static double recomputedPercent(SimulationResult result) {
        long delivered = result.requests().stream()
                .mapToLong(SimulatedRequest::deliveredTokens)
                .sum();
        Set<RequestId> resumed = resumedRequests(result);
        long deliveredResumed = result.requests().stream()
                .filter(request -> resumed.contains(request.spec().id()))
                .mapToLong(SimulatedRequest::deliveredTokens)
                .sum();
        return 100.0 * (result.generatedTokens() - delivered) / Math.max(1, deliveredResumed);
    }

    private static double resumePrefillThousands(SimulationResult result) {
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
     * Returns the time from which the peak is measured: when its arrivals could have filled all slots. Before that,
     * engines have free slots because too few requests have arrived, which no policy can change.
     */
    private long peakMeasuredFromMillis() {
        double arrivalsPerSecond =
                PEAK_UTILIZATION * deployment.capacityTokensPerSecond() / deployment.meanResponseTokens();
        double slots = (double) deployment.engines() * deployment.engine().slots();
        return PEAK_FROM_MILLIS + Demand.RISE_MILLIS + Math.round(1_000 * slots / arrivalsPerSecond);
    }

    /**
     * Returns the percentage of engine time spent on prefill with all slots busy; no policy can use this time to
     * generate tokens.
     */
    private double prefillTimePercent(SimulationResult result) {
        EngineSettings engine = deployment.engine();
        double prefillMillis = result.prefilledTokens() * engine.prefillMillisPerToken();
        double decodeMillis = result.generatedTokens() * 1_000.0 / engine.capacityTokensPerSecond();
        return 100 * prefillMillis / (prefillMillis + decodeMillis);
    }

    /** Returns the tokens generated during the peak, assuming a constant rate from the first token to the end. */
    private double tokensInPeak(SimulatedRequest request) {
        double from = request.spec().arrivedAtMillis() + request.waitMillis();
        double to = Math.max(from + 1, request.endedMillis());
        double overlap = Math.min(to, PEAK_TO_MILLIS) - Math.max(from, peakMeasuredFromMillis());
        return request.responseTokens() * Math.max(0, overlap) / (to - from);
    }

    /**
     * Returns whether an admitted request failed, is still open or completed after its deadline. A rejection that
     * took longer than an admission decision means that the request was admitted first and abandoned later.
     */
    private boolean isLate(SimulatedRequest request) {
        return switch (request.state()) {
            case REFUSED -> request.latencyMillis() > deployment.clientDelayMillis() + DECISION_TOLERANCE_MILLIS;
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

    /** Returns the lowest p99 latency that decoding in a full batch allows, without queueing and prefill. */
    private double smallAccountFullBatchLatency(List<SimulationResult> results) {
        EngineSettings engine = deployment.engine();
        double stepMillis = engine.baseStepMillis() + engine.stepMillisPerRequest() * engine.slots();
        return SimulationResult.percentile(
                results,
                99,
                fromSmallAccount().and(arrivedInPeak()),
                request -> Math.round(request.responseTokens() * stepMillis));
    }

    private static double smallAccountRefusedPercent(SimulationResult result) {
        long refused = result.count(fromSmallAccount().and(arrivedInPeak()).and(hasState(State.REFUSED)));
        return 100.0 * refused / Math.max(1, result.count(fromSmallAccount().and(arrivedInPeak())));
    }

    private static Predicate<SimulatedRequest> fromSmallAccount() {
        return request -> Workload.isSmall(request.spec().account());
    }

    private static Predicate<SimulatedRequest> arrivedInPeak() {
        return request -> request.spec().arrivedAtMillis() >= PEAK_FROM_MILLIS
                && request.spec().arrivedAtMillis() < PEAK_TO_MILLIS;
    }

    private static double shortRequestWait(SimulationResult result) {
        return result.percentile(99, afterWarmUp().and(request -> !request.straggler()), SimulatedRequest::waitMillis);
    }

    /**
     * Returns the p99 latency of the requests that were open at or after the time of the fault, without rejected ones.
     * Requests that are still open count with their latency so far.
     */
    private static double tailLatency(SimulationResult result) {
        return result.percentile(
                99,
                hasState(State.REFUSED).negate().and(PolicyBenchmark::wasOpenAfterFault),
                request -> request.state() == State.OPEN
                        ? ARRIVALS_MILLIS + DRAIN_MILLIS - request.spec().arrivedAtMillis()
                        : request.latencyMillis());
    }

    private static boolean wasOpenAfterFault(SimulatedRequest request) {
        return request.state() == State.OPEN || request.endedMillis() >= FAULT_AT_MILLIS;
    }

    private static Predicate<SimulatedRequest> afterWarmUp() {
        return request -> request.spec().arrivedAtMillis() >= MEASURED_FROM_MILLIS;
    }

    private static Predicate<SimulatedRequest> hasState(State state) {
        return request -> request.state() == state;
    }

    /** Returns the ratio of two times in ms; the divisor is at least 1 ms, so that the ratio is finite. */
    private static double ratio(double value, double reference) {
        return value / Math.max(1, reference);
    }
}
