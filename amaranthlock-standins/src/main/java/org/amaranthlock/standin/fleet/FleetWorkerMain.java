package org.amaranthlock.standin.fleet;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a stand-in for a worker as a process, which registers itself in the store and prints what it runs. */
@Command(name = "fleet-worker", mixinStandardHelpOptions = true, description = "Stand-in for a worker.")
public final class FleetWorkerMain implements Callable<Integer> {
    private static final int REPORT_MILLIS = 20;

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

    /** Runs the process. */
    public static void main(String[] args) {
        System.exit(new CommandLine(new FleetWorkerMain()).execute(args));
    }

    @Override
    public Integer call() throws Exception {
        FleetWorker worker = new FleetWorker(id, engine, eventMillis, 0);
        worker.start();
        register(worker);
        System.out.println("listening " + worker.address());
        Thread.ofVirtual().start(() -> printRuns(worker));
        new CountDownLatch(1).await();
        return 0;
    }

    private void register(FleetWorker worker) throws Exception {
        ObjectNode object = JsonNodeFactory.instance.objectNode();
        object.putObject("metadata").put("name", id);
        object.set("spec", worker.entry(service, zone, "ready"));
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + store + "/api/objects/servers/" + id))
                .PUT(BodyPublishers.ofString(object.toString()))
                .build();
        int status = HttpClient.newHttpClient()
                .send(request, BodyHandlers.ofString())
                .statusCode();
        if (status != 200) {
            throw new IllegalStateException("the store at " + store + " refused the entry with " + status);
        }
    }

    private static void printRuns(FleetWorker worker) {
        int printed = 0;
        try {
            while (true) {
                while (printed < worker.runs().size()) {
                    WorkerRun run = worker.runs().get(printed++);
                    System.out.println("run " + run.requestId() + " " + run.line());
                }
                Thread.sleep(REPORT_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
