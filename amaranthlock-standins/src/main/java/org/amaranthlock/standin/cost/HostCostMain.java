package org.amaranthlock.standin.cost;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import org.amaranthlock.standin.ProcessLogging;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Prints what one entry host costs in fleets of several sizes. */
@Command(
        name = "host-cost",
        mixinStandardHelpOptions = true,
        description = "Measures processor time, messages and bytes of one host in fleets of several sizes.")
public final class HostCostMain implements Callable<Integer> {
    @Option(
            names = "--run",
            required = true,
            description = "Command of the entry daemon, as in the deploy file, without the client address.")
    private String run;

    @Option(names = "--hosts", split = ",", defaultValue = "8,30", description = "Sizes of the fleets.")
    private List<Integer> sizes;

    @Option(names = "--domains", defaultValue = "6", description = "Failure domains of the fleets.")
    private int domains;

    @Option(names = "--idle-seconds", defaultValue = "10", description = "Time for which idle hosts are measured.")
    private int idleSeconds;

    @Option(names = "--requests", defaultValue = "600", description = "Lookups, and twentieths of streams, to send.")
    private int requests;

    /** Runs the program. */
    public static void main(String[] args) {
        System.exit(new CommandLine(new HostCostMain()).execute(args));
    }

    @Override
    public Integer call() throws Exception {
        ProcessLogging.disableHttpLibraryLogging();
        System.out.printf("%-52s %8s %10s%n", "figure of one host, mean", "hosts", "value");
        for (int size : sizes) {
            Path directory = Files.createTempDirectory("host-cost-");
            try (CostFleet fleet = new CostFleet(directory, List.of(run.split(" ")), size, domains)) {
                new HostCostRun(fleet, idleSeconds, requests)
                        .measure()
                        .forEach((figure, value) ->
                                System.out.printf(Locale.ROOT, "%-52s %8d %10.3f%n", figure, size, value));
            }
        }
        return 0;
    }
}
