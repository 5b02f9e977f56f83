package org.amaranthlock.router.http;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;
import org.amaranthlock.model.AccountId;
import org.amaranthlock.model.ErrorCode;
import org.amaranthlock.model.ExecutionStatus;
import org.amaranthlock.model.Outcome;
import org.amaranthlock.model.OutcomeRecord;
import org.amaranthlock.model.Refusal;
import org.amaranthlock.model.RequestId;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.ServiceResponse;
import org.jboss.logging.Logger;

/**
 * Open request of a client, from its arrival to the end of its response.
 *
 * <p>All methods except {@link #clientDisconnected()} are called on the control thread.
 */
public final class Exchange {
    private static final Logger LOG = Logger.getLogger("org.amaranthlock.request");
    private static final double MILLIS_PER_SECOND = 1_000;

    private final RequestId id;
    private final AccountId account;
    private final ServiceName service;
    private final long arrivedAtMillis;
    private final ExchangeRegistry registry;
    private final AtomicBoolean open = new AtomicBoolean(true);
    private final ResponseWriter writer;
    private final CompletableFuture<OutboundResponse> responseFuture;
    private boolean firstTokenSent;

    Exchange(
            RequestId id,
            AccountId account,
            ServiceName service,
            long arrivedAtMillis,
            ExchangeRegistry registry,
            ResponseFormat format,
            CompletableFuture<OutboundResponse> responseFuture,
            Executor executor) {
        this.id = Objects.requireNonNull(id, "id");
        this.account = Objects.requireNonNull(account, "account");
        this.service = Objects.requireNonNull(service, "service");
        this.arrivedAtMillis = arrivedAtMillis;
        this.registry = registry;
        this.responseFuture = responseFuture;
        this.writer = format.createWriter(id, responseFuture, executor, this::clientDisconnected);
    }

    /** Returns the request's id. */
    public RequestId id() {
        return id;
    }

    /** Returns whether the request belongs to the given account. */
    boolean belongsTo(AccountId other) {
        return account.equals(other);
    }

    /** Sends generated tokens, whose positions must continue those sent before. */
    public void deliver(RequestId originalRequest, int firstIndex, List<String> tokens) {
        if (!open.get() || tokens.isEmpty()) {
            return;
        }
        if (!firstTokenSent) {
            firstTokenSent = true;
            registry.metrics().recordFirstToken(service, (registry.nowMillis() - arrivedAtMillis) / MILLIS_PER_SECOND);
        }
        if (!writer.deliver(originalRequest, firstIndex, tokens)) {
            LOG.warnf("request %s: %s; the response is aborted", id, writer.failureReason());
            writer.abort();
            clientDisconnected();
            return;
        }
        registry.metrics().countTokens(service, tokens.size());
    }

    /** Completes the response to a completion request. */
    public void complete(String finishReason, OutcomeRecord outcome) {
        if (closeOnce()) {
            writer.complete(finishReason, outcome);
            recordOutcome(outcome);
        }
    }

    /** Sends the response of a plain service. */
    public void respond(ServiceResponse response, OutcomeRecord outcome) {
        if (closeOnce()) {
            responseFuture.complete(ServiceResponseMapper.toResponse(response, id, outcome.executionStatus()));
            recordOutcome(outcome);
        }
    }

    /** Ends the request with an error: as the response, or as an error event if the response has started. */
    public void refuse(Refusal refusal) {
        if (!closeOnce()) {
            return;
        }
        boolean started = writer.started();
        if (started) {
            writer.fail(refusal);
        } else {
            responseFuture.complete(ProblemResponses.toResponse(refusal, Optional.of(id)));
        }
        Outcome outcome = started ? Outcome.FAILED : Outcome.REFUSED;
        registry.metrics().countRequest(service, outcome, refusal.executionStatus());
        registry.metrics().countRefusal(refusal.code());
        LOG.infof(
                "request finished request=%s service=%s outcome=%s fate=%s code=%s attempts=unknown tokens=%d",
                id, service, outcome, refusal.executionStatus(), refusal.code().code(), writer.tokenCount());
    }

    /** Closes the connection because another router or another connection serves the request now. */
    public void supersede() {
        if (!closeOnce()) {
            return;
        }
        if (writer.started()) {
            writer.abort();
        } else {
            // The execution status depends on the other connection, so this response must not claim that nothing ran.
            Refusal refusal = new Refusal(
                    ErrorCode.SUPERSEDED,
                    ExecutionStatus.UNKNOWN,
                    "Another connection serves this request now; read the response there.",
                    OptionalLong.empty());
            responseFuture.complete(ProblemResponses.toResponse(refusal, Optional.of(id)));
        }
    }

    /** Reports once that the client disconnected before the end of its response; may be called from any thread. */
    void clientDisconnected() {
        if (!closeOnce()) {
            return;
        }
        registry.reportClientDisconnected(this);
        // The client may have closed only its sending direction; ending the response releases the connection.
        if (writer.started()) {
            writer.abort();
        } else {
            Refusal refusal = new Refusal(
                    ErrorCode.INTERNAL,
                    ExecutionStatus.UNKNOWN,
                    "The client closed the connection.",
                    OptionalLong.empty());
            responseFuture.complete(
                    ProblemResponses.toResponse(refusal, Optional.of(id)).withHeader("connection", "close"));
        }
    }

    private boolean closeOnce() {
        boolean closed = open.compareAndSet(true, false);
        if (closed) {
            registry.remove(this);
        }
        return closed;
    }

    private void recordOutcome(OutcomeRecord outcome) {
        registry.metrics().countRequest(service, outcome.outcome(), outcome.executionStatus());
        LOG.infof(
                "request finished request=%s service=%s outcome=%s fate=%s code=%s attempts=%d tokens=%d",
                id,
                service,
                outcome.outcome(),
                outcome.executionStatus(),
                outcome.code().isEmpty() ? "none" : outcome.code(),
                outcome.attempts(),
                outcome.tokensDelivered());
    }
}
