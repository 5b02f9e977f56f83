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
import org.amaranthlock.model.RequestSpec;
import org.amaranthlock.model.Target;
import org.amaranthlock.protocol.peer.Checkpoint;

/** State machine of a service call that may be executed more than once. */
final class ServiceRequest implements OpenRequest {
    /** Time for which a failed target is excluded for the same request if it does not state a retry time. */
    private static final long FAILED_TARGET_EXCLUSION_MILLIS = 5000;

    /** Time for which a busy target is excluded if it does not state a retry time. */
    private static final long BUSY_TARGET_EXCLUSION_MILLIS = 200;

    private enum Phase {
        QUEUED,
        WAITING_FOR_TARGET,
        RUNNING
    }

    private final RequestLifecycle requestLifecycle;
    private final Dispatcher dispatcher;
    private Phase phase = Phase.QUEUED;
    private Optional<AttemptId> attempt = Optional.empty();
    private Optional<Target> target = Optional.empty();
    private Optional<Target> lostTarget = Optional.empty();
    private long waitingSince;

    ServiceRequest(RequestDependencies dependencies, Dispatcher dispatcher, RequestSpec spec) {
        this.requestLifecycle = new RequestLifecycle(dependencies, spec, Optional.of(spec.id()));
        this.dispatcher = dispatcher;
    }

    @Override
    public void start(long now, List<Command> out) {
        requestLifecycle.start(this, dispatcher, () -> dispatch(now, out), now, out);
    }

    @Override
    public void onAdmissionGranted(long now, List<Command> out) {
        if (phase == Phase.QUEUED) {
            dispatch(now, out);
        }
    }

    private void dispatch(long now, List<Command> out) {
        if (phase != Phase.WAITING_FOR_TARGET) {
            phase = Phase.WAITING_FOR_TARGET;
            waitingSince = now;
        }
        if (dispatcher.poisonState(spec(), now) == PoisonState.POISON) {
            requestLifecycle.refusePoison(this, executionStatus(), now, out);
            return;
        }
        if (requestLifecycle.attemptsExhausted()) {
            refuse(ErrorCode.TARGET_FAILED, "All allowed attempts failed; send the request again later.", now, out);
            return;
        }
        Optional<Target> chosen =
                dispatcher.chooseTarget(spec(), requestLifecycle.excludedTargets(now), lostTarget, "", 0, now);
        if (chosen.isPresent()) {
            callTarget(chosen.get(), now, out);
        } else if (requestLifecycle
                        .dependencies()
                        .targets()
                        .targets(spec().service())
                        .isEmpty()
                || now - waitingSince >= RequestLifecycle.TARGET_WAIT_TIMEOUT_MILLIS) {
            refuse(ErrorCode.NO_TARGET, "No target is available; send the request again later.", now, out);
        }
    }

    private void callTarget(Target chosen, long now, List<Command> out) {
        AttemptId id = requestLifecycle.nextAttempt(chosen);
        attempt = Optional.of(id);
        target = Optional.of(chosen);
        phase = Phase.RUNNING;
        dispatcher.recordStart(id, spec(), chosen, 0, now);
        long timeout = Math.max(1, spec().deadlineMillis() - now);
        out.add(new RequestCommand.CallService(id, chosen, spec(), OptionalLong.empty(), timeout));
        out.add(RequestTrace.attemptStarted(spec().id(), id.number(), chosen));
    }

    @Override
    public void onAttemptEvent(RequestEvent.AttemptEvent event, long now, List<Command> out) {
        if (attempt.isEmpty() || !attempt.get().equals(event.attempt())) {
            return;
        }
        if (event instanceof RequestEvent.ServiceResponded responded) {
            dispatcher.recordTokens(event.attempt(), 1, now);
            dispatcher.recordEnd(event.attempt(), AttemptResult.SUCCEEDED, now);
            attempt = Optional.empty();
            requestLifecycle.dependencies().poison().recordCompletion(spec(), now);
            requestLifecycle.respond(this, responded.response(), now, out);
        } else if (event instanceof RequestEvent.AttemptFailed failed) {
            onAttemptFailed(failed, now, out);
        }
    }

