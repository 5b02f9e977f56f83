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

/** Life of a call of a plain service that must not be executed twice. */
final class AtMostOnceRequest implements OpenRequest {
    /** A claim is dispatched only this long after its grant; later, others may rely on its not being used. */
    static final long CLAIM_VALIDITY_MILLIS = 2000;

    /** Time that the transport gets to report the timeout of a call itself. */
    private static final long TIMEOUT_REPORT_MILLIS = 1000;

    /** A target that did not take the call is not asked again under the same claim. */
    private static final long BARRED_TARGET_MILLIS = CLAIM_VALIDITY_MILLIS + 1;

    private enum Phase {
        QUEUED,
        CLAIMING,
        WAITING_FOR_TARGET,
        RUNNING,
        RECONCILING
    }

    private final RequestLifecycle life;
    private final Dispatcher dispatcher;
    private final PauseDetector pauses;
    private Phase phase = Phase.QUEUED;
    private Optional<AttemptId> attempt = Optional.empty();
    private Optional<Target> target = Optional.empty();
    private Optional<Reconciliation> reconciliation = Optional.empty();
    private ErrorCode undecidedCode = ErrorCode.OUTCOME_UNKNOWN;
    private ExecutionStatus undecidedFate = ExecutionStatus.UNKNOWN;
    private String neverExecutedDetail = "The target did not run the request; repeat it.";
    private Optional<RequestId> heldRequest = Optional.empty();
    private long claimedAt;
    private long grantedAt;
    private long fence;

    AtMostOnceRequest(RequestDependencies services, Dispatcher dispatcher, PauseDetector pauses, RequestSpec spec) {
        this.life = new RequestLifecycle(services, spec, Optional.of(spec.id()));
        this.dispatcher = dispatcher;
        this.pauses = pauses;
    }

    @Override
    public void start(long now, List<Command> out) {
        life.start(this, dispatcher, () -> claim(now, out), now, out);
    }

    @Override
    public void onAdmissionGranted(long now, List<Command> out) {
        if (phase == Phase.QUEUED) {
            claim(now, out);
        }
    }

    private void claim(long now, List<Command> out) {
        phase = Phase.CLAIMING;
        claimedAt = now;
        out.addAll(life.dependencies().ledger().requestClaim(spec(), now));
    }

    /** Reacts to the ledger's decision; only the first one counts. */
    void onClaimDecided(ClaimResult verdict, long now, List<Command> out) {
        if (phase != Phase.CLAIMING) {
            return;
        }
        life.recordKeyDecision();
        switch (verdict) {
            case ClaimResult.Granted granted -> {
                fence = granted.fence();
                grantedAt = now;
                phase = Phase.WAITING_FOR_TARGET;
                dispatch(now, out);
            }
            case ClaimResult.Held held -> held(held, now, out);
            case ClaimResult.Closed closed -> repeat(closed, now, out);
            case ClaimResult.KeyReused reused ->
                life.refuse(
                        this,
                        ErrorCode.KEY_REUSED,
                        ExecutionStatus.NOT_RUN,
                        "The idempotency key was used with another content; use a new key.",
                        OptionalLong.empty(),
                        now,
                        out);
            case ClaimResult.Unavailable unavailable -> unavailable(unavailable, now, out);
        }
    }

    /** This request was not dispatched, but "not run" speaks of the key, which an earlier request may have used. */
    private void unavailable(ClaimResult.Unavailable unavailable, long now, List<Command> out) {
        boolean neverRun = spec().key().isEmpty() || unavailable.keyUnused();
        refuse(
                ErrorCode.PLATFORM_UNAVAILABLE,
                neverRun ? ExecutionStatus.NOT_RUN : ExecutionStatus.UNKNOWN,
                "No claim could be made (" + unavailable.reason()
                        + "); send the request again with the same key later.",
                now,
                out);
    }

