package org.amaranthlock.standin.engine;

import java.util.concurrent.Callable;
import org.amaranthlock.standin.ServerOptions;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Runs the engine stand-in as a process. */
@Command(name = "engine", mixinStandardHelpOptions = true, description = "Stand-in for an inference engine.")
public final class EngineMain implements Callable<Integer> {
    /** Exit status of a crashed engine: the status of a process terminated by SIGKILL. */
    private static final int CRASH_STATUS = 137;

    @Mixin
    private ServerOptions serverOptions;

    @Option(names = "--model", defaultValue = "m1", description = "Name of the loaded model.")
    private String model;

    @Option(names = "--model-version", defaultValue = "1", description = "Version of the loaded model.")
    private String version;

    @Option(names = "--slots", defaultValue = "8", description = "Maximum number of concurrently running streams.")
    private int slots;

    @Option(
            names = "--pace-millis",
            defaultValue = "20",
            description = "Time per token of a stream that runs alone, in milliseconds.")
    private double tokenLatencyMillis;

    @Option(
            names = "--batch-growth",
            defaultValue = "0.05",
            description = "Relative increase of the time per token for each further running stream.")
    private double batchGrowth;

    @Option(
            names = "--prefill-micros",
            defaultValue = "200",
            description = "Time per uncached prompt token, in microseconds.")
    private double prefillMicros;

    @Option(names = "--cache-tokens", defaultValue = "65536", description = "Size of the prefix cache, in tokens.")
    private int cacheTokens;

    @Option(
            names = "--report-lag-millis",
            defaultValue = "2000",
            description = "Delay of load reports and cache events, in milliseconds.")
    private long reportDelayMillis;

    @Option(
            names = "--event-gap",
            defaultValue = "10",
            description = "Interval of lost cache events: every n-th event is lost; 0 loses none.")
    private int eventLossInterval;

    @Option(
            names = "--keep-millis",
            defaultValue = "30000",
            description = "Time for which a stream without a reader is retained, in milliseconds.")
    private long unreadRetentionMillis;

    @Option(names = "--ignore-fences", description = "Execute commands regardless of their fencing token.")
    private boolean ignoreFencingTokens;

    /** Runs the process. */
    public static void main(String[] args) {
        System.exit(new CommandLine(new EngineMain()).execute(args));
    }

    @Override
    public Integer call() throws InterruptedException {
        EngineOptions options = new EngineOptions(
                serverOptions.host(),
                serverOptions.port(),
                model,
                version,
                slots,
                tokenLatencyMillis,
                batchGrowth,
                prefillMicros,
                cacheTokens,
                reportDelayMillis,
                eventLossInterval,
                unreadRetentionMillis,
                !ignoreFencingTokens);
        return ServerOptions.serve(
                new EngineStandin(options, () -> Runtime.getRuntime().halt(CRASH_STATUS)));
    }
}
