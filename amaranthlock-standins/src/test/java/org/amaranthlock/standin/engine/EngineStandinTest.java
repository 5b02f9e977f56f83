package org.amaranthlock.standin.engine;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.amaranthlock.standin.Json;
import org.amaranthlock.standin.StreamingHttpClient;
import org.amaranthlock.standin.StreamingResponse;
import org.amaranthlock.standin.StreamingResponse.ServerSentEvent;
import org.amaranthlock.standin.TestHttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class EngineStandinTest {
    private static final int ALL_EVENTS = Integer.MAX_VALUE;
    private static final long SEED = 42;

    private final CompletableFuture<String> crash = new CompletableFuture<>();
    private EngineStandin engine;
    private TestHttpClient client;

    @AfterEach
    void stop() {
        client.close();
        engine.stop();
    }

    // Guards against a resumed response whose tokens cannot be distinguished from those of a second generation.
    @Test
    void resumedStreamKeepsNonceOfPrefixAndNewStreamGetsAnother() throws IOException {
        start(EngineOptions.defaults());
        List<String> first = tokens(generate("r1", 1, 10, List.of(), 0));
        List<String> resumed = tokens(generate("r1", 2, 10, first.subList(0, 4), 0));
        assertThat(resumed).isEqualTo(first.subList(4, 10));
        List<String> fresh = tokens(generate("r1", 3, 10, List.of(), 0));
        assertThat(nonce(fresh.getFirst())).isNotEqualTo(nonce(first.getFirst()));
        assertThat(VerifiableToken.parse(first.get(3)).orElseThrow().matchesSeed(SEED))
                .isTrue();
        assertThat(VerifiableToken.parse(first.get(3)).orElseThrow().matchesSeed(SEED + 1))
                .isFalse();
    }

    // Guards against token events without an index and a final event without a count.
    @Test
    void eventsHaveSpecifiedFormat() throws IOException {
        start(EngineOptions.defaults());
        List<ServerSentEvent> events = generate("r1", 1, 2, List.of(), 0);
        assertThat(events.get(1).id()).isEqualTo("1");
        assertThat(Json.parseOrMissing(events.get(1).data()).path("i").asInt()).isEqualTo(1);
        assertThat(events.get(2).name()).isEqualTo("done");
        assertThat(events.get(2).data()).isEqualTo("{\"reason\":\"length\",\"count\":2}");
    }

    // Guards against a stream that ends with its connection and a wrong position after attaching.
    @Test
    void streamContinuesWithoutConnectionAndAllowsAttachAtAnyPosition() throws IOException {
        start(EngineOptions.defaults());
        List<String> received;
        try (StreamingResponse stream = client.openStream("POST", "/v1/streams", body("r1", 1, 50, List.of(), 0))) {
            received = new ArrayList<>(tokens(TestHttpClient.readEvents(stream, 3)));
        }
        assertThat(TestHttpClient.awaitCondition(() -> stat("generatedTokens") == 50))
                .isTrue();
        try (StreamingResponse stream = client.openStream("GET", "/v1/streams/r1/1?from=3", "")) {
            received.addAll(tokens(TestHttpClient.readEvents(stream, ALL_EVENTS)));
        }
        assertThat(received).hasSize(50);
        assertThat(received.stream().map(EngineStandinTest::nonce).distinct().count())
                .isEqualTo(1);
        assertThat(client.send("GET", "/v1/streams/r1/2?from=0", "").status()).isEqualTo(404);
    }

    // Guards against cancelled streams that continue to use the engine.
    @Test
    void cancelledStreamStopsGenerating() throws IOException {
        start(EngineOptions.defaults());
        try (StreamingResponse stream =
                client.openStream("POST", "/v1/streams", body("r1", 1, 100_000, List.of(), 0))) {
            TestHttpClient.readEvents(stream, 2);
            client.send("DELETE", "/v1/streams/r1/1", "");
            ServerSentEvent last = TestHttpClient.readEvents(stream, ALL_EVENTS).getLast();
            assertThat(last.data()).contains("cancelled");
        }
        assertThat(stat("running")).isEqualTo(0);
    }

    // Guards against a queue that ignores priorities, which would delay resumed streams.
    @Test
    void queuedStreamOfHigherPriorityRunsFirst() throws Exception {
        start(EngineOptions.defaults().withSlots(1));
        try (StreamingResponse running =
                        client.openStream("POST", "/v1/streams", body("r1", 1, 100_000, List.of(), 0));
                StreamingResponse low = client.openStream("POST", "/v1/streams", body("r2", 1, 100_000, List.of(), 0));
                StreamingResponse high = client.openStream("POST", "/v1/streams", body("r3", 1, 5, List.of(), 9))) {
            assertThat(TestHttpClient.awaitCondition(() -> stat("queued") == 2)).isTrue();
            client.send("DELETE", "/v1/streams/r1/1", "");
            assertThat(TestHttpClient.readEvents(high, ALL_EVENTS)).hasSize(6);
            assertThat(TestHttpClient.readEvents(low, 1)).hasSize(1);
            assertThat(running.status()).isEqualTo(200);
        }
    }

    // Guards against an engine that executes the commands of two holders of its lease.
    @Test
    void commandWithLowerFencingTokenIsRejectedUnlessFencingIsDisabled() throws IOException {
        start(EngineOptions.defaults());
        assertThat(sendCommand(5)).isEqualTo(200);
        assertThat(sendCommand(4)).isEqualTo(409);
        stop();
        start(EngineOptions.defaults().withFencing(false));
        assertThat(sendCommand(5)).isEqualTo(200);
        assertThat(sendCommand(4)).isEqualTo(200);
    }

    // Guards against a draining engine that accepts streams and a crash fault without effect.
    @Test
    void drainRejectsNewStreamsAndPromptCanCrashEngine() throws Exception {
        start(EngineOptions.defaults());
        client.send("POST", "/faults", "{\"crashOnPrompt\":\"words\"}");
        try (StreamingResponse stream = client.openStream("POST", "/v1/streams", body("r1", 1, 5, List.of(), 0))) {
            assertThat(stream.status()).isEqualTo(200);
            assertThat(TestHttpClient.await(crash)).isEqualTo("crashed");
        }
        client.send("POST", "/faults", "{\"drain\":true}");
        StreamingHttpClient.Response rejected = client.send("POST", "/v1/streams", body("r2", 1, 5, List.of(), 0));
        assertThat(rejected.status()).isEqualTo(503);
        assertThat(rejected.text()).contains("\"code\":\"draining\"");
    }

    private void start(EngineOptions options) {
        engine = new EngineStandin(options, () -> crash.complete("crashed"));
        engine.start();
        client = new TestHttpClient(engine);
    }

    private List<ServerSentEvent> generate(String request, int attempt, int max, List<String> prefix, int priority)
            throws IOException {
        try (StreamingResponse stream =
                client.openStream("POST", "/v1/streams", body(request, attempt, max, prefix, priority))) {
            assertThat(stream.status()).isEqualTo(200);
            return TestHttpClient.readEvents(stream, ALL_EVENTS);
        }
    }

    private int sendCommand(long fence) throws IOException {
        String command = "{\"kind\":\"set-role\",\"argument\":\"prefill\",\"fence\":" + fence + "}";
        return client.send("POST", "/v1/orders", command).status();
    }

    private long stat(String name) {
        try {
            JsonNode stats = client.sendForJson("GET", "/v1/stats", "");
            return stats.path(name).asLong();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static String body(String request, int attempt, int max, List<String> prefix, int priority) {
        return Json.toJson(new StreamRequest(request, attempt, "m1", "1", "some words", max, SEED, prefix, priority));
    }

    private static List<String> tokens(List<ServerSentEvent> events) {
        return events.stream()
                .filter(event -> event.name().isEmpty())
                .map(event -> Json.parseOrMissing(event.data()).path("t").asText())
                .toList();
    }

    private static String nonce(String token) {
        return VerifiableToken.parse(token).orElseThrow().nonce();
    }
}
