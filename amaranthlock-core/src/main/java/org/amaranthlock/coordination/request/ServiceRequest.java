package org.amaranthlock.coordination.request;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.coordination.RequestCommand;
import org.amaranthlock.coordination.RequestEvent;
import org.amaranthlock.coordination.RequestEvent.FailureKind;
import org.amaranthlock.coordination.admission.AdmissionDecision;
import org.amaranthlock.coordination.poison.PoisonRegistry.Standing;
import org.amaranthlock.coordination.routing.TargetSelector.AttemptResult;
import org.amaranthlock.model.AttemptId;
import org.amaranthlock.model.ErrorCode;
import org.amaranthlock.model.Fate;
import org.amaranthlock.model.RequestId;
import org.amaranthlock.model.RequestSpec;
import org.amaranthlock.model.Target;
import org.amaranthlock.protocol.peer.Checkpoint;

/** Life of a call of a plain service that may be executed more than once. */
final class ServiceRequest implements OpenRequest {
    private static final long LOST_TARGET_MILLIS = 5000;
    private static final long BUSY_TARGET_MILLIS = 200;

    private enum Phase {
        QUEUED,
        WAITING_FOR_TARGET,
        RUNNING
    }

    private final RequestLife life;
    private final Dispatcher dispatcher;
    private Phase phase = Phase.QUEUED;
    private Optional<AttemptId> attempt = Optional.empty();
    private Optional<Target> target = Optional.empty();
    private Optional<Target> lostTarget = Optional.empty();
    private long waitingSince;

    ServiceRequest(RequestServices services, Dispatcher dispatcher, RequestSpec spec) {
        this.life = new RequestLife(services, spec, Optional.of(spec.id()));
        this.dispatcher = dispatcher;
    }

    @Override
    public void begin(long now, List<Command> out) {
        if (dispatcher.standing(spec(), now) == Standing.CONDEMNED) {
            refusePoison(now, out);
            return;
        }
        switch (life.admit(now)) {
            case AdmissionDecision.Admitted admitted -> {
                out.addAll(life.services().checkpoints().opened(this, now));
                dispatch(now, out);
            }
            case AdmissionDecision.Queued queued ->
                out.addAll(life.services().checkpoints().opened(this, now));
            case AdmissionDecision.Refused refused ->
                refuse(refused.code(), refused.detail(), refused.retryAfterMillis(), now, out);
        }
    }

    @Override
    public void released(long now, List<Command> out) {
        if (phase == Phase.QUEUED) {
            dispatch(now, out);
        }
    }

    private void dispatch(long now, List<Command> out) {
        if (phase != Phase.WAITING_FOR_TARGET) {
            phase = Phase.WAITING_FOR_TARGET;
            waitingSince = now;
        }
        if (dispatcher.standing(spec(), now) == Standing.CONDEMNED) {
            refusePoison(now, out);
            return;
        }
        if (life.executedAttempts() >= spec().profile().maxAttempts()
                || life.refusedAttempts() >= RequestLife.MAX_REFUSED_ATTEMPTS) {
            refuse(ErrorCode.TARGET_FAILED, "All allowed attempts failed; send the request again later.", now, out);
            return;
        }
        Optional<Target> chosen = dispatcher.choose(spec(), life.barred(now), lostTarget, "", 0, now);
        if (chosen.isPresent()) {
            call(chosen.get(), now, out);
        } else if (life.services().targets().targets(spec().service()).isEmpty()
                || now - waitingSince >= RequestLife.TARGET_WAIT_MILLIS) {
            refuse(ErrorCode.NO_TARGET, "No target is available; send the request again later.", now, out);
        }
    }

    private void call(Target chosen, long now, List<Command> out) {
        AttemptId id = life.nextAttempt(chosen);
        attempt = Optional.of(id);
        target = Optional.of(chosen);
        phase = Phase.RUNNING;
        dispatcher.started(id, spec(), chosen, 0, now);
        long timeout = Math.max(1, spec().deadlineMillis() - now);
        out.add(new RequestCommand.CallService(id, chosen, spec(), OptionalLong.empty(), timeout));
        out.add(RequestTrace.attemptStarted(spec().id(), id.number(), chosen));
    }

