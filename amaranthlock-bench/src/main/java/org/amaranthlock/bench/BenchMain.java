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
import org.amaranthlock.bench.scenario.Fault;
import org.amaranthlock.bench.scenario.MetricResult;
import org.amaranthlock.bench.scenario.PolicyBenchmark;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Prints the table of the four measures for the product's policy and the baselines. */
@Command(name = "bench", mixinStandardHelpOptions = true, description = "Measures the policies in virtual time.")
public final class BenchMain implements Callable<Integer> {
    private static final Map<String, Function<PolicyBenchmark, List<MetricResult>>> MEASUREMENTS = measurements();

    @Option(names = "--seeds", defaultValue = "5", description = "number of seeds (default: ${DEFAULT-VALUE})")
    private int seeds;

    @Option(names = "--measure", description = "part of the name of the measures to run (default: all)")
    private String measureFilter = "";

    @Option(names = "--policy", description = "part of the name of the policies to run (default: all)")
    private String policyFilter = "";

    @Option(
            names = "--prefill-chunk",
            defaultValue = "" + Deployment.PREFILL_CHUNK_TOKENS,
            description = "prompt tokens that an engine's step reads at most (default: ${DEFAULT-VALUE})")
    private int prefillChunk;

    /** Runs the bench and exits. */
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
                List.of(Deployment.frostwolle(prefillChunk), Deployment.association(prefillChunk))) {
            MEASUREMENTS.forEach((title, measure) -> {
                if (title.contains(measureFilter)) {
                    Map<String, List<MetricResult>> results = new LinkedHashMap<>();
                    policies().stream()
                            .filter(policy -> policy.title().contains(policyFilter))
                            .forEach(policy -> {
                                List<MetricResult> figures =
                                        measure.apply(new PolicyBenchmark(deployment, policy, seedList));
                                results.put(policy.title(), figures);
                                print(out, deployment, title, policy.title(), figures);
                            });
                    BaselineComparison.tailExcessRatio(results)
                            .ifPresent(
                                    figure -> print(out, deployment, title, AmaranthlockPolicy.TITLE, List.of(figure)));
                }
            });
        }
        return 0;
    }

    private static void print(
            PrintWriter out, Deployment deployment, String title, String policy, List<MetricResult> figures) {
        for (MetricResult figure : figures) {
            String target = Double.isNaN(figure.target())
                    ? ""
                    : (figure.upperBound() ? "<= " : ">= ") + String.format(Locale.ROOT, "%.4g", figure.target());
            out.printf(
                    Locale.ROOT,
                    "%-12s %-22s %-28s %-36s %12.2f %12.2f %10s %s%n",
                    deployment.title(),
                    title,
                    policy,
                    figure.title(),
                    figure.median(),
                    figure.worst(),
                    target,
                    figure.verdict());
        }
    }

    private static Map<String, Function<PolicyBenchmark, List<MetricResult>>> measurements() {
        Map<String, Function<PolicyBenchmark, List<MetricResult>>> measures = new LinkedHashMap<>();
        measures.put("resume, engine", measure -> measure.measureResume(new Fault.EngineCrash(30_000)));
        measures.put("resume, domain", measure -> measure.measureResume(new Fault.DomainCrash(30_000)));
        measures.put("demand peak", PolicyBenchmark::measureDemandPeak);
        measures.put("head of line", PolicyBenchmark::measureHeadOfLineBlocking);
        measures.put("tail", PolicyBenchmark::measureTailLatency);
        return measures;
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