    private void held(ClaimResult.Held held, long now, List<Command> out) {
        if (!life.dependencies().membership().isDead(held.holder())) {
            refuse(
                    ErrorCode.REQUEST_IN_PROGRESS,
                    ExecutionStatus.UNKNOWN,
                    "A request with this key is in progress; repeat it later for its outcome.",
                    now,
                    out);
            return;
        }
        undecidedCode = ErrorCode.OUTCOME_UNKNOWN;
        heldRequest = Optional.of(held.request());
        String why = "the holder of its claim, " + held.holder().value() + ", is dead";
        out.add(RequestTrace.orderInDoubt(spec().id(), why));
        reconcile(targetsOfService(), OptionalLong.of(held.fence() + 1), now, out);
    }

    private void repeat(ClaimResult.Closed closed, long now, List<Command> out) {
        switch (closed.record().executionStatus()) {
            case RAN -> {
                if (closed.response().isPresent()) {
                    life.respond(this, closed.response().get(), now, out);
                    return;
                }
                undecidedCode = ErrorCode.RESUME_UNAVAILABLE;
                undecidedFate = ExecutionStatus.RAN;
                reconcile(targetsOfService(), OptionalLong.empty(), now, out);
            }
            case NOT_RUN ->
                refuse(
                        ErrorCode.TARGET_FAILED,
                        ExecutionStatus.NOT_RUN,
                        "The request with this key was not run; send it again.",
                        now,
                        out);
            default -> {
                neverExecutedDetail = "The targets prove that no request with this key ran; send it with a new key.";
                OptionalLong raised = closed.fence() > 0 ? OptionalLong.of(closed.fence() + 1) : OptionalLong.empty();
                reconcile(targetsOfService(), raised, now, out);
            }
        }
    }

    private List<Target> targetsOfService() {
        return life.dependencies().configuration().targets().stream()
                .filter(candidate -> candidate.service().equals(spec().service()))
                .toList();
    }

    private void dispatch(long now, List<Command> out) {
        if (life.connection().isEmpty()) {
            refuse(ErrorCode.DEADLINE_EXCEEDED, ExecutionStatus.NOT_RUN, "The caller waits no longer.", now, out);
        } else if (dispatcher.poisonState(spec(), now) == PoisonState.POISON) {
            life.refusePoison(this, ExecutionStatus.NOT_RUN, now, out);
        } else if (now - grantedAt > CLAIM_VALIDITY_MILLIS || pauses.pausedSince(claimedAt, now)) {
            refuse(
                    ErrorCode.OVERLOADED,
                    ExecutionStatus.NOT_RUN,
                    "The claim was not used in time; send the request again.",
                    now,
                    out);
        } else if (life.refusedAttempts() >= RequestLifecycle.MAX_REFUSED_ATTEMPTS) {
            refuse(
                    ErrorCode.OVERLOADED,
                    ExecutionStatus.NOT_RUN,
                    "The targets take no work; send it again later.",
                    now,
                    out);
        } else {
            Optional<Target> chosen =
                    dispatcher.chooseTarget(spec(), life.excludedTargets(now), Optional.empty(), "", 0, now);
            if (chosen.isPresent()) {
                call(chosen.get(), now, out);
            } else if (life.dependencies().targets().targets(spec().service()).isEmpty()) {
                refuse(
                        ErrorCode.NO_TARGET,
                        ExecutionStatus.NOT_RUN,
                        "No target is available; send it again later.",
                        now,
                        out);
            }
        }
    }

    private void call(Target chosen, long now, List<Command> out) {
        AttemptId id = life.nextAttempt(chosen);
        attempt = Optional.of(id);
        target = Optional.of(chosen);
        phase = Phase.RUNNING;
        dispatcher.recordStart(id, spec(), chosen, 0, now);
        long timeout = Math.max(1, spec().deadlineMillis() - now);
        out.add(new RequestCommand.CallService(id, chosen, spec(), OptionalLong.of(fence), timeout));
        out.add(RequestTrace.orderDispatched(spec().id(), chosen, fence));
    }

