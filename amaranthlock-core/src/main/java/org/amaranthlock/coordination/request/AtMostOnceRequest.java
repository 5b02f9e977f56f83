package org.amaranthlock.coordination.request;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.coordination.RequestCommand;
import org.amaranthlock.coordination.RequestEvent;
import org.amaranthlock.coordination.RequestEvent.FailureKind;
import org.amaranthlock.coordination.poison.PoisonRegistry.PoisonState;
import org.amaranthlock.coordination.routing.TargetSelector.AttemptResult;
import org.amaranthlock.model.AttemptId;
import org.amaranthlock.model.ErrorCode;
import org.amaranthlock.model.ExecutionStatus;
import org.amaranthlock.model.RequestId;
import org.amaranthlock.model.RequestSpec;
import org.amaranthlock.model.ServiceResponse;
import org.amaranthlock.model.Target;
import org.amaranthlock.protocol.peer.Checkpoint;
import org.amaranthlock.protocol.peer.ClaimResult;

/**
 * State machine of a service call that must not be executed twice.
 *
 * <p>The call is dispatched only under a claim that the ledger has granted. A call without a known result is never
 * retried; the targets are asked whether it was executed.
 */
final class AtMostOnceRequest implements OpenRequest {
    /**
     * Time after the grant of a claim in which the call may be sent.
     *
     * <p>Other routers may assume that a claim which is unused after this time stays unused.
     */
    static final long CLAIM_VALIDITY_MILLIS = 2000;

    /** Time after the deadline in which the transport may still report the timeout of a call. */
    private static final long TIMEOUT_REPORT_GRACE_MILLIS = 1000;

    /** Exceeds the validity of the claim, so a target that refused the call gets no second one under the same claim. */
    private static final long REFUSING_TARGET_EXCLUSION_MILLIS = CLAIM_VALIDITY_MILLIS + 1;

    private enum Phase {
        QUEUED,
        CLAIMING,
        WAITING_FOR_TARGET,
        RUNNING,
        RECONCILING
    }

    private final RequestLifecycle requestLifecycle;
    private final Dispatcher dispatcher;
    private final PauseDetector pauseDetector;
    private Phase phase = Phase.QUEUED;
    private Optional<AttemptId> attempt = Optional.empty();
    private Optional<Target> target = Optional.empty();
    private Optional<Reconciliation> reconciliation = Optional.empty();
    /** Refusal if the targets give no conclusive reply. */
    private ErrorCode undecidedCode = ErrorCode.OUTCOME_UNKNOWN;

    private ExecutionStatus undecidedStatus = ExecutionStatus.UNKNOWN;
    /** Detail of the refusal if the targets prove that no request with the key was executed. */
    private String neverExecutedDetail = "The target did not run the request; send it again.";
    /** Request under which a dead router holds the claim. */
    private Optional<RequestId> deadHolderRequest = Optional.empty();

    private long claimRequestedAt;
    private long claimGrantedAt;
    private long fence;

    AtMostOnceRequest(
            RequestDependencies dependencies, Dispatcher dispatcher, PauseDetector pauseDetector, RequestSpec spec) {
        this.requestLifecycle = new RequestLifecycle(dependencies, spec, Optional.of(spec.id()));
        this.dispatcher = dispatcher;
        this.pauseDetector = pauseDetector;
    }

    @Override
    public void start(long now, List<Command> out) {
        requestLifecycle.start(this, dispatcher, () -> requestClaim(now, out), now, out);
    }

    @Override
    public void onAdmissionGranted(long now, List<Command> out) {
        if (phase == Phase.QUEUED) {
            requestClaim(now, out);
        }
    }

    private void requestClaim(long now, List<Command> out) {
        phase = Phase.CLAIMING;
        claimRequestedAt = now;
        out.addAll(requestLifecycle.dependencies().ledger().requestClaim(spec(), now));
    }

