package org.amaranthlock.standin.fleet;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a stand-in for a worker as a process, which registers itself in the store and prints what it runs. */
@Command(name = "fleet-worker", mixinStandardHelpOptions = true, description = "Stand-in for a worker.")
public final class FleetWorkerMain implements Callable<Integer> {
    private static final int PRINT_INTERVAL_MILLIS = 20;

    @Option(names = "--id", required = true, description = "Id of this start of the worker.")
    private String id;

    @Option(names = "--service", required = true, description = "Service that it belongs to.")
    private String service;

    @Option(names = "--zone", required = true, description = "Failure domain.")
    private String zone;

    @Option(names = "--store", required = true, description = "IP:PORT of the store.")
    private String store;

    @Option(names = "--engine", description = "Answers POST with a stream of events.")
    private boolean engine;

    @Option(names = "--event-millis", defaultValue = "60", description = "Pause between two events.")
    private long eventMillis;

    @Option(names = "--sheet", description = "An engine with the size and speed on the users' sheets.")
    private boolean specified;

    @Option(names = "--advertise", description = "IP:PORT under which it registers; its own address by default.")
    private String advertise;

    @Option(names = "--drain-millis", defaultValue = "2500", description = "Time for which it serves after SIGTERM.")
    private long drainMillis;

    /** Runs the process. */
    public static void main(String[] args) {
        System.exit(new CommandLine(new FleetWorkerMain()).execute(args));
    }

    @Override
    public Integer call() throws Exception {
        FleetWorker worker = new FleetWorker(id, engineConfig(), 0);
        worker.start();
        register(worker);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> shutDown(worker)));
        System.out.println("listening " + worker.address());
        Thread.ofVirtual().start(() -> printExecutedRequests(worker));
        new CountDownLatch(1).await();
        return 0;
    }

    private Optional<EngineConfig> engineConfig() {
        if (specified) {
            return Optional.of(EngineConfig.specifiedEngine());
        }
        return engine ? Optional.of(EngineConfig.withEventInterval(eventMillis)) : Optional.empty();
    }

    private void register(FleetWorker worker) throws IOException, InterruptedException {
        new StoreClient(store).put("servers", id, registration(worker, "ready"));
    }

    private ObjectNode registration(FleetWorker worker, String state) {
        ObjectNode entry = worker.registration(service, zone, state);
        return advertise == null ? entry : entry.put("address", advertise);
    }

    /** Leaves as the platform's page says: reports that it drains, goes on serving, removes its entry, ends. */
    private void shutDown(FleetWorker worker) {
        try {
            StoreClient writer = new StoreClient(store);
            writer.put("servers", id, registration(worker, "draining"));
            Thread.sleep(drainMillis);
            writer.remove("servers", id);
        } catch (IOException e) {
            System.out.println("the store does not learn that " + id + " leaves: " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        worker.stop();
    }

    private static void printExecutedRequests(FleetWorker worker) {
        int printed = 0;
        try {
            while (true) {
                while (printed < worker.executedRequests().size()) {
                    ExecutedRequest run = worker.executedRequests().get(printed++);
                    System.out.println("run " + run.requestId() + " " + run.requestLine());
                }
                Thread.sleep(PRINT_INTERVAL_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
