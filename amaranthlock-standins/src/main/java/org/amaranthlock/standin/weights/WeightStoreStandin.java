package org.amaranthlock.standin.weights;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.LongSupplier;
import org.amaranthlock.standin.Exchange;
import org.amaranthlock.standin.HttpProblemException;
import org.amaranthlock.standin.Standin;
import org.amaranthlock.standin.StandinServer;
import org.amaranthlock.standin.Timing;
import org.amaranthlock.standin.TokenBucket;

/** Weight store that answers {@code GET /weights/<model>/<version>} at a limited rate, else with 429. */
public final class WeightStoreStandin implements Standin {
    private static final String WEIGHTS = "/weights/";

    private final int sizeBytes;
    private final TokenBucket bucket;
    private final LongAdder loads = new LongAdder();
    private final LongAdder rejected = new LongAdder();
    private final StandinServer server;

    /**
     * Creates a weight store.
     *
     * @param host IP number to listen on
     * @param port port, 0 for an ephemeral one
     * @param loadsPerSecond rate of loads
     * @param burst loads that are possible at once
     * @param sizeBytes size of every answer, in bytes
     * @param nowMillis monotonic clock, in milliseconds
     */
    public WeightStoreStandin(
            String host, int port, double loadsPerSecond, double burst, int sizeBytes, LongSupplier nowMillis) {
        this.sizeBytes = sizeBytes;
        this.bucket = new TokenBucket(loadsPerSecond, burst, nowMillis);
        this.server = new StandinServer(host, port, this::handle);
    }

    /** Creates a weight store on an ephemeral loopback port and the real clock. */
    public WeightStoreStandin(double loadsPerSecond, double burst) {
        this("127.0.0.1", 0, loadsPerSecond, burst, 1024, Timing::monotonicMillis);
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
        if (route.equals("GET /stats")) {
            exchange.sendJson(200, Map.of("loads", loads.sum(), "rejected", rejected.sum()));
            return;
        }
        if (!route.startsWith("GET " + WEIGHTS)) {
            throw new HttpProblemException(404, "not-found", "No such resource: " + route);
        }
        if (!bucket.tryAcquire()) {
            rejected.increment();
            exchange.setResponseHeader("Retry-After", 1);
            throw new HttpProblemException(429, "over-rate", "The weight store's rate is exceeded; retry later.");
        }
        loads.increment();
        byte[] name = exchange.pathAfter(WEIGHTS).getBytes(StandardCharsets.UTF_8);
        exchange.send(200, "application/octet-stream", Arrays.copyOf(name, sizeBytes));
    }
}