    private void onAttemptFailed(RequestEvent.AttemptFailed failed, long now, List<Command> out) {
        FailureKind kind = failed.kind();
        Target failedTarget = target.orElseThrow();
        attempt = Optional.empty();
        target = Optional.empty();
        String cause = kind + " " + failed.detail();
        out.add(RequestTrace.attemptLost(spec().id(), failed.attempt().number(), failedTarget, 0, cause));
        long exclusionMillis = kind == FailureKind.BUSY ? BUSY_TARGET_EXCLUSION_MILLIS : FAILED_TARGET_EXCLUSION_MILLIS;
        requestLifecycle.exclude(
                failedTarget.id(), now + failed.retryAfterMillis().orElse(exclusionMillis));
        if (kind.isDefinitelyNotRun()) {
            requestLifecycle.recordRefusedAttempt();
            dispatcher.recordEnd(failed.attempt(), AttemptResult.FAILED, now);
        } else {
            requestLifecycle.recordUncertainAttempt();
            dispatcher.recordLoss(failed.attempt(), now);
            lostTarget = Optional.of(failedTarget);
        }
        // An attempt that was not sent or that a draining target refused puts no load on the service.
        boolean retryIsFree = kind == FailureKind.NOT_SENT || kind == FailureKind.DRAINING;
        if (kind == FailureKind.INVALID) {
            refuse(ErrorCode.INVALID_REQUEST, "The target can't run the request: " + failed.detail(), now, out);
        } else if (retryIsFree || requestLifecycle.dependencies().admission().tryAcquireRetry(spec(), now)) {
            dispatch(now, out);
        } else {
            ErrorCode code = kind == FailureKind.BUSY ? ErrorCode.OVERLOADED : ErrorCode.TARGET_FAILED;
            refuse(
                    code,
                    "The target failed and the retry budget is exhausted; send the request again later.",
                    now,
                    out);
        }
    }

    @Override
    public void onTick(long now, List<Command> out) {
        if (now >= spec().deadlineMillis()) {
            refuse(ErrorCode.DEADLINE_EXCEEDED, "The deadline passed; allow more time or send less work.", now, out);
        } else if (phase == Phase.WAITING_FOR_TARGET) {
            dispatch(now, out);
        }
    }

    @Override
    public void onClientDisconnected(long now, List<Command> out) {
        requestLifecycle.disconnect();
        cancel(now, out);
        requestLifecycle.abandon(this, executionStatus(), now, out);
    }

    @Override
    public void onQueueTimeout(long now, List<Command> out) {
        refuse(
                ErrorCode.DEADLINE_UNREACHABLE,
                "The request can't finish before its deadline; send it again later.",
                now,
                out);
    }

    @Override
    public void onTakenOver(long now, List<Command> out) {
        cancel(now, out);
        requestLifecycle.handOver(this, now, out);
    }

    private void cancel(long now, List<Command> out) {
        if (attempt.isPresent()) {
            out.add(new RequestCommand.CancelAttempt(attempt.get(), target.orElseThrow()));
            dispatcher.recordEnd(attempt.get(), AttemptResult.CANCELLED, now);
            requestLifecycle.recordUncertainAttempt();
            attempt = Optional.empty();
            target = Optional.empty();
        }
    }

    private ExecutionStatus executionStatus() {
        return requestLifecycle.hasUncertainAttempt() || attempt.isPresent()
                ? ExecutionStatus.UNKNOWN
                : ExecutionStatus.NOT_RUN;
    }

    private void refuse(ErrorCode code, String detail, long now, List<Command> out) {
        refuse(code, detail, RequestLifecycle.DEFAULT_RETRY_AFTER_MILLIS, now, out);
    }

    private void refuse(ErrorCode code, String detail, long retryAfterMillis, long now, List<Command> out) {
        cancel(now, out);
        requestLifecycle.refuse(this, code, executionStatus(), detail, OptionalLong.of(retryAfterMillis), now, out);
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
                target.map(Target::id),
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
        return target;
    }

    @Override
    public List<String> tokens() {
        return List.of();
    }
}
