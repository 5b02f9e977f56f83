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
import org.amaranthlock.standin.fleet.ExecutedRequest;
import org.amaranthlock.standin.fleet.FleetStore;
import org.amaranthlock.standin.fleet.FleetWorker;
import org.amaranthlock.standin.fleet.OperatorConfiguration;

/**
 * Entry daemon on loopback, with raw socket clients and a simulated store and workers: desks, which serve lookups and
 * orders, and engines, which generate streams.
 */
final class EntryFixture implements AutoCloseable {
    private static final long TIMEOUT_MILLIS = 10_000;

    /** Interval between the events of a stream. */
    private static final long EVENT_MILLIS = 10;

    final FleetStore store = new FleetStore("127.0.0.1", 0);
    final List<FleetWorker> desks = new ArrayList<>();
    final List<FleetWorker> engines = new ArrayList<>();
    private final String moreBounds;
    private int clientPort;
    private int readinessPort;
    private EntryProcess process;

    /** Starts and registers workers, then starts the daemon and waits until it is ready. */
    EntryFixture(int deskCount, int engineCount) {
        this(deskCount, engineCount, EVENT_MILLIS);
    }

    /** Like the other constructor, with engines that send an event every {@code eventMillis}. */
    EntryFixture(int deskCount, int engineCount, long eventMillis) {
        this(deskCount, engineCount, eventMillis, "");
    }

    /** Like the other constructor, for a daemon whose settings hold more {@code bounds}. */
    EntryFixture(int deskCount, int engineCount, long eventMillis, String bounds) {
        this.moreBounds = bounds;
        store.start();
        for (int i = 0; i < deskCount; i++) {
            desks.add(startWorker("desk-" + i, false, eventMillis, "desks", i));
        }
        for (int i = 0; i < engineCount; i++) {
            engines.add(startWorker("engine-" + i, true, eventMillis, "engines", i));
        }
        store.put("config", "main", OperatorConfiguration.standard(1, "key-1"));
        startProcess();
    }

    /** Replaces the daemon by one that knows nothing of before but what the store holds. */
    void restart() {
        process.stop();
        startProcess();
    }

    private void startProcess() {
        process = new EntryProcess(EntrySettingsReader.parse(settings(store.address())));
        process.start();
        clientPort = process.clientAddress().getPort();
        readinessPort = process.readinessAddress().getPort();
        await(this::isReady);
    }

    /** Returns the text of a settings file with ephemeral ports. */
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
                %s
                %s
                """.formatted(storeAddress, moreBounds.contains("grace-s") ? "" : "grace-s = 8", moreBounds);
    }

    /** Starts and registers another desk, whose software has the given version. */
    FleetWorker addDesk(String id, String version) {
        FleetWorker worker = new FleetWorker(id, false, EVENT_MILLIS, 0);
        worker.softwareVersion(version);
        worker.start();
        desks.add(worker);
        store.put("servers", id, worker.registration("desks", "a", "ready"));
        return worker;
    }

    void watchSettings(Path file) {
        process.watchSettings(file);
    }

    /** Sends a request to the metrics address and returns everything received until the connection is closed. */
    String callMetrics(String methodAndPath) {
        return exchange(
                process.metricsAddress().getPort(),
                methodAndPath + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    }

    boolean isReady() {
        return exchange(readinessPort, "GET /api/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
                .startsWith("HTTP/1.1 200");
    }

    /** Sends a request with a valid key and returns everything received until the connection is closed. */
    String call(String methodAndPath, String id, String body) {
        return call(methodAndPath, id, body, "key-1");
    }

    String call(String methodAndPath, String id, String body, String key) {
        return exchange(clientPort, request(methodAndPath, id, body, key));
    }

    /** Sends a request for a stream whose prompt has the given parts, as ID:TOKENS separated by commas. */
    String callWithPrompt(String methodAndPath, String id, String promptParts) {
        String request = request(methodAndPath, id, "body of " + id, "key-1");
        String header = "\r\nX-Prompt-Prefix: " + promptParts + "\r\nX-Token-Counts: 50,20\r\nX-Time-Left-Ms";
        return exchange(clientPort, request.replace("\r\nX-Time-Left-Ms", header));
    }

    CompletableFuture<String> callAsync(String methodAndPath, String id, String body) {
        CompletableFuture<String> response = new CompletableFuture<>();
        Thread.ofVirtual().start(() -> response.complete(call(methodAndPath, id, body)));
        return response;
    }

    /** Opens a connection and sends a request without reading the response. */
    Socket open(String methodAndPath, String id, String body) throws IOException {
        Socket socket = new Socket("127.0.0.1", clientPort);
        socket.getOutputStream().write(request(methodAndPath, id, body, "key-1").getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    /** Opens a connection and sends the head of a request whose body is to follow. */
    Socket openWithoutBody(String methodAndPath, String id, String body) throws IOException {
        Socket socket = new Socket("127.0.0.1", clientPort);
        String request = request(methodAndPath, id, body, "key-1");
        String head = request.substring(0, request.length() - body.length());
        socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    /** Returns the executions of a request at all workers. */
    List<ExecutedRequest> executions(String id) {
        List<ExecutedRequest> found = new ArrayList<>();
        for (List<FleetWorker> workers : List.of(desks, engines)) {
            workers.forEach(worker -> worker.executedRequests().stream()
                    .filter(execution -> execution.requestId().equals(id))
                    .forEach(found::add));
        }
        return found;
    }

    void drain() {
        process.drain();
    }

    static void await(BooleanSupplier condition) {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("condition not met within " + TIMEOUT_MILLIS + " ms");
            }
            Thread.onSpinWait();
        }
    }

    /** Returns the events of a stream in a response, without chunk headers and other lines. */
    static String events(String response) {
        StringBuilder events = new StringBuilder();
        for (String line : response.split("\r\n")) {
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

    private FleetWorker startWorker(String id, boolean engine, long eventMillis, String service, int index) {
        FleetWorker worker = new FleetWorker(id, engine, eventMillis, 0);
        worker.start();
        store.put("servers", id, worker.registration(service, index % 2 == 0 ? "a" : "b", "ready"));
        return worker;
    }

    static String request(String methodAndPath, String id, String body, String key) {
        return methodAndPath + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id
                + "\r\nX-Time-Left-Ms: 15000\r\nAuthorization: Bearer " + key
                + "\r\nConnection: close\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Sends a request and returns everything received until the connection is closed. */
    static String exchange(int port, String request) {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        } catch (IOException e) {
            return "broken: " + e.getMessage();
        }
    }
}
