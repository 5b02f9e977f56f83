package org.amaranthlock.standin.desk;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.amaranthlock.standin.Exchange;
import org.amaranthlock.standin.HttpProblemException;
import org.amaranthlock.standin.Json;
import org.amaranthlock.standin.Standin;
import org.amaranthlock.standin.StandinServer;
import org.amaranthlock.standin.Timing;

/**
 * Order desk in memory.
 *
 * <p>An order is executed on arrival and answered after the delay, so a lost connection leaves an executed order. The
 * desk does not deduplicate. Faults ({@code POST /faults}): {@code loseNextAnswers} closes that many connections after
 * the execution, {@code slowMillis} delays every answer.
 */
public final class OrderDeskStandin implements Standin {
    private static final String ORDERS = "/orders/";
    private static final String STOCK = "/stock/";

    /** Stock of an item is between 0 and this number, derived from its name. */
    private static final int MAX_STOCK = 500;

    private final Options options;
    private final OrderBook book;
    private final AtomicInteger loseNextAnswers = new AtomicInteger();
    private final StandinServer server;
    private volatile long slowMillis;

    /**
     * Settings of an order desk.
     *
     * @param host IP number to listen on
     * @param port port, 0 for an ephemeral one
     * @param delayMillis time between execution and answer, in milliseconds
     * @param fencing whether lower fencing numbers are refused
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
        this.book = new OrderBook(options.fencing());
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

    private void handle(Exchange exchange) throws Exception {
        String route = exchange.route();
        if (route.equals("POST /orders")) {
            order(exchange);
        } else if (route.startsWith("GET " + ORDERS)) {
            long fence = exchange.longHeader("Amaranthlock-Fence", -1);
            exchange.sendJson(200, book.reconcile(exchange.pathAfter(ORDERS), fence));
        } else if (route.startsWith("GET " + STOCK)) {
            stock(exchange);
        } else if (route.equals("GET /executions")) {
            exchange.sendJson(200, book.executions());
        } else if (route.equals("POST /faults")) {
            setFaults(exchange);
        } else {
            throw new HttpProblemException(404, "not-found", "No such resource: " + route);
        }
    }

    private void order(Exchange exchange) throws IOException {
        String key = exchange.header("Idempotency-Key");
        if (key == null) {
            throw new HttpProblemException(400, "invalid-request", "Send the header Idempotency-Key.");
        }
        JsonNode order = exchange.jsonBody();
        long fence = exchange.longHeader("Amaranthlock-Fence", -1);
        Map<String, Object> answer = new LinkedHashMap<>();
        answer.put("key", key);
        answer.put("accepted", order);
        Optional<OrderBook.Execution> execution = book.execute(key, fence, Json.toJson(answer));
        if (execution.isEmpty()) {
            throw new HttpProblemException(409, "fenced", "A higher fencing number was seen for this key.");
        }
        Timing.sleep(options.delayMillis() + slowMillis);
        if (loseNextAnswers.getAndUpdate(count -> Math.max(0, count - 1)) > 0) {
            exchange.dropConnection();
        }
        exchange.sendJson(201, answer);
    }

    private void stock(Exchange exchange) throws IOException {
        String item = exchange.pathAfter(STOCK);
        Timing.sleep(options.delayMillis() + slowMillis);
        exchange.sendJson(200, Map.of("item", item, "stock", Math.floorMod(item.hashCode(), MAX_STOCK)));
    }

    private void setFaults(Exchange exchange) throws IOException {
        JsonNode faults = exchange.jsonBody();
        loseNextAnswers.set(faults.path("loseNextAnswers").asInt(loseNextAnswers.get()));
        slowMillis = faults.path("slowMillis").asLong(slowMillis);
        exchange.sendJson(200, Map.of("loseNextAnswers", loseNextAnswers.get(), "slowMillis", slowMillis));
    }
}
