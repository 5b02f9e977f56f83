package org.amaranthlock.router.http;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.amaranthlock.model.ExecutionStatus;
import org.amaranthlock.model.OutcomeRecord;
import org.amaranthlock.model.Refusal;
import org.amaranthlock.model.RequestId;

/**
 * Writes a response as server-sent events.
 *
 * <p>The head is sent with the first token, so that a refusal before it can still set the HTTP status.
 */
final class StreamingResponseWriter implements ResponseWriter {
    private static final String DONE = "data: [DONE]\n\n";

    private final RequestId id;
    private final OpenAiFormat format;
    private final boolean includeUsage;
    private final boolean resumed;
    private final CompletableFuture<OutboundResponse> responseFuture;
    private final ByteQueue body;
    private int nextIndex;
    private int tokenCount;
    private volatile boolean started;
    private String failureReason = "";

    StreamingResponseWriter(
            RequestId id,
            OpenAiFormat format,
            OptionalInt resumeIndex,
            boolean includeUsage,
            CompletableFuture<OutboundResponse> responseFuture,
            Executor executor,
            Runnable onDisconnect) {
        this.id = id;
        this.format = format;
        this.includeUsage = includeUsage;
        this.resumed = resumeIndex.isPresent();
        this.nextIndex = resumeIndex.orElse(0);
        this.responseFuture = responseFuture;
        this.body = new ByteQueue(ResponseFormat.BUFFER_LIMIT_BYTES, executor, onDisconnect);
    }

    @Override
    public boolean deliver(RequestId originalRequest, int firstIndex, List<String> newTokens) {
        if (firstIndex != nextIndex) {
            failureReason = "received tokens at position " + firstIndex + ", expected position " + nextIndex;
            return false;
        }
        boolean withRole = tokenCount == 0 && !resumed;
        nextIndex += newTokens.size();
        tokenCount += newTokens.size();
        ObjectNode chunk = format.chunk(String.join("", newTokens), withRole, Optional.empty());
        return send("id: " + originalRequest + ":" + (nextIndex - 1) + "\n" + dataEvent(chunk));
    }

    @Override
    public String failureReason() {
        return failureReason;
    }

    @Override
    public void complete(String finishReason, OutcomeRecord outcome) {
        StringBuilder end = new StringBuilder(dataEvent(format.chunk("", false, Optional.of(finishReason))));
        if (includeUsage) {
            // Includes the tokens that the client received before it resumed.
            end.append(dataEvent(format.usageChunk(nextIndex)));
        }
        finish(end.append(DONE).toString());
    }

    @Override
    public void fail(Refusal refusal) {
        finish("event: error\n" + dataEvent(ProblemResponses.toJson(refusal, Optional.of(id))));
    }

    @Override
    public void abort() {
        body.abort(new IllegalStateException("The response was aborted."));
    }

    @Override
    public boolean started() {
        return started;
    }

    @Override
    public int tokenCount() {
        return tokenCount;
    }

    private void finish(String lastEvents) {
        if (send(lastEvents)) {
            body.complete();
        } else {
            abort();
        }
    }

    private boolean send(String events) {
        if (!body.offer(events.getBytes(StandardCharsets.UTF_8))) {
            failureReason = "the client reads too slowly, more than " + ResponseFormat.BUFFER_LIMIT_BYTES
                    + " bytes are buffered";
            return false;
        }
        if (!started) {
            started = true;
            responseFuture.complete(new OutboundResponse(
                    200,
                    Map.of(
                            "content-type",
                            "text/event-stream",
                            "cache-control",
                            "no-cache",
                            ProblemResponses.REQUEST_ID_HEADER,
                            id.value(),
                            ProblemResponses.EXECUTION_STATUS_HEADER,
                            ProblemResponses.executionStatusText(ExecutionStatus.RAN)),
                    new OutboundResponse.Body.Streaming(body)));
        }
        return true;
    }

    private static String dataEvent(ObjectNode json) {
        return "data: " + json + "\n\n";
    }
}
