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
import org.amaranthlock.bench.scenario.Figure;
import org.amaranthlock.bench.scenario.Measures;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Prints the table of the four measures for the product's policy and the baselines. */
@Command(name = "bench", mixinStandardHelpOptions = true, description = "Measures the policies in virtual time.")
public final class BenchMain implements Callable<Integer> {
    private static final Map<String, Function<Measures, List<Figure>>> MEASURES = measures();

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
            MEASURES.forEach((title, measure) -> {
                if (title.contains(measureFilter)) {
                    Map<String, List<Figure>> results = new LinkedHashMap<>();
                    policies().stream()
                            .filter(policy -> policy.title().contains(policyFilter))
                            .forEach(policy -> {
                                List<Figure> figures = measure.apply(new Measures(deployment, policy, seedList));
                                results.put(policy.title(), figures);
                                print(out, deployment, title, policy.title(), figures);
                            });
                    Comparison.excess(results)
                            .ifPresent(
                                    figure -> print(out, deployment, title, AmaranthlockPolicy.TITLE, List.of(figure)));
                }
            });
        }
        return 0;
    }

    private static void print(
            PrintWriter out, Deployment deployment, String title, String policy, List<Figure> figures) {
        for (Figure figure : figures) {
            String target = Double.isNaN(figure.target())
                    ? ""
                    : (figure.atMost() ? "<= " : ">= ") + String.format(Locale.ROOT, "%.4g", figure.target());
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

    private static Map<String, Function<Measures, List<Figure>>> measures() {
        Map<String, Function<Measures, List<Figure>>> measures = new LinkedHashMap<>();
        measures.put("resume, engine", measure -> measure.resume(new Fault.EngineDeath(30_000)));
        measures.put("resume, domain", measure -> measure.resume(new Fault.DomainDeath(30_000)));
        measures.put("demand peak", Measures::demandPeak);
        measures.put("head of line", Measures::headOfLine);
        measures.put("tail", Measures::tail);
        return measures;
    }

    private static List<Policy> policies() {
        List<Policy> policies = new ArrayList<>();
        policies.add(new AmaranthlockPolicy());
        Arrays.stream(BaselinePolicy.Choice.values()).map(BaselinePolicy::new).forEach(policies::add);
        return policies;
    }
}
