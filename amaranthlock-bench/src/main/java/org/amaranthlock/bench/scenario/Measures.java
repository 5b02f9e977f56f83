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
public final class Measures {
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
    public Measures(Deployment deployment, Policy policy, List<Long> seeds) {
        this.deployment = Objects.requireNonNull(deployment, "deployment");
        this.policy = Objects.requireNonNull(policy, "policy");
        this.seeds = List.copyOf(seeds);
    }

    /** Measures resumption after the death of an engine or a failure domain. */
    public List<Figure> resume(Fault fault) {
        Demand demand = Demand.steady(0.5, 0.03);
        List<RunResult> results = runs(demand, fault);
        List<RunResult> healthy = runs(demand, new Fault.None());
        // A single run has a few dozen resumed answers, too few for a 95th percentile; the seeds' answers are pooled.
        double pooledGap = RunResult.percentile(results, 95, _ -> true, SimulatedRequest::resumeGapMillis);
        List<Double> readAgain = new ArrayList<>();
        for (int i = 0; i < results.size(); i++) {
            readAgain.add((results.get(i).prefilledTokens() - healthy.get(i).prefilledTokens()) / 1_000.0);
        }
        return List.of(
                new Figure("output gap p95 of all seeds, ms", 1_000, true, List.of(pooledGap)),
                figure("output gap worst, ms", 6_000, true, results, Measures::worstGap),
                figure("tokens computed twice, %", 2, true, results, Measures::recomputedPercent),
                figure(
                        "resumed answers",
                        NO_TARGET,
                        true,
                        results,
                        result -> result.count(request -> request.resumeGapMillis() >= 0)),
                figure("failed answers", 0, true, results, result -> result.count(state(State.FAILED))),
                figure("read by resumes, thousand tokens", NO_TARGET, true, results, Measures::resumePrefill),
                new Figure("read more than unfaulted, thousand", NO_TARGET, true, readAgain));
    }

    /** Measures service at a demand peak. */
    public List<Figure> demandPeak() {
        Demand peak = new Demand(QUIET_UTILISATION, 0, PEAK_FACTOR, PEAK_FROM_MILLIS, PEAK_TO_MILLIS);
        List<RunResult> results = runs(peak, new Fault.None());
        List<RunResult> quiet = runs(Demand.steady(QUIET_UTILISATION, 0), new Fault.None());
        // A single run has about 35 quiet requests of small accounts, too few for a 99th percentile.
        double quietLatency = smallLatency(quiet, measured());
        double smallRatio = ratio(smallLatency(results, inPeak()), quietLatency);
        double fullBatchRatio = ratio(smallFullBatchLatency(results), quietLatency);
        return List.of(
                figure("useful throughput, % of capacity", 95, false, results, this::usefulPercent),
                figure("capacity spent on prompts, %", NO_TARGET, true, results, this::promptPercent),
                figure("admitted but late", 0, true, results, result -> result.count(this::late)),
                new Figure("small accounts p99, times quiet", 1.2, true, List.of(smallRatio)),
                new Figure("same, full batch without any wait", NO_TARGET, true, List.of(fullBatchRatio)),
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
                new Figure(TAIL_EXCESS, NO_TARGET, true, excess),
                figure("failed answers", NO_TARGET, true, slowed, result -> result.count(state(State.FAILED))),
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

    private static double worstGap(RunResult result) {
        return result.requests().stream()
                .mapToLong(SimulatedRequest::resumeGapMillis)
                .max()
                .orElse(0);
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

    private static double resumePrefill(RunResult result) {
        return result.resumePrefillTokens() / 1_000.0;
    }

    private double usefulPercent(RunResult result) {
        double useful = result.requests().stream()
                .filter(state(State.COMPLETED).and(request -> !late(request)))
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
    private double promptPercent(RunResult result) {
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
    private boolean late(SimulatedRequest request) {
        return switch (request.state()) {
            case REFUSED -> request.latencyMillis() > deployment.clientMillis() + DECISION_MILLIS;
            case FAILED, OPEN -> true;
            case COMPLETED -> request.endedMillis() > request.spec().deadlineMillis();
        };
    }

    private static double smallLatency(List<RunResult> results, Predicate<SimulatedRequest> condition) {
        return RunResult.percentile(
                results, 99, small().and(condition).and(state(State.COMPLETED)), SimulatedRequest::latencyMillis);
    }

    /** The least p99 that decoding in a full batch allows, without queueing and without prefill. */
    private double smallFullBatchLatency(List<RunResult> results) {
        EngineSettings engine = deployment.engine();
        double pace = engine.basePaceMillis() + engine.paceMillisPerRequest() * engine.slots();
        return RunResult.percentile(results, 99, small().and(inPeak()), request -> Math.round(request.length() * pace));
    }

    private static double smallRefusedPercent(RunResult result) {
        long refused = result.count(small().and(inPeak()).and(state(State.REFUSED)));
        return 100.0 * refused / Math.max(1, result.count(small().and(inPeak())));
    }

    private static Predicate<SimulatedRequest> small() {
        return request -> Workload.small(request.spec().account());
    }

    private static Predicate<SimulatedRequest> inPeak() {
        return request -> request.spec().arrivedAtMillis() >= PEAK_FROM_MILLIS
                && request.spec().arrivedAtMillis() < PEAK_TO_MILLIS;
    }

    private static double shortWait(RunResult result) {
        return result.percentile(99, measured().and(request -> !request.straggler()), SimulatedRequest::waitMillis);
    }

    /** Includes the requests that were running when the fault came, and open ones with their time so far. */
    private static double tailLatency(RunResult result) {
        return result.percentile(
                99,
                state(State.REFUSED).negate().and(Measures::openAfterFault),
                request -> request.state() == State.OPEN
                        ? ARRIVALS_MILLIS + DRAIN_MILLIS - request.spec().arrivedAtMillis()
                        : request.latencyMillis());
    }

    private static boolean openAfterFault(SimulatedRequest request) {
        return request.state() == State.OPEN || request.endedMillis() >= FAULT_AT_MILLIS;
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
