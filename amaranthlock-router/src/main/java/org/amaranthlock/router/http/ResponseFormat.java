package org.amaranthlock.router.http;

import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.amaranthlock.model.RequestId;

/** Format of the response that a client requested. */
sealed interface ResponseFormat {
    /** Bound on one response: on the bytes that a slow client has not read or, without streaming, on its characters. */
    int BUFFER_LIMIT_BYTES = 1 << 20;

    /** Stream of OpenAI chunks as server-sent events, from a token position if the client resumes. */
    record Streaming(CompletionRequest request, long createdSeconds, OptionalInt resumeIndex)
            implements ResponseFormat {}

    /** Single OpenAI completion object, sent when the generation is complete. */
    record Buffered(CompletionRequest request, long createdSeconds) implements ResponseFormat {}

    /** Response of a plain service. */
    record Proxied() implements ResponseFormat {}

    /**
     * Creates a writer for this format.
     *
     * @param id the request
     * @param responseFuture completed with the response once its head is known
     * @param executor executes the network I/O
     * @param onDisconnect called when the client disconnects before the end of the response
     */
    default ResponseWriter createWriter(
            RequestId id,
            CompletableFuture<OutboundResponse> responseFuture,
            Executor executor,
            Runnable onDisconnect) {
        return switch (this) {
            case Streaming(var request, var created, var resumeIndex) ->
                new StreamingResponseWriter(
                        id,
                        new OpenAiFormat(id, request, created),
                        resumeIndex,
                        request.includeUsage(),
                        responseFuture,
                        executor,
                        onDisconnect);
            case Buffered(var request, var created) ->
                new BufferedResponseWriter(id, new OpenAiFormat(id, request, created), responseFuture);
            case Proxied() -> new ProxiedResponseWriter(responseFuture);
        };
    }
}
