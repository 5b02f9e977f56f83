package org.amaranthlock.standin.objectapi;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.LongSupplier;
import org.amaranthlock.standin.HttpExchange;
import org.amaranthlock.standin.HttpProblemException;
import org.amaranthlock.standin.Standin;
import org.amaranthlock.standin.StandinServer;
import org.amaranthlock.standin.Timing;
import org.amaranthlock.standin.TokenBucket;

/**
 * In-memory implementation of the HTTP API of the platform that routers use.
 *
 * <p>Rate limits, faults and the delay of the host list are configurable. {@code POST /faults},
 * {@code PUT /hosts/<name>}, {@code DELETE /hosts/<name>} and {@code GET /stats} are for tests and exempt from rate
 * limits and faults.
 */
public final class ObjectApiStandin implements Standin {
    /** Upper bound on the timeout of a watch, in milliseconds. */
    private static final long MAX_WATCH_MILLIS = 60_000;

    private static final String OBJECTS = "/objects/";
    private static final String HOSTS = "/hosts/";

    private final ObjectStore store = new ObjectStore();
    private final ObjectApiFaults faults = new ObjectApiFaults();
    private final HostList hosts;
    private final TokenBucket writes;
    private final TokenBucket reads;
    private final Map<String, LongAdder> counts = new TreeMap<>();
    private final StandinServer server;

    /** Creates a platform that uses the system clock. */
    public ObjectApiStandin(ObjectApiOptions options) {
        this(options, Timing::monotonicMillis);
    }

    /**
     * Creates a platform.
     *
     * @param options the address, rate limits and delay
     * @param nowMillis the monotonic clock for rate limits and the host list, in milliseconds
     */
    public ObjectApiStandin(ObjectApiOptions options, LongSupplier nowMillis) {
        this.hosts = new HostList(nowMillis, options.hostListDelayMillis());
        this.writes = new TokenBucket(options.writesPerSecond(), options.writesPerSecond(), nowMillis);
        this.reads = new TokenBucket(options.readsPerSecond(), options.readsPerSecond(), nowMillis);
        this.server = new StandinServer(options.host(), options.port(), this::handle);
        for (String name : List.of("reads", "lists", "writes", "deletes", "watches", "hostLists", "rejected")) {
            counts.put(name, new LongAdder());
        }
    }

    @Override
    public void start() {
        store.setWatchesInterrupted(false);
        server.start();
    }

    @Override
    public void stop() {
        store.setWatchesInterrupted(true);
        server.stop();
    }

    @Override
    public String address() {
        return server.address();
    }

    private void handle(HttpExchange exchange) throws Exception {
        String route = exchange.route();
        if (route.equals("POST /faults")) {
            setFaults(exchange);
        } else if (route.equals("GET /stats")) {
            sendStats(exchange);
        } else if (route.startsWith("PUT " + HOSTS) || route.startsWith("DELETE " + HOSTS)) {
            changeHost(exchange);
        } else if (route.equals("GET /objects")) {
            checkAdmission("lists", reads);
            list(exchange);
        } else if (route.startsWith("GET " + OBJECTS)) {
            checkAdmission("reads", reads);
            read(exchange);
        } else if (route.startsWith("PUT " + OBJECTS)) {
            checkAdmission("writes", writes);
            write(exchange);
        } else if (route.startsWith("DELETE " + OBJECTS)) {
            checkAdmission("deletes", writes);
            delete(exchange);
        } else if (route.equals("GET /watch")) {
            checkAdmission("watches", reads);
            watch(exchange);
        } else if (route.equals("GET /hosts")) {
            checkAdmission("hostLists", reads);
            exchange.sendJson(200, hosts.visibleRows());
        } else {
            throw new HttpProblemException(404, "not-found", "No such resource: " + route);
        }
    }

    private void checkAdmission(String kind, TokenBucket bucket) {
        counts.get(kind).increment();
        Timing.sleep(faults.slowMillis());
        requireAvailable();
        if (bucket == writes && faults.rejectWrites()) {
            throw new HttpProblemException(
                    503, "platform-unavailable", "An injected fault rejects writes; clear refuseWrites.");
        }
        if (!bucket.tryAcquire()) {
            counts.get("rejected").increment();
            throw new HttpProblemException(
                    429, "over-rate", "The rate limit of the platform is exceeded; retry later.");
        }
    }

    private void requireAvailable() {
        if (faults.outage()) {
            counts.get("rejected").increment();
            throw new HttpProblemException(
                    503, "platform-unavailable", "The platform is unavailable because of an outage; retry later.");
        }
    }

    private void read(HttpExchange exchange) throws IOException {
        ObjectStore.Change object = store.read(exchange.pathAfter(OBJECTS)).orElseThrow(ObjectApiStandin::notFound);
        exchange.setResponseHeader("ETag", quoted(object.version()))
                .setResponseHeader("Platform-Revision", object.revision());
        exchange.send(200, "application/octet-stream", object.value());
    }

