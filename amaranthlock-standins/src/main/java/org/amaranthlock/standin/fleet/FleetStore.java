package org.amaranthlock.standin.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.amaranthlock.standin.Exchange;
import org.amaranthlock.standin.HttpProblemException;
import org.amaranthlock.standin.Standin;
import org.amaranthlock.standin.StandinServer;
import org.amaranthlock.standin.Timing;
import org.amaranthlock.standin.TokenBucket;

/** Stand-in for the platform's store, and for the operator and workers that write to it. */
public final class FleetStore implements Standin {
    private static final String PREFIX = "/api/objects/";

    /** Delay of each answer of a slow store, in milliseconds. */
    private static final long SLOW_MILLIS = 500;

    private final FleetObjects objects = new FleetObjects();
    private final AtomicInteger calls = new AtomicInteger();
    private final StandinServer server;
    private volatile Optional<TokenBucket> reads = Optional.empty();
    private volatile Optional<TokenBucket> writes = Optional.empty();
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

    /** Bounds the calls of all hosts together; calls beyond the rates get 429. Stale reads are not counted. */
    public void rates(double readsPerSecond, double writesPerSecond) {
        reads = Optional.of(new TokenBucket(readsPerSecond, readsPerSecond, Timing::monotonicMillis));
        writes = Optional.of(new TokenBucket(writesPerSecond, writesPerSecond, Timing::monotonicMillis));
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
            throw new HttpProblemException(503, "busy", "the store is busy; call again later");
        }
        if (now == StoreMode.SLOW) {
            Thread.sleep(SLOW_MILLIS);
        }
        checkRate(exchange);
        serve(exchange, now == StoreMode.LOSES_ANSWERS);
    }

    private void checkRate(Exchange exchange) {
        boolean read = exchange.method().equals("GET");
        if (read && exchange.longQueryParameter("allow_stale", 0) == 1) {
            return;
        }
        if ((read ? reads : writes).map(bucket -> !bucket.tryAcquire()).orElse(false)) {
            throw new HttpProblemException(429, "rate", "too many calls; call less often");
        }
    }

    private void serve(Exchange exchange, boolean loseAnswer) throws IOException, InterruptedException {
        String[] path = exchange.pathAfter(PREFIX).split("/", 2);
        switch (exchange.method()) {
            case "GET" -> {
                if (loseAnswer) {
                    exchange.dropConnection();
                }
                get(exchange, path);
            }
            case "POST" -> create(exchange, path[0], loseAnswer);
            case "PUT" -> {
                ObjectNode written =
                        objects.put(path[0], path[1], exchange.jsonBody().path("spec"));
                answer(exchange, 200, written, loseAnswer);
            }
            case "DELETE" -> {
                objects.remove(path[0], path[1]);
                answer(exchange, 200, "", loseAnswer);
            }
            default -> throw new HttpProblemException(405, "method", "use GET, POST, PUT or DELETE");
        }
    }

    private static void answer(Exchange exchange, int status, Object value, boolean lose) throws IOException {
        if (lose) {
            exchange.dropConnection();
        }
        exchange.sendJson(status, value);
    }

    private void get(Exchange exchange, String[] path) throws IOException, InterruptedException {
        if (path.length == 2) {
            ObjectNode found = objects.find(path[0], path[1])
                    .orElseThrow(() -> new HttpProblemException(404, "missing", "create the object first"));
            exchange.sendJson(200, found);
            return;
        }
        long watch = exchange.longQueryParameter("watch", -1);
        if (watch < 0) {
            exchange.sendJson(200, objects.list(path[0]));
            return;
        }
        ObjectNode changes = objects.changes(path[0], watch, exchange.longQueryParameter("wait_ms", 0))
                .orElseThrow(() -> new HttpProblemException(410, "history-gone", "list again"));
        exchange.sendJson(200, changes);
    }

    private void create(Exchange exchange, String kind, boolean loseAnswer) throws IOException {
        JsonNode body = exchange.jsonBody();
        String name = body.path("metadata").path("name").asText();
        ObjectNode created = objects.create(kind, name, body.path("spec"))
                .orElseThrow(() -> new HttpProblemException(409, "exists", "replace it with PUT"));
        answer(exchange, 201, created, loseAnswer);
    }
}