    @Override
    public void attemptEvent(RequestEvent.OfAttempt event, long now, List<Command> out) {
        if (attempt.isEmpty() || !attempt.get().equals(event.attempt())) {
            return;
        }
        if (event instanceof RequestEvent.ServiceAnswered answered) {
            dispatcher.progressed(event.attempt(), 1, now);
            dispatcher.ended(event.attempt(), AttemptResult.SUCCEEDED, now);
            attempt = Optional.empty();
            life.services().poison().completed(spec(), now);
            life.answer(this, answered.response(), now, out);
        } else if (event instanceof RequestEvent.AttemptFailed failed) {
            attemptFailed(failed, now, out);
        }
    }

    private void attemptFailed(RequestEvent.AttemptFailed failed, long now, List<Command> out) {
        FailureKind kind = failed.kind();
        Target failedTarget = target.orElseThrow();
        attempt = Optional.empty();
        target = Optional.empty();
        String why = kind + " " + failed.detail();
        out.add(RequestTrace.attemptLost(spec().id(), failed.attempt().number(), failedTarget, 0, why));
        long pause = kind == FailureKind.BUSY ? BUSY_TARGET_MILLIS : LOST_TARGET_MILLIS;
        life.bar(failedTarget.id(), now + failed.retryAfterMillis().orElse(pause));
        if (kind.certainlyNotRun()) {
            life.attemptNotRun();
            dispatcher.ended(failed.attempt(), AttemptResult.FAILED, now);
        } else {
            life.attemptUncertain();
            dispatcher.lost(failed.attempt(), now);
            lostTarget = Optional.of(failedTarget);
        }
        boolean free = kind == FailureKind.NOT_SENT || kind == FailureKind.DRAINING;
        if (kind == FailureKind.INVALID) {
            refuse(ErrorCode.INVALID_REQUEST, "The target can't run the request: " + failed.detail(), now, out);
        } else if (free || life.services().admission().tryRetry(spec(), now)) {
            dispatch(now, out);
        } else {
            ErrorCode code = kind == FailureKind.BUSY ? ErrorCode.OVERLOADED : ErrorCode.TARGET_FAILED;
            refuse(code, "The target failed and the retry budget is spent; send the request again later.", now, out);
        }
    }

    @Override
    public void tick(long now, List<Command> out) {
        if (now >= spec().deadlineMillis()) {
            refuse(ErrorCode.DEADLINE_EXCEEDED, "The deadline passed; allow more time or send less work.", now, out);
        } else if (phase == Phase.WAITING_FOR_TARGET) {
            dispatch(now, out);
        }
    }

    @Override
    public void callerGone(long now, List<Command> out) {
        life.disconnect();
        cancel(now, out);
        life.abandon(this, fate(), now, out);
    }

    @Override
    public void expired(long now, List<Command> out) {
        refuse(
                ErrorCode.DEADLINE_UNREACHABLE,
                "The request can't finish before its deadline; send it again later.",
                now,
                out);
    }

    @Override
    public void takenOver(long now, List<Command> out) {
        cancel(now, out);
        life.abandonTo(this, now, out);
    }

    private void cancel(long now, List<Command> out) {
        if (attempt.isPresent()) {
            out.add(new RequestCommand.CancelAttempt(attempt.get(), target.orElseThrow()));
            dispatcher.ended(attempt.get(), AttemptResult.CANCELLED, now);
            life.attemptUncertain();
            attempt = Optional.empty();
            target = Optional.empty();
        }
    }

    private Fate fate() {
        return life.uncertain() || attempt.isPresent() ? Fate.UNKNOWN : Fate.NOT_RUN;
    }

    private void refusePoison(long now, List<Command> out) {
        life.refuse(
                this,
                ErrorCode.POISON_REQUEST,
                fate(),
                "Targets that ran this request crashed; change the request before sending it again.",
                OptionalLong.empty(),
                now,
                out);
    }

    private void refuse(ErrorCode code, String detail, long now, List<Command> out) {
        refuse(code, detail, RequestLife.RETRY_AFTER_MILLIS, now, out);
    }

    private void refuse(ErrorCode code, String detail, long retryAfterMillis, long now, List<Command> out) {
        cancel(now, out);
        life.refuse(this, code, fate(), detail, OptionalLong.of(retryAfterMillis), now, out);
    }

    @Override
    public RequestSpec spec() {
        return life.spec();
    }

    @Override
    public Optional<RequestId> connection() {
        return life.connection();
    }

    @Override
    public boolean closed() {
        return life.closed();
    }

    @Override
    public Checkpoint checkpoint() {
        return new Checkpoint(
                spec(), life.services().membership().self().host(), attempt, target.map(Target::id), "", List.of());
    }

    @Override
    public boolean keptAlive() {
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
