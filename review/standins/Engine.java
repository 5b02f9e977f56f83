import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in for a model worker that copies the memory of its runs to others, as the users' pages describe it. */
final class Engine implements AutoCloseable {
    /** Events of a stream; their ids begin at 1. */
    private static final int EVENTS = 180;

    private static final long EVENT_MILLIS = 100;
    private static final long COPY_MILLIS = 20;
    private static final String JSON_TYPE = "Content-Type: application/json\r\n";

    /** Attempt of a stream that reached an engine. */
    record Run(String engine, String id, String tenant, String kvFrom, long atMillis) {}

    static final List<Run> RUNS = new CopyOnWriteArrayList<>();

    /** Request whose memory a copy holds, by the value of Kv-From that names the copy. */
    static final Map<String, String> OWNERS = new ConcurrentHashMap<>();

    private static final AtomicInteger NUMBERS = new AtomicInteger();

    final String id;
    private final String zone;
    private final Store store;
    private final Http.Server server;
    private final long bornMillis = System.currentTimeMillis();

    /** Events made by request id. */
    private final Map<String, Integer> running = new ConcurrentHashMap<>();

    private final Map<String, String> handles = new ConcurrentHashMap<>();

    /** Last answer to a copy call on a channel that is to be sent again. */
    private final Map<Socket, byte[]> lastAnswers = new ConcurrentHashMap<>();

    /** Whether this engine sends an answer a second time, late: at the point where the next one is expected. */
    volatile boolean repeatsAnswers;

    /** Requests whose copy call met the second answer to the call for another request. */
    final List<String> wronglyAnswered = new CopyOnWriteArrayList<>();

    private volatile boolean leaving;
    private int seq;

    Engine(String ip, String id, String zone, Store store) throws IOException {
        this.id = id;
        this.zone = zone;
        this.store = store;
        this.server = new Http.Server(ip, this::handle);
    }

    String address() {
        return server.address();
    }

    /** Writes this engine's entry in the store. */
    void register() {
        ObjectNode spec = Store.JSON.createObjectNode();
        spec.put("service", Config.ENGINES);
        spec.put("address", address());
        spec.put("zone", zone);
        spec.put("version", "v1");
        spec.put("slots", 64);
        spec.put("state", leaving ? "draining" : "ready");
        spec.put("cold_left_ms", 0);
        spec.put("born", bornMillis);
        spec.put("seq", seq);
        store.put("servers", id, spec);
    }

    /** Reports that this engine leaves; returns when the store has accepted it. */
    long reportDraining() {
        leaving = true;
        seq++;
        register();
        return Clock.millis();
    }

    private boolean handle(Http.Message request, Socket connection) throws Exception {
        String requestId = request.header("X-Request-Id");
        String common = (requestId.isEmpty() ? "" : "X-Request-Id: " + requestId + "\r\n")
                + (leaving ? "Server-Leaving: 1\r\n" : "");
        String path = request.target();
        if (path.startsWith("/api/report")) {
            Http.send(connection, 200, common + JSON_TYPE, report());
            return true;
        }
        if (path.startsWith("/api/kv-move")) {
            return copy(Store.JSON.readTree(request.body()), common, connection);
        }
        if (path.startsWith("/api/kv-handle/")) {
            Http.send(connection, 200, common + JSON_TYPE, "{}".getBytes(StandardCharsets.UTF_8));
            return true;
        }
        if (path.startsWith("/api/kv-list")) {
            Http.send(connection, 200, common + JSON_TYPE,
                    "{\"epoch\":1,\"next\":1,\"held\":[]}".getBytes(StandardCharsets.UTF_8));
            return true;
        }
        if (path.equals("/health")) {
            Http.send(connection, leaving ? 503 : 200, common + "X-Instance-Id: " + id + "\r\n", new byte[0]);
            return true;
        }
        if (path.startsWith("/api/")) {
            Http.send(connection, 404, common, new byte[0]);
            return true;
        }
        if (!request.header("X-Expect-Instance").equals(id)) {
            Http.send(connection, 421, common + "X-Instance-Id: " + id + "\r\n", new byte[0]);
            return true;
        }
        return generate(request, requestId, common, connection);
    }

