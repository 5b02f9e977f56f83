import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in for the platform's metadata store, as the users' pages describe it, with the drill of their letter. */
final class Store implements AutoCloseable {
    static final ObjectMapper JSON = new ObjectMapper();

    /** Time after which an answer is sent, in milliseconds. */
    private static final long ANSWER_MILLIS = 4;

    private record Change(String kind, ObjectNode object, boolean deleted, long revision) {}

    /** Copy of the store that a drill brings back. */
    record Copy(Map<String, TreeMap<String, ObjectNode>> kinds, long revision) {}

    private final Http.Server server;
    private final Map<String, TreeMap<String, ObjectNode>> kinds = new HashMap<>();
    private final List<Change> history = new ArrayList<>();
    private long revision = 100;
    private long oldestRevision = 100;
    private int era = 1;
    private boolean away;

    Store(String ip) throws IOException {
        server = new Http.Server(ip, this::handle);
    }

    String address() {
        return server.address();
    }

    synchronized long revision() {
        return revision;
    }

    /** Writes an object as the operator or a worker does; returns its revision. A put without a change has no effect. */
    synchronized long put(String kind, String name, JsonNode spec) {
        ObjectNode known = kinds.computeIfAbsent(kind, _ -> new TreeMap<>()).get(name);
        if (known != null && known.get("spec").equals(spec)) {
            return known.get("metadata").get("revision").asLong();
        }
        ObjectNode object = JSON.createObjectNode();
        revision++;
        ObjectNode metadata = object.putObject("metadata");
        metadata.put("name", name);
        metadata.put("revision", revision);
        metadata.put("created", known == null ? revision : known.get("metadata").get("created").asLong());
        metadata.putArray("finalizers");
        metadata.put("deleting", false);
        object.set("spec", spec);
        object.set("status", JSON.nullNode());
        kinds.get(kind).put(name, object);
        record(new Change(kind, object, false, revision));
        return revision;
    }

    synchronized void remove(String kind, String name) {
        ObjectNode known = kinds.computeIfAbsent(kind, _ -> new TreeMap<>()).remove(name);
        if (known != null) {
            revision++;
            ObjectNode gone = known.deepCopy();
            ((ObjectNode) gone.get("metadata")).put("revision", revision);
            record(new Change(kind, gone, true, revision));
        }
    }

    private void record(Change change) {
        history.add(change);
        notifyAll();
    }

    /** Takes the copy from which a drill may bring the store back. */
    synchronized Copy copy() {
        Map<String, TreeMap<String, ObjectNode>> copied = new HashMap<>();
        kinds.forEach((kind, objects) -> copied.put(kind, new TreeMap<>(objects)));
        return new Copy(copied, revision);
    }

    /** Takes the store away: calls are dropped until {@link #comeBackFrom}. */
    void goAway() {
        synchronized (this) {
            away = true;
            notifyAll();
        }
        server.dropConnections();
    }

    /** Brings the store back as it was. */
    synchronized void comeBack() {
        away = false;
    }

    /** Brings the store back from an older copy, with the next era; its revisions are given out again. */
    synchronized void comeBackFrom(Copy copy) {
        kinds.clear();
        copy.kinds().forEach((kind, objects) -> kinds.put(kind, new TreeMap<>(objects)));
        revision = copy.revision();
        oldestRevision = copy.revision();
        history.clear();
        era++;
        away = false;
    }

    private boolean handle(Http.Message request, Socket connection) throws Exception {
        synchronized (this) {
            if (away) {
                return false;
            }
        }
        Thread.sleep(ANSWER_MILLIS);
        String target = request.target();
        int mark = target.indexOf('?');
        Map<String, String> query = new HashMap<>();
        if (mark >= 0) {
            for (String part : target.substring(mark + 1).split("&")) {
                int equals = part.indexOf('=');
                query.put(part.substring(0, equals), URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        String[] path = (mark < 0 ? target : target.substring(0, mark)).substring("/api/objects/".length()).split("/");
        for (int i = 0; i < path.length; i++) {
            path[i] = URLDecoder.decode(path[i], StandardCharsets.UTF_8);
        }
        JsonNode body = request.body().length == 0 ? JSON.createObjectNode() : JSON.readTree(request.body());
        return switch (request.method()) {
            case "GET" -> path.length > 1 ? one(path, connection)
                    : query.containsKey("watch") ? watch(path[0], query, connection) : list(path[0], connection);
            case "POST" -> create(path[0], body, connection);
            case "PUT" -> replace(path, body, connection);
            default -> answer(connection, 404, JSON.createObjectNode());
        };
    }

    private synchronized boolean one(String[] path, Socket connection) throws IOException {
        ObjectNode object = kinds.getOrDefault(path[0], new TreeMap<>()).get(path[1]);
        return object == null ? answer(connection, 404, JSON.createObjectNode()) : answer(connection, 200, object);
    }

    private synchronized boolean list(String kind, Socket connection) throws IOException {
        ObjectNode page = JSON.createObjectNode();
        ArrayNode items = page.putArray("items");
        kinds.getOrDefault(kind, new TreeMap<>()).values().forEach(items::add);
        page.put("has_more", false);
        page.put("current_rev", revision);
        return answer(connection, 200, page);
    }

    private synchronized boolean watch(String kind, Map<String, String> query, Socket connection) throws Exception {
        long since = Long.parseLong(query.get("watch"));
        long until = System.nanoTime() / 1_000_000 + Long.parseLong(query.getOrDefault("wait_ms", "0"));
        int eraAtStart = era;
        if (since > revision || since < oldestRevision) {
            return answer(connection, 410, JSON.createObjectNode());
        }
        while (true) {
            if (away || era != eraAtStart) {
                return false;
            }
            ObjectNode found = JSON.createObjectNode();
            ArrayNode events = found.putArray("events");
            for (Change change : history) {
                if (change.kind().equals(kind) && change.revision() > since) {
                    ObjectNode event = events.addObject();
                    event.put("deleted", change.deleted());
                    event.set("object", change.object());
                }
            }
            found.put("current_rev", revision);
            long left = until - System.nanoTime() / 1_000_000;
            if (!events.isEmpty() || left <= 0) {
                return answer(connection, 200, found);
            }
            wait(left);
        }
    }

    private synchronized boolean create(String kind, JsonNode body, Socket connection) throws IOException {
        String name = body.path("metadata").path("name").asText();
        if (kinds.getOrDefault(kind, new TreeMap<>()).containsKey(name)) {
            return answer(connection, 409, kinds.get(kind).get(name));
        }
        put(kind, name, body.path("spec"));
        return answer(connection, 201, kinds.get(kind).get(name));
    }

    private synchronized boolean replace(String[] path, JsonNode body, Socket connection) throws IOException {
        ObjectNode known = kinds.getOrDefault(path[0], new TreeMap<>()).get(path[1]);
        if (known == null) {
            return answer(connection, 404, JSON.createObjectNode());
        }
        JsonNode expected = body.path("metadata").path("revision");
        if (expected.isNumber() && expected.asLong() != known.get("metadata").get("revision").asLong()) {
            return answer(connection, 409, known);
        }
        put(path[0], path[1], body.path("spec"));
        return answer(connection, 200, kinds.get(path[0]).get(path[1]));
    }

    private boolean answer(Socket connection, int status, JsonNode body) throws IOException {
        Http.send(connection, status, "Content-Type: application/json\r\nStore-Era: " + era + "\r\n", JSON.writeValueAsBytes(body));
        return true;
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