    /** Handles the ledger's decision; only the first one is taken into account. */
    void onClaimDecided(ClaimResult result, long now, List<Command> out) {
        if (phase != Phase.CLAIMING) {
            return;
        }
        requestLifecycle.recordKeyDecision();
        switch (result) {
            case ClaimResult.Granted granted -> {
                fence = granted.fence();
                claimGrantedAt = now;
                phase = Phase.WAITING_FOR_TARGET;
                dispatch(now, out);
            }
            case ClaimResult.Held held -> onClaimHeld(held, now, out);
            case ClaimResult.Closed closed -> onKeyClosed(closed, now, out);
            case ClaimResult.KeyReused reused ->
                requestLifecycle.refuse(
                        this,
                        ErrorCode.KEY_REUSED,
                        ExecutionStatus.NOT_RUN,
                        "The idempotency key was used with different content; use a new key.",
                        OptionalLong.empty(),
                        now,
                        out);
            case ClaimResult.Unavailable unavailable -> onClaimUnavailable(unavailable, now, out);
        }
    }

    /**
     * Refuses the request because no claim could be made.
     *
     * <p>This request was not dispatched, but "not run" refers to the key, which an earlier request may have used.
     */
    private void onClaimUnavailable(ClaimResult.Unavailable unavailable, long now, List<Command> out) {
        boolean neverExecuted = spec().key().isEmpty() || unavailable.keyUnused();
        refuse(
                ErrorCode.PLATFORM_UNAVAILABLE,
                neverExecuted ? ExecutionStatus.NOT_RUN : ExecutionStatus.UNKNOWN,
                "No claim could be made (" + unavailable.reason()
                        + "); send the request again with the same key later.",
                now,
                out);
    }

    private void onClaimHeld(ClaimResult.Held held, long now, List<Command> out) {
        if (!requestLifecycle.dependencies().membership().isDead(held.holder())) {
            refuse(
                    ErrorCode.REQUEST_IN_PROGRESS,
                    ExecutionStatus.UNKNOWN,
                    "A request with this key is in progress; send it again later to get its outcome.",
                    now,
                    out);
            return;
        }
        undecidedCode = ErrorCode.OUTCOME_UNKNOWN;
        deadHolderRequest = Optional.of(held.request());
        String cause = "the holder of its claim, " + held.holder().value() + ", is dead";
        out.add(RequestTrace.callInDoubt(spec().id(), cause));
        startReconciliation(targetsOfService(), OptionalLong.of(held.fence() + 1), now, out);
    }

    private void onKeyClosed(ClaimResult.Closed closed, long now, List<Command> out) {
        switch (closed.record().executionStatus()) {
            case RAN -> {
                if (closed.response().isPresent()) {
                    requestLifecycle.respond(this, closed.response().get(), now, out);
                    return;
                }
                undecidedCode = ErrorCode.RESUME_UNAVAILABLE;
                undecidedStatus = ExecutionStatus.RAN;
                startReconciliation(targetsOfService(), OptionalLong.empty(), now, out);
            }
            case NOT_RUN ->
                refuse(
                        ErrorCode.TARGET_FAILED,
                        ExecutionStatus.NOT_RUN,
                        "The request with this key was not run; send it again.",
                        now,
                        out);
            default -> {
                neverExecutedDetail = "The targets confirm that no request with this key ran; send it with a new key.";
                OptionalLong raisedFence =
                        closed.fence() > 0 ? OptionalLong.of(closed.fence() + 1) : OptionalLong.empty();
                startReconciliation(targetsOfService(), raisedFence, now, out);
            }
        }
    }

    private List<Target> targetsOfService() {
        return requestLifecycle.dependencies().configuration().targets().stream()
                .filter(candidate -> candidate.service().equals(spec().service()))
                .toList();
    }

