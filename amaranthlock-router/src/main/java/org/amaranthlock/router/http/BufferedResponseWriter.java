package org.amaranthlock.router.http;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.amaranthlock.model.ErrorCode;
import org.amaranthlock.model.ExecutionStatus;
import org.amaranthlock.model.OutcomeRecord;
import org.amaranthlock.model.Refusal;
import org.amaranthlock.model.RequestId;

/** Writes a response as one JSON object, sent when the generation is complete. */
final class BufferedResponseWriter implements ResponseWriter {
    private final RequestId id;
    private final OpenAiFormat format;
    private final CompletableFuture<OutboundResponse> responseFuture;
    private final StringBuilder text = new StringBuilder();
    private int tokenCount;
    private String failureReason = "";

    BufferedResponseWriter(RequestId id, OpenAiFormat format, CompletableFuture<OutboundResponse> responseFuture) {
        this.id = id;
        this.format = format;
        this.responseFuture = responseFuture;
    }

    @Override
    public boolean deliver(RequestId originalRequest, int firstIndex, List<String> newTokens) {
        if (firstIndex != tokenCount) {
            failureReason = "received tokens at position " + firstIndex + ", expected position " + tokenCount;
            return false;
        }
        newTokens.forEach(text::append);
        tokenCount += newTokens.size();
        if (text.length() > ResponseFormat.BUFFER_LIMIT_BYTES) {
            failureReason = "the response is longer than " + ResponseFormat.BUFFER_LIMIT_BYTES + " characters";
            return false;
        }
        return true;
    }

    @Override
    public String failureReason() {
        return failureReason;
    }

    @Override
    public void complete(String finishReason, OutcomeRecord outcome) {
        responseFuture.complete(OutboundResponse.json(200, format.completion(text.toString(), finishReason, tokenCount))
                .withHeader(ProblemResponses.REQUEST_ID_HEADER, id.value())
                .withHeader(
                        ProblemResponses.EXECUTION_STATUS_HEADER,
                        ProblemResponses.executionStatusText(outcome.executionStatus())));
    }

    @Override
    public void fail(Refusal refusal) {
        responseFuture.complete(ProblemResponses.toResponse(refusal, Optional.of(id)));
    }

    @Override
    public void abort() {
        fail(new Refusal(
                ErrorCode.PAYLOAD_TOO_LARGE,
                ExecutionStatus.RAN,
                "The response can't be sent as one object; request it with \"stream\": true.",
                OptionalLong.empty()));
    }

    @Override
    public boolean started() {
        return false;
    }

    @Override
    public int tokenCount() {
        return tokenCount;
    }
}
