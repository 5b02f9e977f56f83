package org.amaranthlock.entry;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.amaranthlock.entry.settings.EntrySettingsReader;
import org.amaranthlock.standin.fleet.FleetStore;
import org.amaranthlock.standin.fleet.FleetWorker;
import org.amaranthlock.standin.fleet.OperatorConfiguration;
import org.amaranthlock.standin.fleet.WorkerRun;

/** One entry daemon on loopback between raw clients and stand-ins for the store and the workers. */
final class EntryFixture implements AutoCloseable {
    private static final long PATIENCE_MILLIS = 10_000;

    final FleetStore store = new FleetStore("127.0.0.1", 0);
    final List<FleetWorker> desks = new ArrayList<>();
    final List<FleetWorker> engines = new ArrayList<>();
    private final int front;
    private final int ready;
    private final EntryProcess process;

    /** Starts workers that are registered before the daemon starts, and waits until the daemon is ready. */
    EntryFixture(int deskCount, int engineCount) {
        store.start();
        for (int i = 0; i < deskCount; i++) {
            desks.add(worker("desk-" + i, false, "desks", i));
        }
        for (int i = 0; i < engineCount; i++) {
            engines.add(worker("engine-" + i, true, "engines", i));
        }
        store.put("config", "main", OperatorConfiguration.standard(1, "key-1"));
        process = new EntryProcess(EntrySettingsReader.parse(settings(store.address())));
        process.start();
        front = process.clientAddress().getPort();
        ready = process.readinessAddress().getPort();
        await(this::isReady);
    }

    /** Returns the text of settings with ephemeral ports. */
    String settings(String storeAddress) {
        return """
                [host]
                name = "entry-1"
                failure-domain = "a"
                [listen]
                callers = "127.0.0.1:0"
                ready = "127.0.0.1:0"
                metrics = "127.0.0.1:0"
                peers = "127.0.0.1:0"
                [store]
                address = "%s"
                [bounds]
                configuration-ms = 2500
                revocation-ms = 5000
                grace-s = 8
                """.formatted(storeAddress);
    }

    void watchSettings(Path file) {
        process.watchSettings(file);
    }

    boolean isReady() {
        return exchange(ready, "GET /api/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
                .startsWith("HTTP/1.1 200");
    }

    /** Sends a request with the known key and returns all that comes back until the connection ends. */
    String call(String line, String id, String body) {
        return call(line, id, body, "key-1");
    }

    String call(String line, String id, String body, String key) {
        return exchange(front, request(line, id, body, key));
    }

    CompletableFuture<String> callLater(String line, String id, String body) {
        CompletableFuture<String> answer = new CompletableFuture<>();
        Thread.ofVirtual().start(() -> answer.complete(call(line, id, body)));
        return answer;
    }

    /** Opens a connection, sends a request and returns without reading. */
    Socket open(String line, String id, String body) throws IOException {
        Socket socket = new Socket("127.0.0.1", front);
        socket.getOutputStream().write(request(line, id, body, "key-1").getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    /** Returns the runs of a request at all workers. */
    List<WorkerRun> runs(String id) {
        List<WorkerRun> found = new ArrayList<>();
        for (List<FleetWorker> workers : List.of(desks, engines)) {
            workers.forEach(worker -> worker.runs().stream()
                    .filter(run -> run.requestId().equals(id))
                    .forEach(found::add));
        }
        return found;
    }

    void drain() {
        process.drain();
    }

    static void await(BooleanSupplier condition) {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PATIENCE_MILLIS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("the condition was not met within " + PATIENCE_MILLIS + " ms");
            }
            Thread.onSpinWait();
        }
    }

    /** Returns the events of a stream in the body of an answer, joined. */
    static String events(String answer) {
        StringBuilder events = new StringBuilder();
        for (String line : answer.split("\r\n")) {
            if (line.startsWith("id: ")) {
                events.append(line);
            }
        }
        return events.toString();
    }

    @Override
    public void close() {
        process.stop();
        desks.forEach(FleetWorker::stop);
        engines.forEach(FleetWorker::stop);
        store.stop();
    }

    private FleetWorker worker(String id, boolean engine, String service, int index) {
        FleetWorker worker = new FleetWorker(id, engine, 10, 0);
        worker.start();
        store.put("servers", id, worker.entry(service, index % 2 == 0 ? "a" : "b", "ready"));
        return worker;
    }

    private static String request(String line, String id, String body, String key) {
        return line + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id
                + "\r\nX-Time-Left-Ms: 15000\r\nAuthorization: Bearer " + key
                + "\r\nConnection: close\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static String exchange(int port, String request) {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        } catch (IOException e) {
            return "broken: " + e.getMessage();
        }
    }
}
