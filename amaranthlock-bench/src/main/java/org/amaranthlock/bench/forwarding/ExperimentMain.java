package org.amaranthlock.bench.forwarding;

import com.google.common.math.Stats;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Measures what each mechanism of the forwarding policy is worth, on scenarios that are drawn at random.
 *
 * <p>Each variant plays the same scenarios with the same seeds as the complete policy; the differences are paired.
 */
@Command(
        name = "experiment",
        mixinStandardHelpOptions = true,
        description = "Compares the forwarding policy with variants of itself on drawn scenarios, in virtual time.")
public final class ExperimentMain implements Callable<Integer> {
    /** Longest pause that a stream on time may have, according to the specification. */
    private static final long MAX_PAUSE_MILLIS = 700;

    /** Quantile of the normal distribution for a 95 % interval. */
    private static final double INTERVAL_QUANTILE = 1.96;

    private static final List<Figure> FIGURES = List.of(
            new Figure("on time, %", result -> result.onTimePercent(MAX_PAUSE_MILLIS)),
            new Figure("not completed, %", ForwardingResult::incompletePercent),
            new Figure("recomputed, %", ForwardingResult::recomputedPercent));

    @Option(names = "--scenarios", defaultValue = "12", description = "scenarios (default: ${DEFAULT-VALUE})")
    private int scenarioCount;

    @Option(names = "--draw", defaultValue = "1", description = "seed of the drawn scenarios (${DEFAULT-VALUE})")
    private long drawSeed;

    @Option(names = "--seeds", defaultValue = "3", description = "seeds per scenario (default: ${DEFAULT-VALUE})")
    private int seeds;

    @Option(names = "--variant", defaultValue = "", description = "only variants whose title contains this text")
    private String variantFilter;

    @Option(names = "--csv", description = "file for the figures of each simulation")
    private Path csvFile;

    private record Figure(String title, ToDoubleFunction<ForwardingResult> value) {}

    /** One simulation of a scenario with one seed. */
    private record Run(ForwardingScenario scenario, long seed) {}

    /** Runs the experiment and exits. */
    public static void main(String[] args) {
        System.exit(new CommandLine(new ExperimentMain()).execute(args));
    }

    @Override
    public Integer call() throws IOException {
        List<Run> runs = DrawnScenarios.draw(scenarioCount, drawSeed).stream()
                .flatMap(scenario -> LongStream.rangeClosed(1, seeds).mapToObj(seed -> new Run(scenario, seed)))
                .toList();
        List<String> csv = new ArrayList<>(List.of("variant,scenario,seed,figure,value"));
        List<ForwardingResult> complete = play(ExperimentVariant.COMPLETE, runs, csv);
        PrintWriter out = new PrintWriter(System.out, true);
        printHeading(out, complete);
        for (ExperimentVariant variant : ExperimentVariant.all()) {
            if (variant.title().contains(variantFilter)) {
                printDifferences(out, variant, complete, play(variant, runs, csv));
            }
        }
        if (csvFile != null) {
            Files.write(csvFile, csv);
        }
        return 0;
    }

    private List<ForwardingResult> play(ExperimentVariant variant, List<Run> runs, List<String> csv) {
        List<ForwardingResult> results = runs.parallelStream()
                .map(run -> new ForwardingSimulation(
                                run.scenario(), variant.placement(), variant.mechanisms(), run.seed())
                        .run())
                .toList();
        for (int i = 0; i < runs.size(); i++) {
            for (Figure figure : FIGURES) {
                csv.add(String.format(
                        Locale.ROOT,
                        "%s,%s,%d,\"%s\",%.3f",
                        variant.title(),
                        runs.get(i).scenario().title(),
                        runs.get(i).seed(),
                        figure.title(),
                        figure.value().applyAsDouble(results.get(i))));
            }
        }
        return results;
    }

    private static void printHeading(PrintWriter out, List<ForwardingResult> complete) {
        out.printf("%-28s", "variant");
        FIGURES.forEach(figure -> out.printf(" %24s", figure.title()));
        out.println();
        out.printf("%-28s", ExperimentVariant.COMPLETE.title());
        for (Figure figure : FIGURES) {
            double mean =
                    Stats.meanOf(complete.stream().mapToDouble(figure.value()).toArray());
            out.printf(Locale.ROOT, " %24.2f", mean);
        }
        out.println();
    }

    private static void printDifferences(
            PrintWriter out,
            ExperimentVariant variant,
            List<ForwardingResult> complete,
            List<ForwardingResult> results) {
        out.printf("%-28s", variant.title());
        for (Figure figure : FIGURES) {
            List<Double> differences = new ArrayList<>();
            for (int i = 0; i < results.size(); i++) {
                differences.add(figure.value().applyAsDouble(results.get(i))
                        - figure.value().applyAsDouble(complete.get(i)));
            }
            Stats stats = Stats.of(differences);
            double interval = INTERVAL_QUANTILE * stats.sampleStandardDeviation() / Math.sqrt(differences.size());
            out.printf("%24s", String.format(Locale.ROOT, "%+.2f +- %.2f", stats.mean(), interval));
        }
        out.println();
    }
}
