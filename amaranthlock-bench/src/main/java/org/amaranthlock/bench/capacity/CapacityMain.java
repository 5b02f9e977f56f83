package org.amaranthlock.bench.capacity;

import java.io.PrintWriter;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Prints the measured costs of a router and their extrapolation to the stated size. */
@Command(
        name = "capacity",
        mixinStandardHelpOptions = true,
        description = "Measures what a router's work costs at growing sizes, in virtual time.")
public final class CapacityMain implements Callable<Integer> {
    @Option(names = "--series", description = "start of the name of the series to run (default: all)")
    private String seriesFilter = "";

    @Option(names = "--failures", description = "measure failures instead of steady fleets")
    private boolean failures;

    @Option(names = "--decision-cost", description = "measure select, admit and complete by targets instead")
    private boolean decisionCost;

    /** Runs the measurement and exits. */
    public static void main(String[] args) {
        System.exit(new CommandLine(new CapacityMain()).execute(args));
    }

    @Override
    public Integer call() {
        PrintWriter out = new PrintWriter(System.out, true);
        if (decisionCost) {
            new DecisionCostBenchmark(out).run();
            return 0;
        }
        ScalingExperiments.warmUp();
        var series = failures ? new FailureExperiments(out).series() : new ScalingExperiments(out).series();
        series.forEach((name, run) -> {
            if (name.startsWith(seriesFilter)) {
                run.run();
            }
        });
        return 0;
    }
}