    private void dispatch(long now, List<Command> out) {
        if (requestLifecycle.connection().isEmpty()) {
            refuse(
                    ErrorCode.DEADLINE_EXCEEDED,
                    ExecutionStatus.NOT_RUN,
                    "The client no longer waits for the response.",
                    now,
                    out);
        } else if (dispatcher.poisonState(spec(), now) == PoisonState.POISON) {
            requestLifecycle.refusePoison(this, ExecutionStatus.NOT_RUN, now, out);
        } else if (now - claimGrantedAt > CLAIM_VALIDITY_MILLIS || pauseDetector.pausedSince(claimRequestedAt, now)) {
            refuse(
                    ErrorCode.OVERLOADED,
                    ExecutionStatus.NOT_RUN,
                    "The claim expired before the request was dispatched; send the request again.",
                    now,
                    out);
        } else if (requestLifecycle.refusedAttempts() >= RequestLifecycle.MAX_REFUSED_ATTEMPTS) {
            refuse(
                    ErrorCode.OVERLOADED,
                    ExecutionStatus.NOT_RUN,
                    "The targets refused the request; send it again later.",
                    now,
                    out);
        } else {
            Optional<Target> chosen = dispatcher.chooseTarget(
                    spec(), requestLifecycle.excludedTargets(now), Optional.empty(), "", 0, now);
            if (chosen.isPresent()) {
                callTarget(chosen.get(), now, out);
            } else if (requestLifecycle
                    .dependencies()
                    .targets()
                    .targets(spec().service())
                    .isEmpty()) {
                refuse(
                        ErrorCode.NO_TARGET,
                        ExecutionStatus.NOT_RUN,
                        "No target is available; send it again later.",
                        now,
                        out);
            }
        }
    }

    private void callTarget(Target chosen, long now, List<Command> out) {
        AttemptId id = requestLifecycle.nextAttempt(chosen);
        attempt = Optional.of(id);
        target = Optional.of(chosen);
        phase = Phase.RUNNING;
        dispatcher.recordStart(id, spec(), chosen, 0, now);
        long timeout = Math.max(1, spec().deadlineMillis() - now);
        out.add(new RequestCommand.CallService(id, chosen, spec(), OptionalLong.of(fence), timeout));
        out.add(RequestTrace.callDispatched(spec().id(), chosen, fence));
    }

    @Override
    public void onAttemptEvent(RequestEvent.AttemptEvent event, long now, List<Command> out) {
        if (phase == Phase.RUNNING && attempt.isPresent() && attempt.get().equals(event.attempt())) {
            onCallEvent(event, now, out);
        } else if (phase == Phase.RECONCILING && reconciliation.orElseThrow().isPending(event.attempt())) {
            onReconciliationEvent(event, now, out);
        }
    }

    private void onCallEvent(RequestEvent.AttemptEvent event, long now, List<Command> out) {
        if (event instanceof RequestEvent.ServiceResponded responded) {
            dispatcher.recordTokens(event.attempt(), 1, now);
            dispatcher.recordEnd(event.attempt(), AttemptResult.SUCCEEDED, now);
            requestLifecycle.dependencies().poison().recordCompletion(spec(), now);
            requestLifecycle.respond(this, responded.response(), now, out);
        } else if (event instanceof RequestEvent.AttemptFailed failed) {
            onCallFailed(failed, now, out);
        }
    }

    private void onCallFailed(RequestEvent.AttemptFailed failed, long now, List<Command> out) {
        FailureKind kind = failed.kind();
        switch (kind) {
            case NOT_SENT, BUSY, DRAINING -> {
                recordNotRun(now);
                requestLifecycle.exclude(target.orElseThrow().id(), now + REFUSING_TARGET_EXCLUSION_MILLIS);
                target = Optional.empty();
                phase = Phase.WAITING_FOR_TARGET;
                dispatch(now, out);
            }
            case INVALID -> {
                recordNotRun(now);
                String detail = "The target can't run the request: " + failed.detail();
                refuse(ErrorCode.INVALID_REQUEST, ExecutionStatus.NOT_RUN, detail, now, out);
            }
            case FENCED -> {
                recordNotRun(now);
                String detail = "A later request with this key replaced this one; send it again to get its outcome.";
                refuse(ErrorCode.SUPERSEDED, ExecutionStatus.NOT_RUN, detail, now, out);
            }
            default -> reconcileLostCall(kind + " " + failed.detail(), now, out);
        }
    }

