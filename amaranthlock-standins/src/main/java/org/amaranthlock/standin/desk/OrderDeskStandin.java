package org.amaranthlock.standin.desk;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.amaranthlock.standin.HttpExchange;
import org.amaranthlock.standin.HttpProblemException;
import org.amaranthlock.standin.Json;
import org.amaranthlock.standin.Standin;
import org.amaranthlock.standin.StandinServer;
import org.amaranthlock.standin.Timing;

/**
 * Order desk that keeps its orders in memory.
 *
 * <p>An order is executed on arrival and its response is sent after a delay, so an order is executed even if its
 * connection is lost. The desk does not deduplicate orders.
 *
 * <p>Faults are injected by {@code POST /faults}: {@code loseNextAnswers} closes that many connections between the
 * execution and the response, and {@code slowMillis} delays every response.
 */
public final class OrderDeskStandin implements Standin {
    private static final String ORDERS = "/orders/";
    private static final String STOCK = "/stock/";

    /** Exclusive upper bound of the stock of an item, which is derived from its name. */
    private static final int MAX_STOCK = 500;

    private final Options options;
    private final OrderRegistry registry;
    private final AtomicInteger responsesToDrop = new AtomicInteger();
    private final StandinServer server;
    private volatile long slowMillis;

    /**
     * Settings of an order desk.
     *
     * @param host the IP address to listen on
     * @param port the port, or 0 for an ephemeral port
     * @param delayMillis the time between execution and response, in milliseconds
     * @param fencing whether orders with a fencing token lower than the highest one seen for the key are rejected
     */
    public record Options(String host, int port, long delayMillis, boolean fencing) {
        /** Returns settings for tests: ephemeral loopback port and no delay. */
        public static Options defaults(boolean fencing) {
            return new Options("127.0.0.1", 0, 0, fencing);
        }
    }

    /** Creates an order desk. */
    public OrderDeskStandin(Options options) {
        this.options = options;
        this.registry = new OrderRegistry(options.fencing());
        this.server = new StandinServer(options.host(), options.port(), this::handle);
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

    private void handle(HttpExchange exchange) throws Exception {
        String route = exchange.route();
        if (route.equals("POST /orders")) {
            handleOrder(exchange);
        } else if (route.startsWith("GET " + ORDERS)) {
            long fence = exchange.longHeader("Amaranthlock-Fence", -1);
            exchange.sendJson(200, registry.reconcile(exchange.pathAfter(ORDERS), fence));
        } else if (route.startsWith("GET " + STOCK)) {
            sendStock(exchange);
        } else if (route.equals("GET /executions")) {
            exchange.sendJson(200, registry.executions());
        } else if (route.equals("POST /faults")) {
            setFaults(exchange);
        } else {
            throw new HttpProblemException(404, "not-found", "No such resource: " + route);
        }
    }

    private void handleOrder(HttpExchange exchange) throws IOException {
        String key = exchange.header("Idempotency-Key");
        if (key == null) {
            throw new HttpProblemException(400, "invalid-request", "The header Idempotency-Key is required.");
        }
        JsonNode order = exchange.jsonBody();
        long fence = exchange.longHeader("Amaranthlock-Fence", -1);
        Map<String, Object> response = new LinkedHashMap<>();
        response.put("key", key);
        response.put("accepted", order);
        Optional<OrderRegistry.Execution> execution = registry.execute(key, fence, Json.toJson(response));
        if (execution.isEmpty()) {
            throw new HttpProblemException(409, "fenced", "A higher fencing token has been seen for this key.");
        }
        Timing.sleep(options.delayMillis() + slowMillis);
        if (responsesToDrop.getAndUpdate(count -> Math.max(0, count - 1)) > 0) {
            exchange.dropConnection();
        }
        exchange.sendJson(201, response);
    }

    private void sendStock(HttpExchange exchange) throws IOException {
        String item = exchange.pathAfter(STOCK);
        Timing.sleep(options.delayMillis() + slowMillis);
        exchange.sendJson(200, Map.of("item", item, "stock", Math.floorMod(item.hashCode(), MAX_STOCK)));
    }

    private void setFaults(HttpExchange exchange) throws IOException {
        JsonNode faults = exchange.jsonBody();
        responsesToDrop.set(faults.path("loseNextAnswers").asInt(responsesToDrop.get()));
        slowMillis = faults.path("slowMillis").asLong(slowMillis);
        exchange.sendJson(200, Map.of("loseNextAnswers", responsesToDrop.get(), "slowMillis", slowMillis));
    }
}