    @Override
    public void onAttemptEvent(RequestEvent.AttemptEvent event, long now, List<Command> out) {
        if (phase == Phase.RUNNING && attempt.isPresent() && attempt.get().equals(event.attempt())) {
            callEvent(event, now, out);
        } else if (phase == Phase.RECONCILING && reconciliation.orElseThrow().isPending(event.attempt())) {
            reconciliationEvent(event, now, out);
        }
    }

    private void callEvent(RequestEvent.AttemptEvent event, long now, List<Command> out) {
        if (event instanceof RequestEvent.ServiceResponded answered) {
            dispatcher.recordTokens(event.attempt(), 1, now);
            dispatcher.recordEnd(event.attempt(), AttemptResult.SUCCEEDED, now);
            life.dependencies().poison().recordCompletion(spec(), now);
            life.respond(this, answered.response(), now, out);
        } else if (event instanceof RequestEvent.AttemptFailed failed) {
            callFailed(failed, now, out);
        }
    }

    private void callFailed(RequestEvent.AttemptFailed failed, long now, List<Command> out) {
        FailureKind kind = failed.kind();
        switch (kind) {
            case NOT_SENT, BUSY, DRAINING -> {
                notRun(now);
                life.exclude(target.orElseThrow().id(), now + BARRED_TARGET_MILLIS);
                target = Optional.empty();
                phase = Phase.WAITING_FOR_TARGET;
                dispatch(now, out);
            }
            case INVALID -> {
                notRun(now);
                String detail = "The target can't run the request: " + failed.detail();
                refuse(ErrorCode.INVALID_REQUEST, ExecutionStatus.NOT_RUN, detail, now, out);
            }
            case FENCED -> {
                notRun(now);
                String detail = "A later request with this key took its place; repeat it for its outcome.";
                refuse(ErrorCode.SUPERSEDED, ExecutionStatus.NOT_RUN, detail, now, out);
            }
            default -> uncertain(kind + " " + failed.detail(), now, out);
        }
    }

    private void notRun(long now) {
        life.recordRefusedAttempt();
        dispatcher.recordEnd(attempt.orElseThrow(), AttemptResult.FAILED, now);
        attempt = Optional.empty();
    }

    /** The call may have been executed: only the target can tell. */
    private void uncertain(String why, long now, List<Command> out) {
        out.add(RequestTrace.orderInDoubt(spec().id(), why));
        life.recordUncertainAttempt();
        dispatcher.recordLoss(attempt.orElseThrow(), now);
        attempt = Optional.empty();
        // The raised number bars this router's own call, in case it is still on its way to the target.
        reconcile(List.of(target.orElseThrow()), OptionalLong.of(fence + 1), now, out);
    }

    private void reconcile(List<Target> targets, OptionalLong raisedFence, long now, List<Command> out) {
        phase = Phase.RECONCILING;
        reconciliation = Optional.of(new Reconciliation(life, targets, raisedFence, now));
        reconciliation.get().sendDueQueries(now, out);
        settle(now, out);
    }

    private void reconciliationEvent(RequestEvent.AttemptEvent event, long now, List<Command> out) {
        Reconciliation current = reconciliation.orElseThrow();
        if (event instanceof RequestEvent.Reconciled reconciled) {
            current.onKeyUnknown(event.attempt());
            Optional<ServiceResponse> response = reconciled.response();
            if (response.isPresent()) {
                current.cancel(out);
                out.add(RequestTrace.orderReconciled(spec().id(), ExecutionStatus.RAN));
                life.respond(this, response.get(), now, out);
                return;
            }
        } else if (event instanceof RequestEvent.AttemptFailed failed) {
            current.onQueryFailed(failed, now);
        }
        settle(now, out);
    }