    private void recordNotRun(long now) {
        requestLifecycle.recordRefusedAttempt();
        dispatcher.recordEnd(attempt.orElseThrow(), AttemptResult.FAILED, now);
        attempt = Optional.empty();
    }

    /** Queries the target of a call that ended without a result; only the target knows whether it was executed. */
    private void reconcileLostCall(String cause, long now, List<Command> out) {
        out.add(RequestTrace.callInDoubt(spec().id(), cause));
        requestLifecycle.recordUncertainAttempt();
        dispatcher.recordLoss(attempt.orElseThrow(), now);
        attempt = Optional.empty();
        // The raised fencing number makes the target reject this router's own call if it is still in transit.
        startReconciliation(List.of(target.orElseThrow()), OptionalLong.of(fence + 1), now, out);
    }

    private void startReconciliation(List<Target> targets, OptionalLong raisedFence, long now, List<Command> out) {
        phase = Phase.RECONCILING;
        reconciliation = Optional.of(new Reconciliation(requestLifecycle, targets, raisedFence, now));
        reconciliation.get().sendDueQueries(now, out);
        finishIfReconciled(now, out);
    }

    private void onReconciliationEvent(RequestEvent.AttemptEvent event, long now, List<Command> out) {
        Reconciliation current = reconciliation.orElseThrow();
        if (event instanceof RequestEvent.Reconciled reconciled) {
            current.onQueryCompleted(event.attempt());
            Optional<ServiceResponse> response = reconciled.response();
            if (response.isPresent()) {
                current.cancel(out);
                out.add(RequestTrace.callReconciled(spec().id(), ExecutionStatus.RAN));
                requestLifecycle.respond(this, response.get(), now, out);
                return;
            }
        } else if (event instanceof RequestEvent.AttemptFailed failed) {
            current.onQueryFailed(failed, now);
        }
        finishIfReconciled(now, out);
    }

    private void finishIfReconciled(long now, List<Command> out) {
        Reconciliation current = reconciliation.orElseThrow();
        switch (current.state(now)) {
            case PENDING -> {}
            case NEVER_EXECUTED -> {
                out.add(RequestTrace.callReconciled(spec().id(), ExecutionStatus.NOT_RUN));
                // Closing the dead router's request releases the key, so that a retry by the client can be executed.
                deadHolderRequest.ifPresent(held -> UnservedRequestRecorder.closeNeverExecuted(
                        requestLifecycle.dependencies(), spec(), held, now, out));
                refuse(ErrorCode.TARGET_FAILED, ExecutionStatus.NOT_RUN, neverExecutedDetail, now, out);
            }
            default -> {
                current.cancel(out);
                if (undecidedStatus == ExecutionStatus.UNKNOWN) {
                    out.add(RequestTrace.callInDoubt(spec().id(), "the targets gave no conclusive reply"));
                }
                String detail = undecidedStatus == ExecutionStatus.RAN
                        ? "The request ran, but its response was not stored; query the service for it."
                        : "It is unknown whether the request ran; query the service before sending it with a new key.";
                refuse(undecidedCode, undecidedStatus, detail, now, out);
            }
        }
    }

