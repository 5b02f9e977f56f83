package org.amaranthlock.standin.weights;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.LongSupplier;
import org.amaranthlock.standin.HttpExchange;
import org.amaranthlock.standin.HttpProblemException;
import org.amaranthlock.standin.Standin;
import org.amaranthlock.standin.StandinServer;
import org.amaranthlock.standin.Timing;
import org.amaranthlock.standin.TokenBucket;

/**
 * Store of model weights that serves {@code GET /weights/<model>/<version>}.
 *
 * <p>Requests beyond the configured rate are rejected with status 429.
 */
public final class WeightStoreStandin implements Standin {
    private static final String WEIGHTS = "/weights/";

    private final int sizeBytes;
    private final TokenBucket bucket;
    private final LongAdder downloads = new LongAdder();
    private final LongAdder rejected = new LongAdder();
    private final StandinServer server;

    /**
     * Creates a weight store.
     *
     * @param host the IP address to listen on
     * @param port the port, or 0 for an ephemeral port
     * @param downloadsPerSecond the maximum rate of downloads per second
     * @param burst the maximum number of downloads in a burst
     * @param sizeBytes the size of every response body, in bytes
     * @param nowMillis the monotonic clock, in milliseconds
     */
    public WeightStoreStandin(
            String host, int port, double downloadsPerSecond, double burst, int sizeBytes, LongSupplier nowMillis) {
        this.sizeBytes = sizeBytes;
        this.bucket = new TokenBucket(downloadsPerSecond, burst, nowMillis);
        this.server = new StandinServer(host, port, this::handle);
    }

    /** Creates a weight store with an ephemeral loopback port and the system clock. */
    public WeightStoreStandin(double downloadsPerSecond, double burst) {
        this("127.0.0.1", 0, downloadsPerSecond, burst, 1024, Timing::monotonicMillis);
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
        if (route.equals("GET /stats")) {
            exchange.sendJson(200, Map.of("loads", downloads.sum(), "rejected", rejected.sum()));
            return;
        }
        if (!route.startsWith("GET " + WEIGHTS)) {
            throw new HttpProblemException(404, "not-found", "No such resource: " + route);
        }
        if (!bucket.tryAcquire()) {
            rejected.increment();
            exchange.setResponseHeader("Retry-After", 1);
            throw new HttpProblemException(
                    429, "over-rate", "The rate limit of the weight store is exceeded; retry later.");
        }
        downloads.increment();
        byte[] name = exchange.pathAfter(WEIGHTS).getBytes(StandardCharsets.UTF_8);
        exchange.send(200, "application/octet-stream", Arrays.copyOf(name, sizeBytes));
    }
}
