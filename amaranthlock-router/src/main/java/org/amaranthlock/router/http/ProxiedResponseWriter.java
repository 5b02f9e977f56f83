package org.amaranthlock.router.http;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.amaranthlock.model.ErrorCode;
import org.amaranthlock.model.Fate;
import org.amaranthlock.model.OutcomeRecord;
import org.amaranthlock.model.Refusal;
import org.amaranthlock.model.RequestId;

/** Answer of a plain service, which has no tokens. */
final class ProxiedResponseWriter implements ResponseWriter {
    private final CompletableFuture<OutboundResponse> reply;

    ProxiedResponseWriter(CompletableFuture<OutboundResponse> reply) {
        this.reply = reply;
    }

    @Override
    public boolean deliver(RequestId answer, int firstIndex, List<String> tokens) {
        return false;
    }

    @Override
    public String failureReason() {
        return "tokens were to be sent for a call of a plain service";
    }

    @Override
    public void complete(String reason, OutcomeRecord outcome) {
        abort();
    }

    @Override
    public void fail(Refusal refusal) {
        reply.complete(ProblemDetails.reply(refusal, Optional.empty()));
    }

    @Override
    public void abort() {
        fail(new Refusal(
                ErrorCode.INTERNAL,
                Fate.UNKNOWN,
                "The router has no answer of the service; read the outcome by the request id.",
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
