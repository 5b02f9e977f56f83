package org.amaranthlock.standin.objectapi;

import java.util.concurrent.Callable;
import org.amaranthlock.standin.ServerOptions;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Runs the platform stand-in as a process. */
@Command(name = "platform", mixinStandardHelpOptions = true, description = "Stand-in for the platform.")
public final class ObjectApiMain implements Callable<Integer> {
    @Mixin
    private ServerOptions serverOptions;

    @Option(
            names = "--writes-per-second",
            defaultValue = "300",
            description = "Maximum rate of writes and deletes per second.")
    private double writesPerSecond;

    @Option(
            names = "--reads-per-second",
            defaultValue = "2000",
            description = "Maximum rate of reads, lists, watches and host lists per second.")
    private double readsPerSecond;

    @Option(
            names = "--host-lag-millis",
            defaultValue = "2000",
            description = "Delay of changes in the host list, in milliseconds.")
    private long hostListDelayMillis;

    /** Runs the process. */
    public static void main(String[] args) {
        System.exit(new CommandLine(new ObjectApiMain()).execute(args));
    }

    @Override
    public Integer call() throws InterruptedException {
        ObjectApiOptions options = new ObjectApiOptions(
                serverOptions.host(), serverOptions.port(), writesPerSecond, readsPerSecond, hostListDelayMillis);
        return ServerOptions.serve(new ObjectApiStandin(options));
    }
}
