package org.amaranthlock.standin.engine;

import java.util.concurrent.Callable;
import org.amaranthlock.standin.ServerOptions;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Runs the engine stand-in as a process. */
@Command(name = "engine", mixinStandardHelpOptions = true, description = "Stand-in for a model engine.")
public final class EngineMain implements Callable<Integer> {
    /** Exit status of a crashed engine; that of a process ended by SIGKILL. */
    private static final int CRASH_STATUS = 137;

    @Mixin
    private ServerOptions serve;

    @Option(names = "--model", defaultValue = "m1", description = "Loaded model.")
    private String model;

    @Option(names = "--model-version", defaultValue = "1", description = "Loaded version.")
    private String version;

    @Option(names = "--slots", defaultValue = "8", description = "Streams that run at a time.")
    private int slots;

    @Option(names = "--pace-millis", defaultValue = "20", description = "Time per token of a single stream.")
    private double paceMillis;

    @Option(names = "--batch-growth", defaultValue = "0.05", description = "Increase of the pace per further stream.")
    private double batchGrowth;

    @Option(names = "--prefill-micros", defaultValue = "200", description = "Time per uncached prompt token.")
    private double prefillMicros;

    @Option(names = "--cache-tokens", defaultValue = "65536", description = "Size of the prefix cache.")
    private int cacheTokens;

    @Option(names = "--report-lag-millis", defaultValue = "2000", description = "Delay of reports and cache events.")
    private long reportLagMillis;

    @Option(names = "--event-gap", defaultValue = "10", description = "Each how many cache events one is lost.")
    private int eventGap;

    @Option(names = "--keep-millis", defaultValue = "30000", description = "Time for which unread streams are kept.")
    private long keepMillis;

    @Option(names = "--ignore-fences", description = "Obey orders with any fencing number.")
    private boolean ignoreFences;

    /** Runs the process. */
    public static void main(String[] args) {
        System.exit(new CommandLine(new EngineMain()).execute(args));
    }

    @Override
    public Integer call() throws InterruptedException {
        EngineOptions options = new EngineOptions(
                serve.host(),
                serve.port(),
                model,
                version,
                slots,
                paceMillis,
                batchGrowth,
                prefillMicros,
                cacheTokens,
                reportLagMillis,
                eventGap,
                keepMillis,
                !ignoreFences);
        return ServerOptions.serve(
                new EngineStandin(options, () -> Runtime.getRuntime().halt(CRASH_STATUS)));
    }
}
