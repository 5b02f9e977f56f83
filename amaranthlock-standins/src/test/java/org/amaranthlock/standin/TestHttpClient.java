package org.amaranthlock.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** HTTP client for tests that talks to a single stand-in. */
public final class TestHttpClient implements AutoCloseable {
    private static final long TIMEOUT_SECONDS = 10;

    private final StreamingHttpClient client;

    public TestHttpClient(Standin standin) {
        client = new StreamingHttpClient(standin.address(), Duration.ofSeconds(TIMEOUT_SECONDS));
    }

    /** Sends a request with headers that are given as alternating names and values. */
    public StreamingHttpClient.Response send(String method, String requestTarget, String body, String... headers)
            throws IOException {
        return client.send(method, requestTarget, toMap(headers), body.getBytes(StandardCharsets.UTF_8));
    }

    /** Sends a request as {@link #send} does, and returns the response body as JSON. */
    public JsonNode sendForJson(String method, String requestTarget, String body, String... headers)
            throws IOException {
        return Json.parse(send(method, requestTarget, body, headers).body());
    }

    public StreamingResponse openStream(String method, String requestTarget, String body) throws IOException {
        return client.openStream(method, requestTarget, Map.of(), body.getBytes(StandardCharsets.UTF_8));
    }

    /** Reads events until the end of the response, but no more than {@code atMost}. */
    public static List<StreamingResponse.ServerSentEvent> readEvents(StreamingResponse stream, int atMost)
            throws IOException {
        List<StreamingResponse.ServerSentEvent> events = new ArrayList<>();
        while (events.size() < atMost) {
            Optional<StreamingResponse.ServerSentEvent> event =
                    stream.nextEvent(TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
            if (event.isEmpty()) {
                break;
            }
            events.add(event.get());
        }
        return events;
    }

    /** Waits for a future to complete within the time limit. */
    public static <T> T await(CompletableFuture<T> future) throws Exception {
        return future.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Polls a condition and returns whether it became true within the time limit. */
    public static boolean awaitCondition(BooleanSupplier condition) {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadline) {
                return false;
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(2));
        }
        return true;
    }

    @Override
    public void close() {
        client.close();
    }

    private static Map<String, String> toMap(String... headers) {
        Map<String, String> map = new LinkedHashMap<>();
        for (int i = 0; i < headers.length; i += 2) {
            map.put(headers[i], headers[i + 1]);
        }
        return map;
    }
}