    private boolean generate(Http.Message request, String requestId, String common, Socket connection) throws Exception {
        String kvFrom = request.header("Kv-From");
        String lastEvent = request.header("Last-Event-Id");
        String tenant = request.header("X-Tenant");
        RUNS.add(new Run(id, requestId, tenant, kvFrom, Clock.millis()));
        Log.write("arrival engine=" + id + " id=" + requestId + " tenant=" + tenant + " last-event-id=" + lastEvent
                + " kv-from=" + kvFrom + " kv-backup=" + request.header("X-Kv-Backup"));
        if (!kvFrom.isEmpty() && !OWNERS.containsKey(kvFrom)) {
            Http.send(connection, 503, common + "X-Not-Run: 1\r\n", new byte[0]);
            return true;
        }
        if (!request.header("X-Kv-Backup").isEmpty()) {
            OWNERS.put(request.header("X-Kv-Backup") + "/" + requestId, requestId);
        }
        OutputStream out = connection.getOutputStream();
        out.write(("HTTP/1.1 200 OK\r\n" + common + "X-Server-Stamp: " + Integer.toHexString(NUMBERS.incrementAndGet())
                + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").getBytes(StandardCharsets.UTF_8));
        try {
            for (int event = lastEvent.isEmpty() ? 1 : Integer.parseInt(lastEvent) + 1; event <= EVENTS; event++) {
                Thread.sleep(EVENT_MILLIS);
                running.put(requestId, event);
                byte[] bytes = ("id: " + event + "\ndata: piece " + event + "\n\n").getBytes(StandardCharsets.UTF_8);
                out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.UTF_8));
                out.write(bytes);
                out.write("\r\n".getBytes(StandardCharsets.UTF_8));
                out.flush();
            }
            out.write("0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
            out.flush();
        } finally {
            running.remove(requestId);
        }
        return true;
    }

    /** Copies the memory of a run; the call may get the last answer on its channel a second time, before its own. */
    private boolean copy(JsonNode call, String common, Socket connection) throws Exception {
        String request = call.path("id").asText();
        Thread.sleep(COPY_MILLIS);
        if (!running.containsKey(request)) {
            Http.send(connection, 404, common, new byte[0]);
            return true;
        }
        String handle = handles.computeIfAbsent(request, _ -> "h" + NUMBERS.incrementAndGet());
        OWNERS.put(address() + "/" + handle, request);
        byte[] answer = ("{\"handle\":\"" + handle + "\",\"created\":" + running.get(request) + "}")
                .getBytes(StandardCharsets.UTF_8);
        byte[] second = lastAnswers.remove(connection);
        if (second != null) {
            Log.write("engine " + id + " sends its last answer on this channel a second time: "
                    + new String(second, StandardCharsets.UTF_8));
            Http.send(connection, 200, common + JSON_TYPE, second);
            if (!new String(second, StandardCharsets.UTF_8).contains("\"" + handle + "\"")) {
                wronglyAnswered.add(request);
            }
        }
        Log.write("copy engine=" + id + " id=" + request + " to=" + call.path("to").asText() + " answer="
                + new String(answer, StandardCharsets.UTF_8));
        Http.send(connection, 200, common + JSON_TYPE, answer);
        if (repeatsAnswers && second == null) {
            lastAnswers.put(connection, answer);
        }
        return true;
    }

    private byte[] report() throws IOException {
        ObjectNode root = Store.JSON.createObjectNode();
        root.put("stage", "both").put("busy", false).put("seq", 0).put("queued", 0).put("running", running.size());
        root.put("kv_used", 1_000 * running.size()).put("kv_total", 55_000).put("handles", handles.size());
        root.put("born", bornMillis);
        root.putArray("models").addObject().put("name", "m").put("version", 1).putArray("adapters");
        ArrayNode runs = root.putArray("runs");
        running.forEach((request, events) -> runs.addArray().add(request).add(1_000).add(events).add(5));
        return Store.JSON.writeValueAsBytes(root);
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
