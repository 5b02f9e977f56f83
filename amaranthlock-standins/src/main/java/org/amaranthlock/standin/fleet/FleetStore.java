package org.amaranthlock.standin.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.amaranthlock.standin.HttpExchange;
import org.amaranthlock.standin.HttpProblemException;
import org.amaranthlock.standin.Standin;
import org.amaranthlock.standin.StandinServer;
import org.amaranthlock.standin.Timing;
import org.amaranthlock.standin.TokenBucket;

/**
 * Stand-in for the platform's object store.
 *
 * <p>Its methods let tests write to the store in place of the operator and of workers.
 */
public final class FleetStore implements Standin {
    private static final String PREFIX = "/api/objects/";

    private static final String STATUS = "/status";

    /** Delay of each response in {@link StoreMode#SLOW}, in milliseconds. */
    private static final long SLOW_RESPONSE_MILLIS = 500;

    private final RevisionedObjects objects = new RevisionedObjects();
    private final AtomicInteger callCount = new AtomicInteger();
    private final StandinServer server;
    private volatile Optional<TokenBucket> reads = Optional.empty();
    private volatile Optional<TokenBucket> writes = Optional.empty();
    private volatile StoreMode mode = StoreMode.AVAILABLE;

    /** Creates a store that listens on {@code host} and {@code port}; port 0 selects an ephemeral port. */
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

    /** Sets how the store behaves towards its clients. */
    public void mode(StoreMode newMode) {
        mode = newMode;
    }

    /**
     * Limits the rates of the calls of all hosts together.
     *
     * <p>Calls that exceed a rate are answered with 429. Reads that allow a stale result are not limited.
     */
    public void limitRates(double readsPerSecond, double writesPerSecond) {
        reads = Optional.of(new TokenBucket(readsPerSecond, readsPerSecond, Timing::monotonicMillis));
        writes = Optional.of(new TokenBucket(writesPerSecond, writesPerSecond, Timing::monotonicMillis));
    }

    /** Returns the number of calls received. */
    public int callCount() {
        return callCount.get();
    }

    /** Creates or replaces an object. */
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

    /** Returns the status of an object. */
    public Optional<JsonNode> status(String kind, String name) {
        return objects.find(kind, name).map(object -> object.path("status"));
    }

    /** Discards the history of changes, so that clients that watch from an older revision get 410. */
    public void discardHistory() {
        objects.discardHistory();
    }

    private void handle(HttpExchange exchange) throws IOException, InterruptedException {
        callCount.incrementAndGet();
        StoreMode currentMode = mode;
        if (currentMode == StoreMode.DROPS_CONNECTIONS) {
            exchange.dropConnection();
            return;
        }
        if (currentMode == StoreMode.UNAVAILABLE) {
            throw new HttpProblemException(503, "busy", "The store is busy; retry later.");
        }
        if (currentMode == StoreMode.SLOW) {
            Thread.sleep(SLOW_RESPONSE_MILLIS);
        }
        checkRateLimit(exchange);
        serve(exchange, currentMode == StoreMode.DROPS_RESPONSES);
    }

    private void checkRateLimit(HttpExchange exchange) {
        boolean read = exchange.method().equals("GET");
        if (read && exchange.longQueryParameter("allow_stale", 0) == 1) {
            return;
        }
        if ((read ? reads : writes).map(bucket -> !bucket.tryAcquire()).orElse(false)) {
            throw new HttpProblemException(429, "rate", "The rate limit of the store is exceeded; retry later.");
        }
    }

    private void serve(HttpExchange exchange, boolean dropResponse) throws IOException, InterruptedException {
        String[] path = exchange.pathAfter(PREFIX).split("/", 2);
        switch (exchange.method()) {
            case "GET" -> {
                if (dropResponse) {
                    exchange.dropConnection();
                }
                get(exchange, path);
            }
            case "POST" -> create(exchange, path[0], dropResponse);
            case "PUT" -> respond(exchange, 200, replace(path[0], path[1], exchange.jsonBody()), dropResponse);
            case "DELETE" -> {
                objects.remove(path[0], path[1]);
                respond(exchange, 200, "", dropResponse);
            }
            default ->
                throw new HttpProblemException(
                        405, "method", "The method is not supported; use GET, POST, PUT or DELETE.");
        }
    }

    private ObjectNode replace(String kind, String name, JsonNode body) {
        if (name.endsWith(STATUS)) {
            String object = name.substring(0, name.length() - STATUS.length());
            return objects.putStatus(kind, object, body.path("status"))
                    .orElseThrow(() ->
                            new HttpProblemException(404, "missing", "The object does not exist; create it first."));
        }
        JsonNode revision = body.path("metadata").path("revision");
        if (revision.isMissingNode()) {
            return objects.put(kind, name, body.path("spec"));
        }
        return objects.replace(kind, name, body.path("spec"), revision.asLong())
                .orElseThrow(() -> new HttpProblemException(409, "changed", "The object has changed; read it again."));
    }

    private static void respond(HttpExchange exchange, int status, Object value, boolean dropResponse)
            throws IOException {
        if (dropResponse) {
            exchange.dropConnection();
        }
        exchange.sendJson(status, value);
    }

    private void get(HttpExchange exchange, String[] path) throws IOException, InterruptedException {
        if (path.length == 2) {
            ObjectNode found = objects.find(path[0], path[1])
                    .orElseThrow(() ->
                            new HttpProblemException(404, "missing", "The object does not exist; create it first."));
            exchange.sendJson(200, found);
            return;
        }
        long watch = exchange.longQueryParameter("watch", -1);
        if (watch < 0) {
            exchange.sendJson(200, objects.list(path[0]));
            return;
        }
        ObjectNode changes = objects.awaitChanges(path[0], watch, exchange.longQueryParameter("wait_ms", 0))
                .orElseThrow(() -> new HttpProblemException(
                        410,
                        "history-gone",
                        "The history since this revision has been discarded; list the objects again."));
        exchange.sendJson(200, changes);
    }

    private void create(HttpExchange exchange, String kind, boolean dropResponse) throws IOException {
        JsonNode body = exchange.jsonBody();
        String name = body.path("metadata").path("name").asText();
        ObjectNode created = objects.create(kind, name, body.path("spec"))
                .orElseThrow(() ->
                        new HttpProblemException(409, "exists", "The object already exists; replace it with PUT."));
        respond(exchange, 201, created, dropResponse);
    }
}
