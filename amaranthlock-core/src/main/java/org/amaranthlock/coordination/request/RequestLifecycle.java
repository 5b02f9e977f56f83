package org.amaranthlock.coordination.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.coordination.RequestCommand;
import org.amaranthlock.coordination.admission.AdmissionDecision;
import org.amaranthlock.coordination.poison.PoisonRegistry.PoisonState;
import org.amaranthlock.model.AttemptId;
import org.amaranthlock.model.ErrorCode;
import org.amaranthlock.model.ExecutionStatus;
import org.amaranthlock.model.Outcome;
import org.amaranthlock.model.OutcomeRecord;
import org.amaranthlock.model.ProfileKind;
import org.amaranthlock.model.Refusal;
import org.amaranthlock.model.RequestId;
import org.amaranthlock.model.RequestSpec;
import org.amaranthlock.model.ServiceResponse;
import org.amaranthlock.model.Target;
import org.amaranthlock.model.TargetId;
import org.amaranthlock.protocol.peer.CompletedResponse;
import org.amaranthlock.protocol.peer.PeerMessage.FinalOutcome;

/** State that all kinds of requests share: admission, attempts, the client's connection and the outcome record. */
final class RequestLifecycle {
    /** Retry hint for clients if no better estimate is available. */
    static final long DEFAULT_RETRY_AFTER_MILLIS = 1000;

    /** Time to wait for an available target for a request that has not started. */
    static final long TARGET_WAIT_TIMEOUT_MILLIS = 2000;

    /** Number of refusals by targets after which a request fails; each refusal costs only a round trip. */
    static final int MAX_REFUSED_ATTEMPTS = 16;

    /** Size of a response body above which it is not stored with the record. */
    static final int MAX_STORED_BODY_BYTES = 4096;

    private static final int HTTP_OK = 200;

    private final RequestDependencies dependencies;
    private boolean keyDecided;
    private final RequestSpec spec;
    private final Map<TargetId, Long> excludedUntil = new HashMap<>();
    private final List<TargetId> attemptedTargets = new ArrayList<>();
    private Optional<RequestId> connection;
    private int lastAttemptNumber;
    private int attemptCount;
    private int refusedAttempts;
    /** Whether admission control still counts the request, as admitted or queued. */
    private boolean holdsAdmission;

    private boolean uncertainAttempt;
    private boolean closed;
    private int tokensDelivered;
    private int tokensRecomputed;
    private Optional<ErrorCode> sentRefusalCode = Optional.empty();

    RequestLifecycle(RequestDependencies dependencies, RequestSpec spec, Optional<RequestId> connection) {
        this.dependencies = dependencies;
        this.spec = spec;
        this.connection = connection;
    }

    RequestSpec spec() {
        return spec;
    }

    RequestDependencies dependencies() {
        return dependencies;
    }

    Optional<RequestId> connection() {
        return connection;
    }

    void connect(RequestId newConnection) {
        connection = Optional.of(newConnection);
    }

    void disconnect() {
        connection = Optional.empty();
    }

    boolean closed() {
        return closed;
    }

    /** Hands the request over to another router and closes it here without a record. */
    void handOver(CheckpointSource source, long now, List<Command> out) {
        connection.ifPresent(id -> out.add(new RequestCommand.Supersede(id)));
        markClosed(false, now);
        dependencies.checkpoints().handOver(source);
        out.add(RequestTrace.handedOver(spec.id(), source.tokens().size()));
    }

    private void markClosed(boolean succeeded, long now) {
        closed = true;
        releaseAdmission(succeeded, now);
    }

    /** Releases the admission of a request that no longer needs a target. */
    void releaseAdmission(boolean succeeded, long now) {
        if (holdsAdmission) {
            holdsAdmission = false;
            dependencies.admission().recordCompletion(spec.id(), succeeded, now);
        }
    }

    /** Submits a new request to admission control: it starts at once, is queued or is refused. */
    void start(CheckpointSource source, Dispatcher dispatcher, Runnable firstDispatch, long now, List<Command> out) {
        if (dispatcher.poisonState(spec, now) == PoisonState.POISON) {
            refusePoison(source, ExecutionStatus.NOT_RUN, now, out);
            return;
        }
        switch (admit(now)) {
            case AdmissionDecision.Admitted _ -> {
                firstDispatch.run();
                if (!closed()) {
                    // Follows the dispatch, so that the first checkpoint names the stream to which a new owner can
                    // attach.
                    out.addAll(dependencies.checkpoints().open(source, now));
                }
            }
            case AdmissionDecision.Queued _ ->
                out.addAll(dependencies.checkpoints().open(source, now));
            case AdmissionDecision.Refused refused ->
                refuse(
                        source,
                        refused.code(),
                        ExecutionStatus.NOT_RUN,
                        refused.detail(),
                        OptionalLong.of(refused.retryAfterMillis()),
                        now,
                        out);
        }
    }

