package org.amaranthlock.standin.fleet;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.stream.IntStream;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a stand-in for a worker as a process, which registers in the store and prints each request it executes. */
@Command(name = "fleet-worker", mixinStandardHelpOptions = true, description = "Stand-in for a worker.")
public final class FleetWorkerMain implements Callable<Integer> {
    private static final int PRINT_INTERVAL_MILLIS = 20;

    /** More requests than a worker gets in a test. */
    private static final int ALL_REQUESTS = 100_000;

    @Option(names = "--id", required = true, description = "Id of the worker; a new one for each start.")
    private String id;

    @Option(names = "--service", required = true, description = "Name of the service that the worker belongs to.")
    private String service;

    @Option(names = "--zone", required = true, description = "Failure domain of the worker.")
    private String zone;

    @Option(names = "--store", required = true, description = "IP:PORT of the store.")
    private String store;

    @Option(names = "--engine", description = "Run an engine, which streams events in response to a POST.")
    private boolean engine;

    @Option(
            names = "--event-millis",
            defaultValue = "60",
            description = "Interval between two events of a stream, in milliseconds.")
    private long eventMillis;

    @Option(
            names = "--sheet",
            description = "Run an engine with the size and speed of the platform's specification sheets.")
    private boolean specifiedEngine;

    @Option(
            names = "--software-version",
            defaultValue = FleetWorker.FIRST_VERSION,
            description = "Version to register, on which the streams of an engine depend.")
    private String softwareVersion;

    @Option(names = "--advertise", description = "Address to register, IP:PORT; defaults to the address listened on.")
    private String advertisedAddress;

    @Option(
            names = "--drain-millis",
            defaultValue = "2500",
            description = "Time for which the worker keeps serving after SIGTERM, in milliseconds.")
    private long drainMillis;

    @Option(
            names = "--fails-after-millis",
            description = "Time after the start from which every request is answered with 500, in milliseconds.")
    private Optional<Long> failsAfterMillis = Optional.empty();

    /** Runs the process. */
    public static void main(String[] args) {
        System.exit(new CommandLine(new FleetWorkerMain()).execute(args));
    }

    @Override
    public Integer call() throws Exception {
        FleetWorker worker = new FleetWorker(id, engineConfig(), 0);
        worker.softwareVersion(softwareVersion);
        worker.start();
        register(worker);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> shutDown(worker)));
        System.out.println("listening " + worker.address());
        Thread.ofVirtual().start(() -> printExecutedRequests(worker));
        if (failsAfterMillis.isPresent()) {
            Thread.sleep(failsAfterMillis.get());
            System.out.println("failing at=" + System.currentTimeMillis());
            IntStream.range(0, ALL_REQUESTS).forEach(_ -> worker.injectFault(WorkerFault.SERVER_ERROR));
        }
        new CountDownLatch(1).await();
        return 0;
    }

    private Optional<EngineConfig> engineConfig() {
        if (specifiedEngine) {
            return Optional.of(EngineConfig.specifiedEngine());
        }
        return engine ? Optional.of(EngineConfig.withEventInterval(eventMillis)) : Optional.empty();
    }

    private void register(FleetWorker worker) throws IOException, InterruptedException {
        new StoreClient(store).put("servers", id, registration(worker, "ready"));
    }

    private ObjectNode registration(FleetWorker worker, String state) {
        ObjectNode registration = worker.registration(service, zone, state);
        return advertisedAddress == null ? registration : registration.put("address", advertisedAddress);
    }

    /**
     * Shuts down in the order that the platform prescribes.
     *
     * <p>The worker registers as draining, keeps serving for the drain time, removes its registration and stops.
     */
    private void shutDown(FleetWorker worker) {
        try {
            StoreClient client = new StoreClient(store);
            client.put("servers", id, registration(worker, "draining"));
            Thread.sleep(drainMillis);
            client.remove("servers", id);
        } catch (IOException e) {
            System.out.println("Could not deregister worker " + id + " from the store at " + store + ": " + e);
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
                    ExecutedRequest request = worker.executedRequests().get(printed++);
                    System.out.println("run " + request.requestId() + " " + request.requestLine() + " at="
                            + System.currentTimeMillis());
                }
                Thread.sleep(PRINT_INTERVAL_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
