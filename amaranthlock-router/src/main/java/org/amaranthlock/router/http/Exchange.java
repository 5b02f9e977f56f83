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
 * Open request of a caller, from its arrival to the end of its answer.
 *
 * <p>All methods but {@link #callerGone()} are called on the control thread.
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
    private final AnswerWriter writer;
    private final CompletableFuture<Reply> reply;
    private boolean firstTokenSeen;

    Exchange(
            RequestId id,
            AccountId account,
            ServiceName service,
            long arrivedAtMillis,
            ExchangeRegistry registry,
            AnswerForm form,
            CompletableFuture<Reply> reply,
            Executor executor) {
        this.id = Objects.requireNonNull(id, "id");
        this.account = Objects.requireNonNull(account, "account");
        this.service = Objects.requireNonNull(service, "service");
        this.arrivedAtMillis = arrivedAtMillis;
        this.registry = registry;
        this.reply = reply;
        this.writer = form.open(id, reply, executor, this::callerGone);
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
        if (!firstTokenSeen) {
            firstTokenSeen = true;
            registry.metrics().firstToken(service, (registry.nowMillis() - arrivedAtMillis) / MILLIS_PER_SECOND);
        }
        if (!writer.deliver(answer, firstIndex, tokens)) {
            LOG.warnf("request %s: %s; the connection is closed", id, writer.problem());
            writer.abort();
            callerGone();
            return;
        }
        registry.metrics().tokens(service, tokens.size());
    }

    /** Ends a generated answer. */
    public void complete(String reason, OutcomeRecord outcome) {
        if (end()) {
            writer.complete(reason, outcome);
            finished(outcome);
        }
    }

    /** Sends the answer of a plain service. */
    public void respond(ServiceResponse response, OutcomeRecord outcome) {
        if (end()) {
            reply.complete(ServiceReplies.reply(response, id, outcome.executionStatus()));
            finished(outcome);
        }
    }

    /** Ends the request with a refusal. */
    public void refuse(Refusal refusal) {
        if (!end()) {
            return;
        }
        boolean started = writer.started();
        if (started) {
            writer.fail(refusal);
        } else {
            reply.complete(Problems.reply(refusal, Optional.of(id)));
        }
        Outcome outcome = started ? Outcome.FAILED : Outcome.REFUSED;
        registry.metrics().finished(service, outcome, refusal.executionStatus());
        registry.metrics().refused(refusal.code());
        LOG.infof(
                "request finished request=%s service=%s outcome=%s fate=%s code=%s attempts=unknown tokens=%d",
                id, service, outcome, refusal.executionStatus(), refusal.code().code(), writer.tokens());
    }

    /** Closes the connection because another router, or another connection, serves the request now. */
    public void supersede() {
        if (!end()) {
            return;
        }
        if (writer.started()) {
            writer.abort();
        } else {
            // The other connection decides the fate, so this answer must not claim that nothing ran.
            Refusal refusal = new Refusal(
                    ErrorCode.SUPERSEDED,
                    ExecutionStatus.UNKNOWN,
                    "Another connection serves this request now; read the answer there.",
                    OptionalLong.empty());
            reply.complete(Problems.reply(refusal, Optional.of(id)));
        }
    }

    /** Reports once that the caller left before the end of its answer; may be called from any thread. */
    void callerGone() {
        if (!end()) {
            return;
        }
        registry.callerGone(this);
        // The connection may be closed in one direction only; ending the answer releases it.
        if (writer.started()) {
            writer.abort();
        } else {
            Refusal refusal = new Refusal(
                    ErrorCode.INTERNAL,
                    ExecutionStatus.UNKNOWN,
                    "The caller closed the connection.",
                    OptionalLong.empty());
            reply.complete(Problems.reply(refusal, Optional.of(id)).with("connection", "close"));
        }
    }

    private boolean end() {
        boolean ended = open.compareAndSet(true, false);
        if (ended) {
            registry.close(this);
        }
        return ended;
    }

    private void finished(OutcomeRecord outcome) {
        registry.metrics().finished(service, outcome.outcome(), outcome.executionStatus());
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
