package org.amaranthlock.transport.target;

import io.servicetalk.http.api.HttpClient;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpRequestMethod;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.api.StreamingHttpClient;
import java.time.Duration;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.amaranthlock.transport.http.HttpClientSupport;

/** HTTP client with pooled connections to one target address; also holds the position in the target's cache events. */
final class TargetClient {
    private final StreamingHttpClient streamingClient;
    private final HttpClient aggregatingClient;
    private final AtomicLong cacheEventPosition = new AtomicLong();
    private final AtomicInteger activeExchanges = new AtomicInteger();
    private volatile long lastUseNanos = System.nanoTime();

    TargetClient(String address) {
        streamingClient = HttpClientSupport.create(address);
        aggregatingClient = streamingClient.asClient();
    }

    StreamingHttpClient streamingClient() {
        return streamingClient;
    }

    AtomicLong cacheEventPosition() {
        return cacheEventPosition;
    }

    HttpRequest newRequest(String method, String path) {
        return aggregatingClient.newRequest(HttpRequestMethod.of(method), path);
    }

    HttpRequest newRequest(String method, String path, byte[] body) {
        return newRequest(method, path)
                .payloadBody(
                        aggregatingClient.executionContext().bufferAllocator().wrap(body));
    }

    /** Sends a request and reads the whole response within the time limit. */
    CompletionStage<HttpResponse> exchange(HttpRequest request, Duration timeout) {
        acquire();
        return aggregatingClient
                .request(request)
                .timeout(timeout)
                .beforeFinally(this::release)
                .toCompletionStage();
    }

    /** Marks the start of an exchange; a client with active exchanges is not idle. */
    void acquire() {
        activeExchanges.incrementAndGet();
    }

    /** Marks the end of an exchange. */
    void release() {
        lastUseNanos = System.nanoTime();
        activeExchanges.decrementAndGet();
    }

    boolean isIdleFor(Duration time) {
        return activeExchanges.get() == 0 && System.nanoTime() - lastUseNanos > time.toNanos();
    }

    void close() {
        streamingClient.closeAsync().subscribe();
    }
}