    @Override
    public void onTick(long now, List<Command> out) {
        boolean deadlinePassed = now >= spec().deadlineMillis();
        switch (phase) {
            case QUEUED -> {
                if (deadlinePassed) {
                    refuse(
                            ErrorCode.DEADLINE_EXCEEDED,
                            ExecutionStatus.NOT_RUN,
                            "The deadline passed; allow more time.",
                            now,
                            out);
                }
            }
            case WAITING_FOR_TARGET -> {
                if (deadlinePassed) {
                    refuse(
                            ErrorCode.DEADLINE_EXCEEDED,
                            ExecutionStatus.NOT_RUN,
                            "The deadline passed; allow more time.",
                            now,
                            out);
                } else {
                    dispatch(now, out);
                }
            }
            case CLAIMING -> refuseIfLate(deadlinePassed, out);
            case RUNNING -> {
                refuseIfLate(deadlinePassed, out);
                if (now >= spec().deadlineMillis() + TIMEOUT_REPORT_GRACE_MILLIS) {
                    out.add(new RequestCommand.CancelAttempt(attempt.orElseThrow(), target.orElseThrow()));
                    reconcileLostCall("the call did not end at its deadline", now, out);
                }
            }
            default -> {
                refuseIfLate(deadlinePassed, out);
                reconciliation.orElseThrow().sendDueQueries(now, out);
                finishIfReconciled(now, out);
            }
        }
    }

    /** Refuses the request to the client at the deadline; its record is written once its execution status is known. */
    private void refuseIfLate(boolean deadlinePassed, List<Command> out) {
        if (deadlinePassed) {
            requestLifecycle.sendRefusal(
                    ErrorCode.DEADLINE_EXCEEDED,
                    ExecutionStatus.UNKNOWN,
                    "The deadline passed before the outcome was known; send the request again with the same key.",
                    OptionalLong.of(RequestLifecycle.DEFAULT_RETRY_AFTER_MILLIS),
                    out);
        }
    }

    @Override
    public void onClientDisconnected(long now, List<Command> out) {
        requestLifecycle.disconnect();
        // A request whose claim is pending or whose call was sent continues without its client, so that a retry with
        // the key gets the outcome.
        if (phase == Phase.QUEUED || phase == Phase.WAITING_FOR_TARGET) {
            requestLifecycle.abandon(this, ExecutionStatus.NOT_RUN, now, out);
        }
    }

    /** Attaches a client that reconnected while its request is in progress on this router. */
    void onClientReconnected(RequestId connection) {
        requestLifecycle.connect(connection);
    }

    @Override
    public void onQueueTimeout(long now, List<Command> out) {
        if (phase == Phase.QUEUED) {
            refuse(
                    ErrorCode.DEADLINE_UNREACHABLE,
                    ExecutionStatus.NOT_RUN,
                    "The request can't finish before its deadline; send it again later.",
                    now,
                    out);
        }
    }

    @Override
    public void onTakenOver(long now, List<Command> out) {
        // The claim belongs to this router only, so no other router can continue the call.
    }

    private void refuse(ErrorCode code, ExecutionStatus executionStatus, String detail, long now, List<Command> out) {
        refuse(code, executionStatus, detail, RequestLifecycle.DEFAULT_RETRY_AFTER_MILLIS, now, out);
    }

    private void refuse(
            ErrorCode code,
            ExecutionStatus executionStatus,
            String detail,
            long retryAfterMillis,
            long now,
            List<Command> out) {
        requestLifecycle.refuse(this, code, executionStatus, detail, OptionalLong.of(retryAfterMillis), now, out);
    }

    @Override
    public RequestLifecycle lifecycle() {
        return requestLifecycle;
    }

    @Override
    public Checkpoint checkpoint() {
        return new Checkpoint(
                spec(),
                requestLifecycle.dependencies().membership().self().host(),
                attempt,
                attempt.flatMap(id -> target.map(Target::id)),
                "",
                List.of());
    }

    @Override
    public boolean isKeptAlive() {
        return false;
    }

    @Override
    public Optional<AttemptId> attempt() {
        return attempt;
    }

    @Override
    public Optional<Target> target() {
        return attempt.flatMap(id -> target);
    }

    @Override
    public List<String> tokens() {
        return List.of();
    }
}
