package org.amaranthlock.standin.soak;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import org.amaranthlock.standin.ProcessLogging;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs the soak test for consecutive seeds; the exit code is 1 if a guarantee was violated. */
@Command(name = "soak", mixinStandardHelpOptions = true, description = "Randomized soak test with real processes.")
public final class SoakMain implements Callable<Integer> {
    @Option(names = "--entry-classpath", required = true, description = "Class path of the entry daemon.")
    private String entryClasspath;

    @Option(
            names = "--earlier-entry-classpath",
            description = "Class path of an earlier build of the entry daemon; hosts run it and this one in turn.")
    private Optional<String> earlierEntryClasspath = Optional.empty();

    @Option(names = "--first", defaultValue = "1", description = "First seed.")
    private long firstSeed;

    @Option(names = "--seeds", defaultValue = "1", description = "Number of seeds.")
    private int seedCount;

    @Option(
            names = "--seconds",
            defaultValue = "8",
            description = "Duration of load and faults for each seed, in seconds.")
    private int seconds;

    /** Runs the soak test. */
    public static void main(String[] args) {
        System.exit(new CommandLine(new SoakMain()).execute(args));
    }

    @Override
    public Integer call() throws Exception {
        ProcessLogging.disableHttpLibraryLogging();
        List<Long> failed = new ArrayList<>();
        for (long seed = firstSeed; seed < firstSeed + seedCount; seed++) {
            if (!runSeed(seed)) {
                failed.add(seed);
            }
        }
        System.out.println(failed.isEmpty() ? "soak: passed" : "soak: failed for seeds " + failed);
        return failed.isEmpty() ? 0 : 1;
    }

    private boolean runSeed(long seed) throws Exception {
        System.out.println("seed " + seed);
        Path directory = Files.createTempDirectory("soak-" + seed + "-");
        List<String> violations;
        SoakRun run;
        try (SoakFleet fleet = new SoakFleet(directory, entryClasspath, earlierEntryClasspath)) {
            run = new SoakRun(fleet, seed);
            violations = run.run(seconds);
        }
        if (violations.isEmpty()) {
            SoakFleet.delete(directory);
            return true;
        }
        run.injectedFaults().forEach(fault -> System.out.println("  fault: " + fault));
        violations.forEach(violation -> System.out.println("  VIOLATION: " + violation));
        System.out.println("  logs are in " + directory);
        return false;
    }
}