    private AdmissionDecision admit(long now) {
        AdmissionDecision decision = dependencies.admission().admit(spec, now);
        holdsAdmission = !(decision instanceof AdmissionDecision.Refused);
        return decision;
    }

    void recordProgress(int tokens, long now) {
        if (holdsAdmission) {
            dependencies.admission().recordTokens(spec.id(), tokens, now);
        }
    }

    /** Records an attempt of another router and continues the numbering after it. */
    void continueNumberingAfter(int attemptNumber, TargetId target) {
        lastAttemptNumber = attemptNumber;
        attemptCount++;
        attemptedTargets.add(target);
        uncertainAttempt = true;
    }

    void skipAttemptNumbers(int count) {
        lastAttemptNumber += count;
    }

    AttemptId nextAttempt(Target target) {
        lastAttemptNumber++;
        attemptCount++;
        attemptedTargets.add(target.id());
        return new AttemptId(spec.id(), lastAttemptNumber);
    }

    /** Returns the id for a query that asks a target about an earlier attempt. */
    AttemptId nextQuery() {
        lastAttemptNumber++;
        return new AttemptId(spec.id(), lastAttemptNumber);
    }

    /** Returns the number of attempts that were not refused, so that targets may have executed them. */
    int possiblyExecutedAttempts() {
        return attemptCount - refusedAttempts;
    }

    int refusedAttempts() {
        return refusedAttempts;
    }

    /** Returns whether no further attempt is allowed. */
    boolean attemptsExhausted() {
        return possiblyExecutedAttempts() >= spec.profile().maxAttempts() || refusedAttempts >= MAX_REFUSED_ATTEMPTS;
    }

    void recordRefusedAttempt() {
        refusedAttempts++;
    }

    /** Records that an attempt may have been executed without a known result. */
    void recordUncertainAttempt() {
        uncertainAttempt = true;
    }

    boolean hasUncertainAttempt() {
        return uncertainAttempt;
    }

    void exclude(TargetId target, long untilMillis) {
        excludedUntil.merge(target, untilMillis, Math::max);
    }

    Set<TargetId> excludedTargets(long now) {
        Set<TargetId> excluded = new HashSet<>();
        excludedUntil.forEach((target, until) -> {
            if (until > now) {
                excluded.add(target);
            }
        });
        return excluded;
    }

    void addDeliveredTokens(int tokens) {
        tokensDelivered += tokens;
    }

    void addRecomputedTokens(int tokens) {
        tokensRecomputed += tokens;
    }

    void complete(CheckpointSource source, String reason, long now, List<Command> out) {
        OutcomeRecord record = createRecord(Outcome.COMPLETED, ExecutionStatus.RAN, "", HTTP_OK, now);
        connection.ifPresent(id -> out.add(new RequestCommand.CompleteStream(id, reason, record)));
        out.add(RequestTrace.completed(spec.id(), source.tokens().size(), attemptCount));
        if (!source.isKeptAlive()) {
            close(source, record, Optional.empty(), now, out);
            return;
        }
        RequestId served = connection.orElse(spec.id());
        CompletedResponse completedResponse =
                new CompletedResponse(record, served, spec.fingerprint(), reason, source.tokens());
        markClosed(true, now);
        out.addAll(dependencies.ledger().submitOutcome(new FinalOutcome(record, Optional.empty()), now));
        out.addAll(dependencies.checkpoints().saveCompleted(source, completedResponse, now));
    }

    /** Ends a service call with its response; it counts as abandoned if the client has disconnected. */
    void respond(CheckpointSource source, ServiceResponse response, long now, List<Command> out) {
        Outcome outcome = connection.isPresent() ? Outcome.COMPLETED : Outcome.ABANDONED;
        if (sentRefusalCode.isPresent()) {
            outcome = Outcome.FAILED;
        }
        String code = sentRefusalCode.map(ErrorCode::code).orElse("");
        OutcomeRecord record = createRecord(outcome, ExecutionStatus.RAN, code, response.status(), now);
        connection.ifPresent(id -> out.add(new RequestCommand.DeliverResponse(id, response, record)));
        out.add(RequestTrace.completed(spec.id(), 0, attemptCount));
        Optional<ServiceResponse> stored =
                Optional.of(response).filter(candidate -> candidate.body().length <= MAX_STORED_BODY_BYTES);
        close(source, record, stored, now, out);
    }

