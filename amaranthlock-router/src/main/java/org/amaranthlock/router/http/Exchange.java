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
import org.amaranthlock.model.Fate;
import org.amaranthlock.model.Outcome;
import org.amaranthlock.model.OutcomeRecord;
import org.amaranthlock.model.Refusal;
import org.amaranthlock.model.RequestId;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.ServiceResponse;
import org.jboss.logging.Logger;

/**
 * Open request of a caller, from its arrival to the end of its answer.
 *
 * <p>All methods but {@link #callerDisconnected()} are called on the control thread.
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
    private final CompletableFuture<OutboundResponse> reply;
    private boolean firstTokenSent;

    Exchange(
            RequestId id,
            AccountId account,
            ServiceName service,
            long arrivedAtMillis,
            ExchangeRegistry registry,
            ResponseFormat form,
            CompletableFuture<OutboundResponse> reply,
            Executor executor) {
        this.id = Objects.requireNonNull(id, "id");
        this.account = Objects.requireNonNull(account, "account");
        this.service = Objects.requireNonNull(service, "service");
        this.arrivedAtMillis = arrivedAtMillis;
        this.registry = registry;
        this.reply = reply;
        this.writer = form.createWriter(id, reply, executor, this::callerDisconnected);
    }

    /** Returns the request's id. */
    public RequestId id() {
        return id;
    }

    /** Tells whether the exchange is one of an account. */
    boolean belongsTo(AccountId other) {
        return account.equals(other);
    }

    /** Sends tokens of an answer; their positions must follow those sent before. */
    public void deliver(RequestId answer, int firstIndex, List<String> tokens) {
        if (!open.get() || tokens.isEmpty()) {
            return;
        }
        if (!firstTokenSent) {
            firstTokenSent = true;
            registry.metrics().recordFirstToken(service, (registry.nowMillis() - arrivedAtMillis) / MILLIS_PER_SECOND);
        }
        if (!writer.deliver(answer, firstIndex, tokens)) {
            LOG.warnf("request %s: %s; the connection is closed", id, writer.failureReason());
            writer.abort();
            callerDisconnected();
            return;
        }
        registry.metrics().countTokens(service, tokens.size());
    }

    /** Ends a generated answer. */
    public void complete(String reason, OutcomeRecord outcome) {
        if (closeOnce()) {
            writer.complete(reason, outcome);
            recordOutcome(outcome);
        }
    }

    /** Sends the answer of a plain service. */
    public void respond(ServiceResponse response, OutcomeRecord outcome) {
        if (closeOnce()) {
            reply.complete(ServiceResponseMapper.toResponse(response, id, outcome.fate()));
            recordOutcome(outcome);
        }
    }

    /** Ends the request with a refusal. */
    public void refuse(Refusal refusal) {
        if (!closeOnce()) {
            return;
        }
        boolean started = writer.started();
        if (started) {
            writer.fail(refusal);
        } else {
            reply.complete(ProblemDetails.reply(refusal, Optional.of(id)));
        }
        Outcome outcome = started ? Outcome.FAILED : Outcome.REFUSED;
        registry.metrics().countRequest(service, outcome, refusal.fate());
        registry.metrics().countRefusal(refusal.code());
        LOG.infof(
                "request finished request=%s service=%s outcome=%s fate=%s code=%s attempts=unknown tokens=%d",
                id, service, outcome, refusal.fate(), refusal.code().code(), writer.tokenCount());
    }

    /** Closes the connection because another router, or another connection, serves the request now. */
    public void supersede() {
        if (!closeOnce()) {
            return;
        }
        if (writer.started()) {
            writer.abort();
        } else {
            // The other connection decides the fate, so this answer must not claim that nothing ran.
            Refusal refusal = new Refusal(
                    ErrorCode.SUPERSEDED,
                    Fate.UNKNOWN,
                    "Another connection serves this request now; read the answer there.",
                    OptionalLong.empty());
            reply.complete(ProblemDetails.reply(refusal, Optional.of(id)));
        }
    }

    /** Reports once that the caller left before the end of its answer; may be called from any thread. */
    void callerDisconnected() {
        if (!closeOnce()) {
            return;
        }
        registry.reportCallerDisconnected(this);
        // The connection may be closed in one direction only; ending the answer releases it.
        if (writer.started()) {
            writer.abort();
        } else {
            Refusal refusal = new Refusal(
                    ErrorCode.INTERNAL, Fate.UNKNOWN, "The caller closed the connection.", OptionalLong.empty());
            reply.complete(ProblemDetails.reply(refusal, Optional.of(id)).withHeader("connection", "close"));
        }
    }

    private boolean closeOnce() {
        boolean ended = open.compareAndSet(true, false);
        if (ended) {
            registry.close(this);
        }
        return ended;
    }

    private void recordOutcome(OutcomeRecord outcome) {
        registry.metrics().countRequest(service, outcome.outcome(), outcome.fate());
        LOG.infof(
                "request finished request=%s service=%s outcome=%s fate=%s code=%s attempts=%d tokens=%d",
                id,
                service,
                outcome.outcome(),
                outcome.fate(),
                outcome.code().isEmpty() ? "none" : outcome.code(),
                outcome.attempts(),
                outcome.tokensDelivered());
    }
}
