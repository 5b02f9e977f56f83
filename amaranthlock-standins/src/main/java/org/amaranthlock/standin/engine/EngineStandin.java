package org.amaranthlock.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;
import org.amaranthlock.standin.Exchange;
import org.amaranthlock.standin.HttpProblemException;
import org.amaranthlock.standin.ServerSentEventWriter;
import org.amaranthlock.standin.Standin;
import org.amaranthlock.standin.StandinServer;
import org.amaranthlock.standin.Timing;

/**
 * Model engine that generates checkable tokens (see {@link TokenText}).
 *
 * <p>A stream goes on when its connection drops. {@code count} of the {@code done} event is the number of tokens of the
 * whole answer, with the prefix.
 */
public final class EngineStandin implements Standin {
    /** Time after which a silent stream gets a comment, by which a lost reader is noticed, in milliseconds. */
    private static final long COMMENT_MILLIS = 5_000;

    private static final String STREAMS = "/v1/streams/";

    private final EngineOptions options;
    private final EngineFaults faults = new EngineFaults();
    private final EngineOrders orders;
    private final LaggingReports reports;
    private final BatchScheduler scheduler;
    private final Runnable crash;
    private final StandinServer server;
    private final String processNonce =
            String.format("%08x", ThreadLocalRandom.current().nextInt());
    private final AtomicLong generations = new AtomicLong();
    private final AtomicLong attached = new AtomicLong();
    private final AtomicLong cancelled = new AtomicLong();

    /**
     * Creates an engine.
     *
     * @param options settings
     * @param crash what the fault {@code crash} does; a process halts itself, a test stops the engine
     */
    public EngineStandin(EngineOptions options, Runnable crash) {
        this.options = options;
        this.crash = crash;
        this.orders = new EngineOrders(options);
        this.reports = new LaggingReports(options.reportLagMillis(), options.eventGap());
        this.scheduler = new BatchScheduler(options, faults, reports, crash);
        this.server = new StandinServer(options.host(), options.port(), this::handle);
    }

    @Override
    public void start() {
        scheduler.start();
        server.start();
    }

    @Override
    public void stop() {
        server.stop();
        scheduler.stop();
    }

    @Override
    public String address() {
        return server.address();
    }

    private void handle(Exchange exchange) throws Exception {
        String route = exchange.route();
        if (route.startsWith("GET " + STREAMS)) {
            attach(exchange);
            return;
        }
        if (route.startsWith("DELETE " + STREAMS)) {
            cancel(exchange);
            return;
        }
        switch (route) {
            case "POST /v1/streams" -> open(exchange);
            case "GET /v1/load" -> sendLoad(exchange);
            case "GET /v1/cache-events" -> sendCacheEvents(exchange);
            case "POST /v1/orders" -> exchange.sendJson(200, orders.obey(exchange.jsonBody()));
            case "GET /v1/orders" -> exchange.sendJson(200, orders.obeyed());
            case "GET /v1/stats" -> sendStats(exchange);
            case "POST /faults" -> setFaults(exchange);
            default -> throw new HttpProblemException(404, "not-found", "No such resource: " + route);
        }
    }

    private void open(Exchange exchange) throws IOException, InterruptedException {
        if (faults.drain()) {
            throw new HttpProblemException(503, "draining", "The engine takes no new streams; choose another engine.");
        }
        StreamRequest request = StreamRequest.parse(exchange.jsonBody());
        orders.requireLoaded(request.model(), request.version());
        String nonce = request.nonce(processNonce + "n" + Long.toString(generations.incrementAndGet(), 36));
        EngineStream stream = new EngineStream(request, nonce, Timing.monotonicMillis());
        if (!scheduler.submit(stream)) {
            throw new HttpProblemException(409, "attempt-exists", "Attach to the stream of this attempt instead.");
        }
        sendStream(exchange, stream, stream.start());
    }

    private void attach(Exchange exchange) throws IOException, InterruptedException {
        EngineStream stream = scheduler.stream(exchange.pathAfter(STREAMS));
        if (stream == null) {
            throw new HttpProblemException(404, "unknown-request", "The stream is not kept here; start a new attempt.");
        }
        int from = (int) exchange.longQueryParameter("from", stream.start());
        if (from < stream.start()) {
            throw new HttpProblemException(416, "position-gone", "The stream starts at index " + stream.start() + ".");
        }
        attached.incrementAndGet();
        sendStream(exchange, stream, from);
    }

    private void sendStream(Exchange exchange, EngineStream stream, int from) throws IOException, InterruptedException {
        stream.readerJoined();
        try (ServerSentEventWriter events = exchange.startEventStream()) {
            int next = from;
            EngineStream.Part part = stream.await(next, COMMENT_MILLIS);
            while (part.endReason() == null || !part.tokens().isEmpty()) {
                for (String token : part.tokens()) {
                    events.writeEvent(next, Map.of("i", next, "t", token));
                    next++;
                }
                if (part.tokens().isEmpty()) {
                    events.writeComment();
                }
                part = stream.await(next, COMMENT_MILLIS);
            }
            Map<String, Object> done = new LinkedHashMap<>();
            done.put("reason", part.endReason());
            done.put("count", part.end());
            events.writeNamedEvent("done", done);
        } finally {
            stream.readerLeft(Timing.monotonicMillis());
        }
    }

    private void cancel(Exchange exchange) throws IOException {
        if (!scheduler.cancel(exchange.pathAfter(STREAMS))) {
            throw new HttpProblemException(404, "unknown-request", "The stream is not kept here.");
        }
        cancelled.incrementAndGet();
        exchange.sendJson(200, Map.of("cancelled", true));
    }

    private void sendLoad(Exchange exchange) throws IOException {
        LaggingReports.Load load = reports.visibleLoad(Timing.monotonicMillis());
        Map<String, Object> report = new LinkedHashMap<>();
        report.put("running", load.running());
        report.put("queued", load.queued());
        report.put("slots", options.slots());
        report.put("ageMillis", options.reportLagMillis());
        exchange.sendJson(200, report);
    }

    private void sendCacheEvents(Exchange exchange) throws IOException {
        long after = exchange.longQueryParameter("after", 0);
        List<LaggingReports.CacheEvent> events = reports.visibleEvents(after, Timing.monotonicMillis());
        Map<String, Object> answer = new LinkedHashMap<>();
        answer.put("last", events.isEmpty() ? after : events.getLast().seq());
        answer.put("events", events);
        exchange.sendJson(200, answer);
    }

    private void sendStats(Exchange exchange) throws IOException {
        Map<String, Object> stats = scheduler.stats();
        stats.put("attached", attached.get());
        stats.put("cancelled", cancelled.get());
        exchange.sendJson(200, stats);
    }

    private void setFaults(Exchange exchange) throws IOException {
        JsonNode settings = exchange.jsonBody();
        if (settings.path("crash").asBoolean()) {
            crash.run();
        }
        faults.apply(settings, Timing.monotonicMillis());
        exchange.sendJson(200, Map.of("drain", faults.drain(), "slowFactor", faults.slowFactor()));
    }
}
