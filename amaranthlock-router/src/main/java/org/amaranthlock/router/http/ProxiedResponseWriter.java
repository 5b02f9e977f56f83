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

/**
 * Writer for calls of plain services, whose response is sent as a whole by {@link Exchange#respond}; every other way to
 * end the request is an error.
 */
final class ProxiedResponseWriter implements ResponseWriter {
    private final CompletableFuture<OutboundResponse> responseFuture;

    ProxiedResponseWriter(CompletableFuture<OutboundResponse> responseFuture) {
        this.responseFuture = responseFuture;
    }

    @Override
    public boolean deliver(RequestId originalRequest, int firstIndex, List<String> tokens) {
        return false;
    }

    @Override
    public String failureReason() {
        return "the decision core sent tokens for a call of a plain service";
    }

    @Override
    public void complete(String finishReason, OutcomeRecord outcome) {
        abort();
    }

    @Override
    public void fail(Refusal refusal) {
        responseFuture.complete(ProblemResponses.toResponse(refusal, Optional.empty()));
    }

    @Override
    public void abort() {
        fail(new Refusal(
                ErrorCode.INTERNAL,
                ExecutionStatus.UNKNOWN,
                "The router has no response of the service, which may have executed the call; report this as a bug.",
                OptionalLong.empty()));
    }

    @Override
    public boolean started() {
        return false;
    }

    @Override
    public int tokenCount() {
        return 0;
    }
}
