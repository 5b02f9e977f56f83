package org.amaranthlock.standin.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.amaranthlock.standin.Exchange;
import org.amaranthlock.standin.HttpProblem;
import org.amaranthlock.standin.Standin;
import org.amaranthlock.standin.StandinServer;

/** Stand-in for the platform's store, and for the operator and workers that write to it. */
public final class FleetStore implements Standin {
    private static final String PREFIX = "/api/objects/";

    private final FleetObjects objects = new FleetObjects();
    private final AtomicInteger calls = new AtomicInteger();
    private final StandinServer server;
    private volatile StoreMode mode = StoreMode.UP;

    /** Creates a store that listens on {@code host} and {@code port}; port 0 is an ephemeral one. */
    public FleetStore(String host, int port) {
        this.server = new StandinServer(host, port, this::handle);
    }

    @Override
    public void start() {
        server.start();
    }

    @Override
    public void stop() {
        server.stop();
    }

    @Override
    public String address() {
        return server.address();
    }

    /** Changes how the store behaves. */
    public void mode(StoreMode changed) {
        mode = changed;
    }

    /** Returns how many calls have come. */
    public int calls() {
        return calls.get();
    }

    /** Writes an object as the operator or a worker does. */
    public void put(String kind, String name, JsonNode spec) {
        objects.put(kind, name, spec);
    }

    /** Removes an object. */
    public void remove(String kind, String name) {
        objects.remove(kind, name);
    }

    /** Returns the content of an object. */
    public Optional<JsonNode> spec(String kind, String name) {
        return objects.find(kind, name).map(object -> object.get("spec"));
    }

    /** Drops the history of changes. */
    public void forgetHistory() {
        objects.forgetHistory();
    }

    private void handle(Exchange exchange) throws IOException, InterruptedException {
        calls.incrementAndGet();
        StoreMode now = mode;
        if (now == StoreMode.RESET) {
            exchange.dropConnection();
            return;
        }
        if (now == StoreMode.BUSY) {
            throw new HttpProblem(503, "busy", "the store is busy; call again later");
        }
        String[] path = exchange.pathAfter(PREFIX).split("/", 2);
        switch (exchange.method()) {
            case "GET" -> get(exchange, path);
            case "POST" -> create(exchange, path[0]);
            case "PUT" ->
                exchange.sendJson(
                        200, objects.put(path[0], path[1], exchange.json().path("spec")));
            case "DELETE" -> {
                objects.remove(path[0], path[1]);
                exchange.sendJson(200, "");
            }
            default -> throw new HttpProblem(405, "method", "use GET, POST, PUT or DELETE");
        }
    }

    private void get(Exchange exchange, String[] path) throws IOException, InterruptedException {
        if (path.length == 2) {
            ObjectNode found = objects.find(path[0], path[1])
                    .orElseThrow(() -> new HttpProblem(404, "missing", "create the object first"));
            exchange.sendJson(200, found);
            return;
        }
        long watch = exchange.queryNumber("watch", -1);
        if (watch < 0) {
            exchange.sendJson(200, objects.list(path[0]));
            return;
        }
        ObjectNode changes = objects.changes(path[0], watch, exchange.queryNumber("wait_ms", 0))
                .orElseThrow(() -> new HttpProblem(410, "history-gone", "list again"));
        exchange.sendJson(200, changes);
    }

    private void create(Exchange exchange, String kind) throws IOException {
        JsonNode body = exchange.json();
        String name = body.path("metadata").path("name").asText();
        ObjectNode created = objects.create(kind, name, body.path("spec"))
                .orElseThrow(() -> new HttpProblem(409, "exists", "replace it with PUT"));
        exchange.sendJson(201, created);
    }
}
