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

/** Pooled connections to one target address, with the position in the target's cache events. */
final class TargetConnection {
    private final StreamingHttpClient streaming;
    private final HttpClient aggregated;
    private final AtomicLong cachePosition = new AtomicLong();
    private final AtomicInteger uses = new AtomicInteger();
    private volatile long lastUseNanos = System.nanoTime();

    TargetConnection(String address) {
        streaming = HttpClientSupport.create(address);
        aggregated = streaming.asClient();
    }

    StreamingHttpClient streaming() {
        return streaming;
    }

    AtomicLong cachePosition() {
        return cachePosition;
    }

    HttpRequest request(String method, String path) {
        return aggregated.newRequest(HttpRequestMethod.of(method), path);
    }

    HttpRequest request(String method, String path, byte[] body) {
        return request(method, path)
                .payloadBody(aggregated.executionContext().bufferAllocator().wrap(body));
    }

    /** Sends a request and reads the whole answer within a time. */
    CompletionStage<HttpResponse> exchange(HttpRequest request, Duration timeout) {
        acquire();
        return aggregated
                .request(request)
                .timeout(timeout)
                .beforeFinally(this::release)
                .toCompletionStage();
    }

    void acquire() {
        uses.incrementAndGet();
    }

    void release() {
        lastUseNanos = System.nanoTime();
        uses.decrementAndGet();
    }

    boolean unusedFor(Duration time) {
        return uses.get() == 0 && System.nanoTime() - lastUseNanos > time.toNanos();
    }

    void close() {
        streaming.closeAsync().subscribe();
    }
}
