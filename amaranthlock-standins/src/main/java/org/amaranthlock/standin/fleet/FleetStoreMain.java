package org.amaranthlock.standin.fleet;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.amaranthlock.standin.ServerOptions;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Runs the stand-in for the platform's object store as a process. */
@Command(
        name = "fleet-store",
        mixinStandardHelpOptions = true,
        description = "Stand-in for the platform's object store.")
public final class FleetStoreMain implements Callable<Integer> {
    @Mixin
    private ServerOptions serverOptions;

    @Option(names = "--configuration", description = "JSON file with the initial configuration.")
    private Path configuration;

    @Option(
            names = "--reads",
            defaultValue = "2000",
            description = "Maximum rate of reads per second for all hosts together.")
    private double reads;

    @Option(
            names = "--writes",
            defaultValue = "400",
            description = "Maximum rate of writes per second for all hosts together.")
    private double writes;

    /** Runs the process. */
    public static void main(String[] args) {
        System.exit(new CommandLine(new FleetStoreMain()).execute(args));
    }

    @Override
    public Integer call() throws Exception {
        FleetStore store = new FleetStore(serverOptions.host(), serverOptions.port());
        store.limitRates(reads, writes);
        if (configuration != null) {
            store.put("config", "main", new ObjectMapper().readTree(Files.readString(configuration)));
        }
        return ServerOptions.serve(store);
    }
}
