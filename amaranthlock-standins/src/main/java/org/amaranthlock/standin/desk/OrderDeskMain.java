package org.amaranthlock.standin.desk;

import java.util.concurrent.Callable;
import org.amaranthlock.standin.ServerOptions;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Runs the order desk stand-in as a process. */
@Command(name = "desk", mixinStandardHelpOptions = true, description = "Stand-in for an order desk.")
public final class OrderDeskMain implements Callable<Integer> {
    @Mixin
    private ServerOptions serverOptions;

    @Option(
            names = "--delay-millis",
            defaultValue = "30",
            description = "Time between execution and response, in milliseconds.")
    private long delayMillis;

    @Option(
            names = "--fencing",
            description = "Reject orders with a fencing token lower than the highest one seen for the key.")
    private boolean fencing;

    /** Runs the process. */
    public static void main(String[] args) {
        System.exit(new CommandLine(new OrderDeskMain()).execute(args));
    }

    @Override
    public Integer call() throws InterruptedException {
        OrderDeskStandin.Options options =
                new OrderDeskStandin.Options(serverOptions.host(), serverOptions.port(), delayMillis, fencing);
        return ServerOptions.serve(new OrderDeskStandin(options));
    }
}
