package org.amaranthlock.bench;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.function.Function;
import java.util.stream.LongStream;
import org.amaranthlock.bench.policy.AmaranthlockPolicy;
import org.amaranthlock.bench.policy.BaselinePolicy;
import org.amaranthlock.bench.policy.Policy;
import org.amaranthlock.bench.scenario.Deployment;
import org.amaranthlock.bench.scenario.MetricResult;
import org.amaranthlock.bench.scenario.PolicyBenchmark;
import org.amaranthlock.bench.scenario.SimulatedFault;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Prints a table of the four measures for the product's policy and the baseline policies. */
@Command(
        name = "bench",
        mixinStandardHelpOptions = true,
        description = "Compares routing and admission policies in virtual time.")
public final class BenchMain implements Callable<Integer> {
    private static final Map<String, Function<PolicyBenchmark, List<MetricResult>>> MEASUREMENTS = measurements();

    @Option(
            names = "--seeds",
            defaultValue = "5",
            description = "number of random seeds per measure (default: ${DEFAULT-VALUE})")
    private int seeds;

    @Option(names = "--measure", description = "run only the measures whose name contains this text (default: all)")
    private String measureFilter = "";

    @Option(names = "--policy", description = "run only the policies whose name contains this text (default: all)")
    private String policyFilter = "";

    @Option(
            names = "--prefill-chunk",
            defaultValue = "" + Deployment.PREFILL_CHUNK_TOKENS,
            description =
                    "maximum number of prompt tokens that an engine prefills per step (default: ${DEFAULT-VALUE})")
    private int prefillChunkTokens;

    /** Runs the benchmark and exits. */
    public static void main(String[] args) {
        System.exit(new CommandLine(new BenchMain()).execute(args));
    }

    @Override
    public Integer call() {
        PrintWriter out = new PrintWriter(System.out, true);
        List<Long> seedList = LongStream.rangeClosed(1, seeds).boxed().toList();
        out.printf(
                "%-12s %-22s %-28s %-36s %12s %12s %10s %s%n",
                "deployment", "measure", "policy", "figure", "median", "worst", "target", "verdict");
        for (Deployment deployment :
                List.of(Deployment.frostwolle(prefillChunkTokens), Deployment.association(prefillChunkTokens))) {
            MEASUREMENTS.forEach((title, measurement) -> {
                if (title.contains(measureFilter)) {
                    Map<String, List<MetricResult>> results = new LinkedHashMap<>();
                    policies().stream()
                            .filter(policy -> policy.title().contains(policyFilter))
                            .forEach(policy -> {
                                List<MetricResult> metrics =
                                        measurement.apply(new PolicyBenchmark(deployment, policy, seedList));
                                results.put(policy.title(), metrics);
                                print(out, deployment, title, policy.title(), metrics);
                            });
                    BaselineComparison.tailExcessRatio(results)
                            .ifPresent(
                                    metric -> print(out, deployment, title, AmaranthlockPolicy.TITLE, List.of(metric)));
                }
            });
        }
        return 0;
    }

    private static void print(
            PrintWriter out, Deployment deployment, String title, String policy, List<MetricResult> metrics) {
        for (MetricResult metric : metrics) {
            String targetValue = Double.isNaN(metric.targetValue())
                    ? ""
                    : (metric.upperBound() ? "<= " : ">= ") + String.format(Locale.ROOT, "%.4g", metric.targetValue());
            out.printf(
                    Locale.ROOT,
                    "%-12s %-22s %-28s %-36s %12.2f %12.2f %10s %s%n",
                    deployment.title(),
                    title,
                    policy,
                    metric.title(),
                    metric.median(),
                    metric.worst(),
                    targetValue,
                    metric.targetStatus());
        }
    }

    private static Map<String, Function<PolicyBenchmark, List<MetricResult>>> measurements() {
        Map<String, Function<PolicyBenchmark, List<MetricResult>>> measurements = new LinkedHashMap<>();
        measurements.put(
                "resume, engine", benchmark -> benchmark.measureResume(new SimulatedFault.EngineCrash(30_000)));
        measurements.put(
                "resume, domain", benchmark -> benchmark.measureResume(new SimulatedFault.DomainCrash(30_000)));
        measurements.put("demand peak", PolicyBenchmark::measureDemandPeak);
        measurements.put("head of line", PolicyBenchmark::measureHeadOfLineBlocking);
        measurements.put("tail", PolicyBenchmark::measureTailLatency);
        return measurements;
    }

    private static List<Policy> policies() {
        List<Policy> policies = new ArrayList<>();
        policies.add(new AmaranthlockPolicy());
        Arrays.stream(BaselinePolicy.SelectionStrategy.values())
                .map(BaselinePolicy::new)
                .forEach(policies::add);
        return policies;
    }
}
