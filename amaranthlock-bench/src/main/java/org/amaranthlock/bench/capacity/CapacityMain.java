package org.amaranthlock.bench.capacity;

import java.io.PrintWriter;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Prints the measured costs of a router and their extrapolation to the design size. */
@Command(
        name = "capacity",
        mixinStandardHelpOptions = true,
        description = "Measures the cost of a router at increasing fleet sizes, in virtual time.")
public final class CapacityMain implements Callable<Integer> {
    @Option(names = "--series", description = "run only the series whose name starts with this text (default: all)")
    private String seriesFilter = "";

    @Option(names = "--failures", description = "measure the cost of failures instead of the steady state")
    private boolean failures;

    @Option(
            names = "--decision-cost",
            description = "measure the time and memory of the decisions per request by number of targets instead")
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
        series.forEach((name, measurement) -> {
            if (name.startsWith(seriesFilter)) {
                measurement.run();
            }
        });
        return 0;
    }
}
