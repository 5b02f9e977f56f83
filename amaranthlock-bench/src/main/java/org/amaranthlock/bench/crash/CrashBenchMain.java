package org.amaranthlock.bench.crash;

import java.util.List;
import java.util.Locale;
import java.util.stream.LongStream;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Prints how many engines crash under requests with a crashing prompt part, by size of the fleet and share of requests. */
@Command(name = "bench-crash", description = "Simulates requests that share a prompt part which crashes engines.")
public final class CrashBenchMain implements Runnable {
    private static final List<Integer> FLEET_SIZES = List.of(3, 9, 90, 330);
    private static final List<Double> CRASHING_FRACTIONS = List.of(0.02, 0.25, 0.6);
    private static final double REQUESTS_PER_HOST_AND_SECOND = 0.4;

    @Option(names = "--seeds", description = "Number of seeds.", defaultValue = "5")
    private int seeds;

    /** Runs the command. */
    public static void main(String[] args) {
        System.exit(new CommandLine(new CrashBenchMain()).execute(args));
    }

    @Override
    public void run() {
        System.out.println("hosts  share  faults  crashes  worst  sent later  sound rejected  mean wait ms  longest ms"
                + "  cancelled  reports/host");
        for (int hosts : FLEET_SIZES) {
            for (double fraction : CRASHING_FRACTIONS) {
                double rate = hosts * REQUESTS_PER_HOST_AND_SECOND + 2;
                print("none", CrashScenario.calm(hosts, rate, fraction));
                print("all", CrashScenario.faulty(hosts, rate, fraction));
            }
        }
    }

    private void print(String faults, CrashScenario scenario) {
        List<CrashResult> results = LongStream.rangeClosed(1, seeds)
                .mapToObj(seed -> new CrashingPartSimulation(scenario, seed).run())
                .toList();
        System.out.printf(
                Locale.ROOT,
                "%5d  %5.2f  %6s  %7.1f  %5d  %10d  %14d  %12.1f  %10d  %9.0f  %12.0f%n",
                scenario.hosts(),
                scenario.crashingFraction(),
                faults,
                results.stream().mapToInt(CrashResult::crashes).average().orElse(0),
                results.stream().mapToInt(CrashResult::crashes).max().orElse(0),
                results.stream().mapToInt(CrashResult::sentAfterFifth).max().orElse(0),
                results.stream().mapToInt(CrashResult::soundRejected).sum(),
                results.stream()
                        .mapToDouble(CrashResult::soundDelayMillis)
                        .average()
                        .orElse(0),
                results.stream()
                        .mapToLong(CrashResult::longestSoundDelayMillis)
                        .max()
                        .orElse(0),
                results.stream().mapToInt(CrashResult::cancelled).average().orElse(0),
                results.stream().mapToLong(CrashResult::reports).average().orElse(0) / scenario.hosts());
    }
}
