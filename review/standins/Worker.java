import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in for a plain worker, as the users' pages describe it. */
final class Worker implements AutoCloseable {
    /** A request that this worker has run. */
    record Run(String worker, String id, String line, int bodyBytes, long atMillis) {}

    static final List<Run> RUNS = new CopyOnWriteArrayList<>();
    private static final AtomicInteger STAMPS = new AtomicInteger();

    final String id;
    final String service;
    private final String zone;
    private final Store store;
    private final Http.Server server;
    private final long bornMillis = System.currentTimeMillis();
    volatile long workMillis = 20;
    volatile boolean leaving;
    private int seq;

    Worker(String ip, String id, String service, String zone, Store store) throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.store = store;
        this.server = new Http.Server(ip, this::handle);
    }

    String address() {
        return server.address();
    }

    /** Writes this worker's entry in the store, as at each of its liveness reports; returns the revision of the entry. */
    long register() {
        ObjectNode spec = Store.JSON.createObjectNode();
        spec.put("service", service);
        spec.put("address", address());
        spec.put("zone", zone);
        spec.put("version", "v1");
        spec.put("slots", 6);
        spec.put("state", leaving ? "draining" : "ready");
        spec.put("cold_left_ms", 0);
        spec.put("born", bornMillis);
        // The entry changes when more than the count changes, so that the count is written only then.
        spec.put("seq", seq);
        return store.put("servers", id, spec);
    }

    /** Reports that this worker leaves; returns when the store has accepted it. */
    long reportDraining() {
        leaving = true;
        seq++;
        register();
        return Clock.millis();
    }

    private boolean handle(Http.Message request, Socket connection) throws Exception {
        String requestId = request.header("X-Request-Id");
        String common = (requestId.isEmpty() ? "" : "X-Request-Id: " + requestId + "\r\n")
                + "Keep-Alive: timeout=10\r\n" + (leaving ? "Server-Leaving: 1\r\n" : "");
        if (request.target().startsWith("/api/") || request.target().equals("/health")) {
            Http.send(connection, 200, common + "X-Instance-Id: " + id + "\r\n", "{}".getBytes(StandardCharsets.UTF_8));
            return true;
        }
        if (!request.header("X-Expect-Instance").equals(id)) {
            Http.send(connection, 421, common + "X-Instance-Id: " + id + "\r\n", new byte[0]);
            return true;
        }
        if (requestId.isEmpty()) {
            Http.send(connection, 400, common + "X-Not-Run: 1\r\n", new byte[0]);
            return true;
        }
        RUNS.add(new Run(id, requestId, request.firstLine(), request.body().length, Clock.millis()));
        Log.write("run worker=" + id + " id=" + requestId + " line=\"" + request.firstLine() + "\" tenant="
                + request.header("X-Tenant") + " body=" + request.body().length);
        Thread.sleep(workMillis);
        Http.send(connection, 200,
                common + "X-Server-Stamp: " + Integer.toHexString(STAMPS.incrementAndGet()) + "\r\n",
                ("ran " + requestId).getBytes(StandardCharsets.UTF_8));
        return true;
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