    private void list(HttpExchange exchange) throws IOException {
        int limit = (int) exchange.longQueryParameter("limit", Integer.MAX_VALUE);
        ObjectStore.Changes found = store.list(exchange.queryParameter("prefix", ""), limit);
        exchange.setResponseHeader("Platform-Revision", found.revision());
        exchange.sendJson(
                200, found.changes().stream().map(ObjectApiStandin::json).toList());
    }

    private void write(HttpExchange exchange) throws IOException {
        byte[] value = exchange.body();
        sendWriteResult(exchange, store.put(exchange.pathAfter(OBJECTS), value, condition(exchange)));
    }

    private void delete(HttpExchange exchange) throws IOException {
        String key = exchange.pathAfter(OBJECTS);
        Optional<ObjectStore.Change> change = store.delete(key, condition(exchange));
        if (change.isEmpty() && store.read(key).isEmpty()) {
            throw notFound();
        }
        sendWriteResult(exchange, change);
    }

    private void sendWriteResult(HttpExchange exchange, Optional<ObjectStore.Change> written) throws IOException {
        ObjectStore.Change change = written.orElseThrow(() -> new HttpProblemException(
                412, "version-conflict", "The object does not have the expected version; read it again."));
        if (faults.consumeDroppedResponse()) {
            exchange.dropConnection();
        }
        exchange.setResponseHeader("ETag", quoted(change.version()))
                .setResponseHeader("Platform-Revision", change.revision());
        exchange.sendJson(200, Map.of("version", change.version(), "revision", change.revision()));
    }

    private void watch(HttpExchange exchange) throws IOException, InterruptedException {
        long timeout = Math.min(exchange.longQueryParameter("timeoutMs", MAX_WATCH_MILLIS), MAX_WATCH_MILLIS);
        ObjectStore.Changes found = store.awaitChanges(
                exchange.queryParameter("prefix", ""), exchange.longQueryParameter("after", 0), timeout);
        // An outage may have begun while the watch was waiting.
        requireAvailable();
        List<Object> changed = new ArrayList<>();
        List<Object> deleted = new ArrayList<>();
        for (ObjectStore.Change change : found.changes()) {
            if (change.isDeleted()) {
                deleted.add(Map.of("key", change.key(), "revision", change.revision()));
            } else {
                changed.add(json(change));
            }
        }
        exchange.setResponseHeader("Platform-Revision", found.revision());
        Map<String, Object> response = new LinkedHashMap<>();
        response.put("revision", found.revision());
        response.put("changed", changed);
        response.put("deleted", deleted);
        exchange.sendJson(200, response);
    }

    private void changeHost(HttpExchange exchange) throws IOException {
        String name = exchange.pathAfter(HOSTS);
        if (exchange.method().equals("DELETE")) {
            hosts.remove(name);
        } else {
            JsonNode row = exchange.jsonBody();
            hosts.put(new HostList.Row(
                    name,
                    row.path("role").asText(),
                    row.path("address").asText(),
                    row.path("region").asText(),
                    row.path("failureDomain").asText(),
                    row.path("leaving").asBoolean()));
        }
        exchange.sendJson(200, Map.of("name", name));
    }

    private void setFaults(HttpExchange exchange) throws IOException {
        faults.apply(exchange.jsonBody());
        store.setWatchesInterrupted(faults.outage());
        exchange.sendJson(200, Map.of("outage", faults.outage()));
    }

    private void sendStats(HttpExchange exchange) throws IOException {
        Map<String, Long> stats = new TreeMap<>();
        counts.forEach((name, count) -> stats.put(name, count.sum()));
        stats.put("revision", store.revision());
        exchange.sendJson(200, stats);
    }

    private static ObjectStore.Condition condition(HttpExchange exchange) {
        if ("*".equals(exchange.header("If-None-Match"))) {
            return new ObjectStore.Condition.Absent();
        }
        String expected = exchange.header("If-Match");
        if (expected == null) {
            return new ObjectStore.Condition.Any();
        }
        try {
            return new ObjectStore.Condition.Version(Long.parseLong(expected.replace("\"", "")));
        } catch (NumberFormatException e) {
            throw new HttpProblemException(400, "invalid-request", "If-Match must be a quoted version: " + expected);
        }
    }

    private static Map<String, Object> json(ObjectStore.Change change) {
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("key", change.key());
        json.put("version", change.version());
        json.put("revision", change.revision());
        json.put("value", Base64.getEncoder().encodeToString(change.value()));
        return json;
    }

    private static String quoted(long version) {
        return "\"" + version + "\"";
    }

    private static HttpProblemException notFound() {
        return new HttpProblemException(404, "not-found", "The object does not exist.");
    }
}
