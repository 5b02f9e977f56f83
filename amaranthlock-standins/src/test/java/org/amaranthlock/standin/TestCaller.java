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

/** Short calls of a stand-in for tests. */
public final class TestCaller implements AutoCloseable {
    private static final long DEADLINE_SECONDS = 10;

    private final HttpCaller caller;

    public TestCaller(Standin standin) {
        caller = new HttpCaller(standin.address(), Duration.ofSeconds(DEADLINE_SECONDS));
    }

    public HttpCaller.Answer call(String method, String target, String body, String... headers) throws IOException {
        return caller.call(method, target, map(headers), body.getBytes(StandardCharsets.UTF_8));
    }

    public JsonNode json(String method, String target, String body, String... headers) throws IOException {
        return Json.parse(call(method, target, body, headers).body());
    }

    public EventStream open(String method, String target, String body) throws IOException {
        return caller.open(method, target, Map.of(), body.getBytes(StandardCharsets.UTF_8));
    }

    /** Reads events until the end or a count. */
    public static List<EventStream.ServerSentEvent> read(EventStream stream, int atMost) throws IOException {
        List<EventStream.ServerSentEvent> events = new ArrayList<>();
        while (events.size() < atMost) {
            Optional<EventStream.ServerSentEvent> event = stream.next(TimeUnit.SECONDS.toMillis(DEADLINE_SECONDS));
            if (event.isEmpty()) {
                break;
            }
            events.add(event.get());
        }
        return events;
    }

    /** Waits for a future with a deadline. */
    public static <T> T await(CompletableFuture<T> future) throws Exception {
        return future.get(DEADLINE_SECONDS, TimeUnit.SECONDS);
    }

    /** Polls a condition until it holds or the deadline has passed. */
    public static boolean holdsInTime(BooleanSupplier condition) {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(DEADLINE_SECONDS);
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
        caller.close();
    }

    private static Map<String, String> map(String... headers) {
        Map<String, String> map = new LinkedHashMap<>();
        for (int i = 0; i < headers.length; i += 2) {
            map.put(headers[i], headers[i + 1]);
        }
        return map;
    }
}