    void abandon(CheckpointSource source, ExecutionStatus executionStatus, long now, List<Command> out) {
        OutcomeRecord record = createRecord(Outcome.ABANDONED, executionStatus, "", 0, now);
        out.add(RequestTrace.abandoned(spec.id(), executionStatus));
        close(source, record, Optional.empty(), now, out);
    }

    void refuse(
            CheckpointSource source,
            ErrorCode code,
            ExecutionStatus executionStatus,
            String detail,
            OptionalLong retryAfterMillis,
            long now,
            List<Command> out) {
        ExecutionStatus statusForClient =
                executionStatus == ExecutionStatus.NOT_RUN && !keyDecided ? statusBeforeLedger(spec) : executionStatus;
        sendRefusal(code, statusForClient, detail, retryAfterMillis, out);
        closeRefused(source, code, executionStatus, now, out);
    }

    /** Refuses a request that has crashed targets, without a retry hint since an unchanged retry does not help. */
    void refusePoison(CheckpointSource source, ExecutionStatus executionStatus, long now, List<Command> out) {
        String detail = "Targets that ran this request crashed; change the request before sending it again.";
        refuse(source, ErrorCode.POISON_REQUEST, executionStatus, detail, OptionalLong.empty(), now, out);
    }

    /**
     * Returns the execution status to report to the client for a request that is refused before the ledger was queried.
     *
     * <p>The record says "not run" for this request only; to the client it would refer to the key, which an earlier
     * request may have used.
     */
    static ExecutionStatus statusBeforeLedger(RequestSpec spec) {
        boolean keyed =
                spec.profile().kind() == ProfileKind.AT_MOST_ONCE && spec.key().isPresent();
        return keyed ? ExecutionStatus.UNKNOWN : ExecutionStatus.NOT_RUN;
    }

    /** Records that the ledger has decided on the key of the request. */
    void recordKeyDecision() {
        keyDecided = true;
    }

    /** Sends a refusal to the client only; the record may have to wait until the execution status is known. */
    void sendRefusal(
            ErrorCode code,
            ExecutionStatus executionStatus,
            String detail,
            OptionalLong retryAfterMillis,
            List<Command> out) {
        Refusal refusal = new Refusal(code, executionStatus, detail, retryAfterMillis);
        if (connection.isPresent()) {
            out.add(new RequestCommand.Refuse(connection.get(), refusal));
            out.add(RequestTrace.refused(spec.id(), code, executionStatus));
            connection = Optional.empty();
            sentRefusalCode = Optional.of(code);
        }
    }

    private void closeRefused(
            CheckpointSource source,
            ErrorCode unsentCode,
            ExecutionStatus executionStatus,
            long now,
            List<Command> out) {
        ErrorCode code = sentRefusalCode.orElse(unsentCode);
        Outcome outcome =
                attemptCount > 0 && executionStatus != ExecutionStatus.NOT_RUN ? Outcome.FAILED : Outcome.REFUSED;
        if (sentRefusalCode.isEmpty()) {
            // The client had disconnected and did not receive the refusal.
            outcome = Outcome.ABANDONED;
            out.add(RequestTrace.abandoned(spec.id(), executionStatus));
        }
        close(
                source,
                createRecord(outcome, executionStatus, code.code(), code.status(), now),
                Optional.empty(),
                now,
                out);
    }

    private void close(
            CheckpointSource source,
            OutcomeRecord record,
            Optional<ServiceResponse> response,
            long now,
            List<Command> out) {
        markClosed(record.outcome() == Outcome.COMPLETED, now);
        out.addAll(dependencies.ledger().submitOutcome(new FinalOutcome(record, response), now));
        out.addAll(dependencies.checkpoints().close(source, now));
    }

    private OutcomeRecord createRecord(
            Outcome outcome, ExecutionStatus executionStatus, String code, int status, long now) {
        return new OutcomeRecord(
                spec.id(),
                spec.account(),
                spec.service(),
                spec.profile().name(),
                spec.ledgerKey(),
                outcome,
                executionStatus,
                code,
                status,
                dependencies.membership().self().host(),
                attemptedTargets,
                attemptCount,
                tokensDelivered,
                tokensRecomputed,
                spec.arrivedAtMillis(),
                now);
    }
}
