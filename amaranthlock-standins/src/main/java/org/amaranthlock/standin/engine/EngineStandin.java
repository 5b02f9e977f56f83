package org.amaranthlock.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;
import org.amaranthlock.standin.HttpExchange;
import org.amaranthlock.standin.HttpProblemException;
import org.amaranthlock.standin.ServerSentEventWriter;
import org.amaranthlock.standin.Standin;
import org.amaranthlock.standin.StandinServer;
import org.amaranthlock.standin.Timing;

/**
 * Inference engine that generates verifiable tokens (see {@link VerifiableToken}).
 *
 * <p>A stream continues to generate tokens after its connection is lost. The field {@code count} of the {@code done}
 * event is the number of tokens of the whole response, including the prefix.
 */
public final class EngineStandin implements Standin {
    /** Idle time after which a comment is sent, which detects a disconnected reader, in milliseconds. */
    private static final long KEEP_ALIVE_MILLIS = 5_000;

    private static final String STREAMS = "/v1/streams/";

    private final EngineOptions options;
    private final EngineFaults faults = new EngineFaults();
    private final EngineCommands commands;
    private final DelayedReports reports;
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
     * @param options the settings of the engine
     * @param crash the action that simulates a crash, for example halting the process
     */
    public EngineStandin(EngineOptions options, Runnable crash) {
        this.options = options;
        this.crash = crash;
        this.commands = new EngineCommands(options);
        this.reports = new DelayedReports(options.reportDelayMillis(), options.eventLossInterval());
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

    private void handle(HttpExchange exchange) throws Exception {
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
            case "POST /v1/orders" -> exchange.sendJson(200, commands.execute(exchange.jsonBody()));
            case "GET /v1/orders" -> exchange.sendJson(200, commands.executed());
            case "GET /v1/stats" -> sendStats(exchange);
            case "POST /faults" -> setFaults(exchange);
            default -> throw new HttpProblemException(404, "not-found", "No such resource: " + route);
        }
    }

    private void open(HttpExchange exchange) throws IOException, InterruptedException {
        if (faults.draining()) {
            throw new HttpProblemException(
                    503, "draining", "The engine accepts no new streams; choose another engine.");
        }
        StreamRequest request = StreamRequest.parse(exchange.jsonBody());
        commands.requireLoaded(request.model(), request.version());
        String nonce = request.nonce(processNonce + "n" + Long.toString(generations.incrementAndGet(), 36));
        EngineStream stream = new EngineStream(request, nonce, Timing.monotonicMillis());
        if (!scheduler.submit(stream)) {
            throw new HttpProblemException(
                    409, "attempt-exists", "The attempt already has a stream; attach to it instead.");
        }
        sendStream(exchange, stream, stream.firstIndex());
    }

    private void attach(HttpExchange exchange) throws IOException, InterruptedException {
        EngineStream stream = scheduler.stream(exchange.pathAfter(STREAMS));
        if (stream == null) {
            throw new HttpProblemException(
                    404, "unknown-request", "The engine does not have this stream; start a new attempt.");
        }
        int from = (int) exchange.longQueryParameter("from", stream.firstIndex());
        if (from < stream.firstIndex()) {
            throw new HttpProblemException(
                    416, "position-gone", "The stream starts at index " + stream.firstIndex() + ".");
        }
        attached.incrementAndGet();
        sendStream(exchange, stream, from);
    }

    private void sendStream(HttpExchange exchange, EngineStream stream, int from)
            throws IOException, InterruptedException {
        stream.addReader();
        try (ServerSentEventWriter events = exchange.startEventStream()) {
            int next = from;
            EngineStream.Chunk chunk = stream.awaitTokens(next, KEEP_ALIVE_MILLIS);
            while (chunk.endReason() == null || !chunk.tokens().isEmpty()) {
                for (String token : chunk.tokens()) {
                    events.writeEvent(next, Map.of("i", next, "t", token));
                    next++;
                }
                if (chunk.tokens().isEmpty()) {
                    events.writeComment();
                }
                chunk = stream.awaitTokens(next, KEEP_ALIVE_MILLIS);
            }
            Map<String, Object> done = new LinkedHashMap<>();
            done.put("reason", chunk.endReason());
            done.put("count", chunk.endIndex());
            events.writeNamedEvent("done", done);
        } finally {
            stream.removeReader(Timing.monotonicMillis());
        }
    }

    private void cancel(HttpExchange exchange) throws IOException {
        if (!scheduler.cancel(exchange.pathAfter(STREAMS))) {
            throw new HttpProblemException(404, "unknown-request", "The engine does not have this stream.");
        }
        cancelled.incrementAndGet();
        exchange.sendJson(200, Map.of("cancelled", true));
    }

    private void sendLoad(HttpExchange exchange) throws IOException {
        DelayedReports.Load load = reports.visibleLoad(Timing.monotonicMillis());
        Map<String, Object> report = new LinkedHashMap<>();
        report.put("running", load.running());
        report.put("queued", load.queued());
        report.put("slots", options.slots());
        report.put("ageMillis", options.reportDelayMillis());
        exchange.sendJson(200, report);
    }

    private void sendCacheEvents(HttpExchange exchange) throws IOException {
        long after = exchange.longQueryParameter("after", 0);
        List<DelayedReports.CacheEvent> events = reports.visibleEvents(after, Timing.monotonicMillis());
        Map<String, Object> page = new LinkedHashMap<>();
        page.put("last", events.isEmpty() ? after : events.getLast().seq());
        page.put("events", events);
        exchange.sendJson(200, page);
    }

    private void sendStats(HttpExchange exchange) throws IOException {
        Map<String, Object> stats = scheduler.stats();
        stats.put("attached", attached.get());
        stats.put("cancelled", cancelled.get());
        exchange.sendJson(200, stats);
    }

    private void setFaults(HttpExchange exchange) throws IOException {
        JsonNode settings = exchange.jsonBody();
        if (settings.path("crash").asBoolean()) {
            crash.run();
        }
        faults.apply(settings, Timing.monotonicMillis());
        exchange.sendJson(200, Map.of("drain", faults.draining(), "slowFactor", faults.slowFactor()));
    }
}
