package org.amaranthlock.standin.weights;

import java.util.concurrent.Callable;
import org.amaranthlock.standin.ServerOptions;
import org.amaranthlock.standin.Timing;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Runs the weight store stand-in as a process. */
@Command(name = "weights", mixinStandardHelpOptions = true, description = "Stand-in for the model weight store.")
public final class WeightStoreMain implements Callable<Integer> {
    @Mixin
    private ServerOptions serverOptions;

    @Option(names = "--loads-per-second", defaultValue = "1", description = "Maximum rate of downloads per second.")
    private double downloadsPerSecond;

    @Option(names = "--burst", defaultValue = "4", description = "Maximum number of downloads in a burst.")
    private double burst;

    @Option(names = "--size-bytes", defaultValue = "65536", description = "Size of every response, in bytes.")
    private int sizeBytes;

    /** Runs the process. */
    public static void main(String[] args) {
        System.exit(new CommandLine(new WeightStoreMain()).execute(args));
    }

    @Override
    public Integer call() throws InterruptedException {
        return ServerOptions.serve(new WeightStoreStandin(
                serverOptions.host(),
                serverOptions.port(),
                downloadsPerSecond,
                burst,
                sizeBytes,
                Timing::monotonicMillis));
    }
}
