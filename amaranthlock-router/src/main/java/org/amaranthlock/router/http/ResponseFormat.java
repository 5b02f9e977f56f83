package org.amaranthlock.router.http;

import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.amaranthlock.model.RequestId;

/** Form of the answer that a caller asked for. */
sealed interface ResponseFormat {
    /** Bound on the bytes of one answer that wait for a slow reader or, without streaming, for the end. */
    int BUFFER_LIMIT_BYTES = 1 << 20;

    /** OpenAI chunks as server-sent events. */
    record Streaming(CompletionRequest request, long createdSeconds, OptionalInt resumeAt) implements ResponseFormat {}

    /** One OpenAI completion object. */
    record Buffered(CompletionRequest request, long createdSeconds) implements ResponseFormat {}

    /** Answer of a plain service. */
    record Proxied() implements ResponseFormat {}

    /** Returns a writer that writes on {@code executor}; {@code onGone} is called when the reader leaves before the end. */
    default ResponseWriter createWriter(
            RequestId id, CompletableFuture<OutboundResponse> reply, Executor executor, Runnable onDisconnect) {
        return switch (this) {
            case Streaming(var call, var created, var resumeAt) ->
                new StreamingResponseWriter(
                        id,
                        new OpenAiFormat(id, call, created),
                        resumeAt,
                        call.includeUsage(),
                        reply,
                        executor,
                        onDisconnect);
            case Buffered(var call, var created) ->
                new BufferedResponseWriter(id, new OpenAiFormat(id, call, created), reply);
            case Proxied() -> new ProxiedResponseWriter(reply);
        };
    }
}