    private void settle(long now, List<Command> out) {
        Reconciliation current = reconciliation.orElseThrow();
        switch (current.state(now)) {
            case PENDING -> {}
            case NEVER_EXECUTED -> {
                out.add(RequestTrace.orderReconciled(spec().id(), ExecutionStatus.NOT_RUN));
                // Closing the dead router's request frees the key, so that the caller's repeat can be executed.
                heldRequest.ifPresent(held ->
                        UnservedRequestRecorder.closeNeverExecuted(life.dependencies(), spec(), held, now, out));
                refuse(ErrorCode.TARGET_FAILED, ExecutionStatus.NOT_RUN, neverExecutedDetail, now, out);
            }
            default -> {
                current.cancel(out);
                if (undecidedFate == ExecutionStatus.UNKNOWN) {
                    out.add(RequestTrace.orderInDoubt(spec().id(), "the targets did not settle it"));
                }
                String detail = undecidedFate == ExecutionStatus.RAN
                        ? "The request ran, but its answer was not stored; ask the service for it."
                        : "It is unknown whether the request ran; ask the service before sending it with a new key.";
                refuse(undecidedCode, undecidedFate, detail, now, out);
            }
        }
    }

    @Override
    public void onTick(long now, List<Command> out) {
        boolean late = now >= spec().deadlineMillis();
        switch (phase) {
            case QUEUED -> {
                if (late) {
                    refuse(
                            ErrorCode.DEADLINE_EXCEEDED,
                            ExecutionStatus.NOT_RUN,
                            "The deadline passed; allow more.",
                            now,
                            out);
                }
            }
            case WAITING_FOR_TARGET -> {
                if (late) {
                    refuse(
                            ErrorCode.DEADLINE_EXCEEDED,
                            ExecutionStatus.NOT_RUN,
                            "The deadline passed; allow more.",
                            now,
                            out);
                } else {
                    dispatch(now, out);
                }
            }
            case CLAIMING -> tellLate(late, out);
            case RUNNING -> {
                tellLate(late, out);
                if (now >= spec().deadlineMillis() + TIMEOUT_REPORT_MILLIS) {
                    out.add(new RequestCommand.CancelAttempt(attempt.orElseThrow(), target.orElseThrow()));
                    uncertain("the call did not end at its deadline", now, out);
                }
            }
            default -> {
                tellLate(late, out);
                reconciliation.orElseThrow().sendDueQueries(now, out);
                settle(now, out);
            }
        }
    }

    /** Answers the caller at the deadline; the record follows when the fate is known. */
    private void tellLate(boolean late, List<Command> out) {
        if (late) {
            life.sendRefusal(
                    ErrorCode.DEADLINE_EXCEEDED,
                    ExecutionStatus.UNKNOWN,
                    "The deadline passed before the outcome was known; repeat the request with its key.",
                    OptionalLong.of(RequestLifecycle.DEFAULT_RETRY_AFTER_MILLIS),
                    out);
        }
    }

    @Override
    public void onClientDisconnected(long now, List<Command> out) {
        life.disconnect();
        // A claim that is asked for or used runs to its end, so that a repeat of the key learns the outcome.
        if (phase == Phase.QUEUED || phase == Phase.WAITING_FOR_TARGET) {
            life.abandon(this, ExecutionStatus.NOT_RUN, now, out);
        }
    }

    /** Continues with a caller that came back while its request is in progress here. */
    void onClientReconnected(RequestId connection) {
        life.connect(connection);
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
        // The claim names this router alone, so no other router can carry the call on.
    }

    private void refuse(ErrorCode code, ExecutionStatus fate, String detail, long now, List<Command> out) {
        refuse(code, fate, detail, RequestLifecycle.DEFAULT_RETRY_AFTER_MILLIS, now, out);
    }

    private void refuse(
            ErrorCode code, ExecutionStatus fate, String detail, long retryAfterMillis, long now, List<Command> out) {
        life.refuse(this, code, fate, detail, OptionalLong.of(retryAfterMillis), now, out);
    }

    @Override
    public RequestLifecycle lifecycle() {
        return life;
    }

    @Override
    public Checkpoint checkpoint() {
        return new Checkpoint(
                spec(),
                life.dependencies().membership().self().host(),
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
