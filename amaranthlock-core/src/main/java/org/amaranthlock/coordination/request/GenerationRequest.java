package org.amaranthlock.coordination.request;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.coordination.RequestCommand;
import org.amaranthlock.coordination.RequestEvent;
import org.amaranthlock.coordination.RequestEvent.FailureKind;
import org.amaranthlock.coordination.poison.PoisonRegistry.PoisonState;
import org.amaranthlock.coordination.routing.TargetSelector.AttemptResult;
import org.amaranthlock.model.AttemptId;
import org.amaranthlock.model.Capability;
import org.amaranthlock.model.ErrorCode;
import org.amaranthlock.model.ExecutionStatus;
import org.amaranthlock.model.ProfileKind;
import org.amaranthlock.model.RequestId;
import org.amaranthlock.model.RequestSpec;
import org.amaranthlock.model.Target;
import org.amaranthlock.model.Work;
import org.amaranthlock.protocol.peer.Checkpoint;

/** Life of a generation: attempts whose tokens form one answer without gaps or repeats. */
final class GenerationRequest implements OpenRequest {
    /** Time that a kept-alive generation runs on without its caller. */
    static final long CLIENT_RETURN_MILLIS = 30_000;

    /** Longest gap of the output that a resume may cause. */
    static final long RESUME_WAIT_MILLIS = 6000;

    /** A lost target gets no attempt of the same request for this time. */
    static final long LOST_TARGET_MILLIS = 5000;

    /** Pause before a busy target is asked again when it names none. */
    private static final long BUSY_TARGET_MILLIS = 200;

    /** Attempt numbers left free at a takeover for attempts of a paused former owner that no checkpoint shows. */
    private static final int TAKEOVER_NUMBERS = 16;

    /** A stream that runs this many times slower than the median target's is moved; batching alone stays below it. */
    private static final double MOVE_SLOWNESS = 2.5;

    /** Moves of one request, so that changing speeds cannot keep it reading its prompt. */
    private static final int MAX_MOVES = 2;

    /** Resumes run before new work, whose callers have seen no output stop. */
    private static final int RESUME_PRIORITY_BOOST = 1000;

    private enum Phase {
        QUEUED,
        WAITING_FOR_TARGET,
        RUNNING,
        /** The answer is whole, but the caller has not returned for the rest of it. */
        COMPLETE
    }

    private final RequestLifecycle life;
    private final Dispatcher dispatcher;
    private final Work.Generation work;
    private final List<String> tokens = new ArrayList<>();
    private final List<String> tokensView = Collections.unmodifiableList(tokens);
    private final Map<Integer, Target> formerAttempts = new HashMap<>();
    private Phase phase = Phase.QUEUED;
    private Optional<ActiveStream> stream = Optional.empty();
    private Optional<Target> lostTarget = Optional.empty();
    private String version = "";
    private String endReason = "";
    private int nextDelivery;
    private int moves;
    private long waitingSince;
    private long goneAt;

    GenerationRequest(
            RequestDependencies services,
            Dispatcher dispatcher,
            RequestSpec spec,
            Optional<RequestId> connection,
            long now) {
        this.life = new RequestLifecycle(services, spec, connection);
        this.dispatcher = dispatcher;
        this.work = (Work.Generation) spec.work();
        this.goneAt = now;
        this.waitingSince = now;
    }

    @Override
    public void start(long now, List<Command> out) {
        life.start(this, dispatcher, () -> dispatch(now, out), now, out);
    }

    /** Carries on a request that another router served, from its checkpoint. */
    void resumeFrom(Checkpoint checkpoint, int resumeAt, long now, List<Command> out) {
        tokens.addAll(checkpoint.tokens());
        version = checkpoint.version();
        nextDelivery = resumeAt;
        checkpoint
                .attempt()
                .ifPresent(attempt -> life.continueNumberingAfter(
                        attempt.number(), checkpoint.target().orElseThrow()));
        out.addAll(life.dependencies().checkpoints().open(this, now));
        life.skipAttempts(TAKEOVER_NUMBERS);
        out.add(RequestTrace.takenOver(spec().id(), checkpoint.owner(), tokens.size()));
        deliver(out);
        Optional<Target> target =
                checkpoint.target().flatMap(id -> life.dependencies().targets().target(id));
        if (target.isPresent() && target.get().supports(Capability.ATTACH)) {
            attach(checkpoint.attempt().orElseThrow(), target.get(), now, out);
        } else {
            target.ifPresent(old -> out.add(
                    new RequestCommand.CancelAttempt(checkpoint.attempt().orElseThrow(), old)));
            dispatch(now, out);
        }
    }

    private void attach(AttemptId attempt, Target target, long now, List<Command> out) {
        // Attaching at the end of the checkpoint, not at the caller's position, keeps the prefix for a resume whole.
        double pace = life.dependencies().selector().expectedTokenLatencyMillis(target.id());
        ActiveStream attached =
                new ActiveStream(attempt, target, tokens.size(), pace, StallDetector.FIRST_TOKEN_SLACK_MILLIS, now);
        stream = Optional.of(attached);
        phase = Phase.RUNNING;
        dispatcher.recordStart(attempt, spec(), target, 0, now);
        out.add(new RequestCommand.AttachStream(attempt, target, tokens.size()));
        out.add(RequestTrace.resumedByAttaching(spec().id(), target, tokens.size()));
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
            life.refusePoison(this, fate(), now, out);
        } else if (tokens.size() >= work.maxTokens()) {
            ended("length", now, out);
        } else if (nextDelivery > tokens.size()) {
            // The caller holds tokens that this router lacks; a new attempt could continue them differently.
            refuse(
                    ErrorCode.RESUME_UNAVAILABLE,
                    "The end of the answer sent so far was lost with its engine and router; send the request anew.",
                    now,
                    out);
        } else if (life.attemptsExhausted()) {
            refuse(ErrorCode.TARGET_FAILED, "All allowed attempts failed; send the request again later.", now, out);
        } else {
            tryDispatch(now, out);
        }
    }

    private void tryDispatch(long now, List<Command> out) {
        Optional<Target> target =
                dispatcher.chooseTarget(spec(), life.excludedTargets(now), lostTarget, version, tokens.size(), now);
        if (target.isPresent()) {
            open(target.get(), now, out);
            return;
        }
        long wait = tokens.isEmpty() ? RequestLifecycle.TARGET_WAIT_MILLIS : RESUME_WAIT_MILLIS;
        if (!tokens.isEmpty() && versionGone()) {
            refuse(
                    ErrorCode.MODEL_VERSION_GONE,
                    "No target has the model version that began the answer; send the request anew.",
                    now,
                    out);
        } else if (!tokens.isEmpty() && resumeUnsupported()) {
            refuse(
                    ErrorCode.RESUME_UNAVAILABLE,
                    "No target of the service can go on with a begun answer; send the request anew.",
                    now,
                    out);
        } else if (life.dependencies().targets().targets(spec().service()).isEmpty() || now - waitingSince >= wait) {
            refuse(ErrorCode.NO_TARGET, "No target is available; send the request again later.", now, out);
        }
    }

    private boolean versionGone() {
        return sameVersion().isEmpty();
    }

    private boolean resumeUnsupported() {
        return sameVersion().stream().noneMatch(target -> target.supports(Capability.RESUME));
    }

    private List<Target> sameVersion() {
        return life.dependencies().targets().targets(spec().service()).stream()
                .filter(target -> target.version().equals(version))
                .toList();
    }

    private void open(Target target, long now, List<Command> out) {
        AttemptId attempt = life.nextAttempt(target);
        double pace = life.dependencies().selector().expectedTokenLatencyMillis(target.id());
        double firstToken = life.dependencies().selector().expectedFirstTokenMillis(spec(), target.id(), tokens.size());
        long bound = StallDetector.FIRST_TOKEN_SLACK_MILLIS + (long) Math.ceil(firstToken);
        stream = Optional.of(new ActiveStream(attempt, target, tokens.size(), pace, bound, now));
        phase = Phase.RUNNING;
        dispatcher.recordStart(attempt, spec(), target, tokens.size(), now);
        int boost = tokens.isEmpty() ? 0 : RESUME_PRIORITY_BOOST;
        out.add(new RequestCommand.OpenStream(
                attempt, target, spec(), tokens, spec().profile().priority() + boost));
        out.add(RequestTrace.attemptStarted(spec().id(), attempt.number(), target));
        if (!tokens.isEmpty()) {
            out.add(RequestTrace.resumedByNewAttempt(spec().id(), target, tokens.size()));
        }
    }

    @Override
    public void onAttemptEvent(RequestEvent.AttemptEvent event, long now, List<Command> out) {
        if (stream.isEmpty() || !stream.get().attempt().equals(event.attempt())) {
            dropLate(event, out);
            return;
        }
        switch (event) {
            case RequestEvent.TokensReceived received -> append(stream.get(), received, now, out);
            case RequestEvent.StreamEnded end -> streamEnded(stream.get(), end, now, out);
            case RequestEvent.AttemptFailed failed -> attemptFailed(stream.get(), failed, now, out);
            case RequestEvent.ServiceResponded ignored -> {}
            case RequestEvent.Reconciled ignored -> {}
        }
    }

    private void dropLate(RequestEvent.AttemptEvent event, List<Command> out) {
        if (event instanceof RequestEvent.TokensReceived) {
            Target former = formerAttempts.remove(event.attempt().number());
            if (former != null) {
                out.add(new RequestCommand.CancelAttempt(event.attempt(), former));
            }
        }
    }

    private void append(ActiveStream current, RequestEvent.TokensReceived received, long now, List<Command> out) {
        int position = tokens.size();
        if (received.firstIndex() > position) {
            abandonAttempt(current, "the stream skipped tokens", now, out);
            return;
        }
        int end = received.firstIndex() + received.tokens().size();
        int repeatedEnd = Math.min(end, current.startPosition());
        life.addRecomputedTokens(Math.max(0, repeatedEnd - received.firstIndex()));
        int usable = Math.min(end, work.maxTokens());
        if (usable <= position) {
            return;
        }
        List<String> fresh =
                received.tokens().subList(position - received.firstIndex(), usable - received.firstIndex());
        if (tokens.isEmpty()) {
            version = current.target().version();
        }
        tokens.addAll(fresh);
        current.recordTokens(fresh.size(), now);
        dispatcher.recordTokens(current.attempt(), fresh.size(), now);
        life.recordProgress(fresh.size(), now);
        out.addAll(life.dependencies().checkpoints().replicateTokens(this, now));
        deliver(out);
    }

    private void deliver(List<Command> out) {
        if (life.connection().isPresent() && nextDelivery < tokens.size()) {
            List<String> chunk = tokens.subList(nextDelivery, tokens.size());
            out.add(new RequestCommand.DeliverTokens(life.connection().get(), spec().id(), nextDelivery, chunk));
            life.addDeliveredTokens(chunk.size());
            nextDelivery = tokens.size();
        }
    }

    private void streamEnded(ActiveStream current, RequestEvent.StreamEnded end, long now, List<Command> out) {
        if (end.tokenCount() != tokens.size()) {
            abandonAttempt(current, "the stream ended with another number of tokens", now, out);
            return;
        }
        dispatcher.recordEnd(current.attempt(), AttemptResult.SUCCEEDED, now);
        stream = Optional.empty();
        life.dependencies().poison().recordCompletion(spec(), now);
        ended(end.reason(), now, out);
    }

    private void ended(String reason, long now, List<Command> out) {
        endReason = reason;
        phase = Phase.COMPLETE;
        if (life.connection().isEmpty()) {
            life.releaseAdmission(true, now);
            return;
        }
        if (nextDelivery > tokens.size()) {
            refuse(
                    ErrorCode.RESUME_UNAVAILABLE,
                    "The answer ended before the position in Last-Event-ID; send the request anew.",
                    now,
                    out);
            return;
        }
        life.complete(this, reason, now, out);
    }

    private void attemptFailed(ActiveStream current, RequestEvent.AttemptFailed failed, long now, List<Command> out) {
        FailureKind kind = failed.kind();
        if (kind == FailureKind.STREAM_GONE) {
            streamGone(current, now, out);
            return;
        }
        if (!kind.isDefinitelyNotRun() || current.hasTokens()) {
            abandonAttempt(current, reason(failed), now, out);
            return;
        }
        dispatcher.recordEnd(current.attempt(), AttemptResult.FAILED, now);
        stream = Optional.empty();
        traceLost(current, reason(failed), out);
        life.recordRefusedAttempt();
        if (kind == FailureKind.INVALID) {
            refuse(ErrorCode.INVALID_REQUEST, "The target can't run the request: " + failed.detail(), now, out);
            return;
        }
        long pause = kind == FailureKind.BUSY ? BUSY_TARGET_MILLIS : LOST_TARGET_MILLIS;
        life.exclude(current.target().id(), now + failed.retryAfterMillis().orElse(pause));
        if (kind == FailureKind.BUSY && !mayRetry(now)) {
            long retryAfter = failed.retryAfterMillis().orElse(RequestLifecycle.RETRY_AFTER_MILLIS);
            refuse(ErrorCode.OVERLOADED, "The targets are busy; send the request again later.", retryAfter, now, out);
            return;
        }
        dispatch(now, out);
    }

    /** A target that does not know the stream is healthy and may take the resume itself. */
    private void streamGone(ActiveStream current, long now, List<Command> out) {
        dispatcher.recordEnd(current.attempt(), AttemptResult.FAILED, now);
        stream = Optional.empty();
        traceLost(current, "the target does not know the stream", out);
        life.recordUncertainAttempt();
        dispatch(now, out);
    }

    /** Ends the present attempt without its end event and resumes the answer elsewhere. */
    void abandonAttempt(ActiveStream current, String why, long now, List<Command> out) {
        traceLost(current, why, out);
        out.add(new RequestCommand.CancelAttempt(current.attempt(), current.target()));
        formerAttempts.put(current.attempt().number(), current.target());
        dispatcher.lost(current.attempt(), now);
        stream = Optional.empty();
        lostTarget = Optional.of(current.target());
        life.recordUncertainAttempt();
        life.exclude(current.target().id(), now + LOST_TARGET_MILLIS);
        if (!mayRetry(now)) {
            refuse(ErrorCode.TARGET_FAILED, "The target failed and the retry budget is spent; retry later.", now, out);
            return;
        }
        dispatch(now, out);
    }

    /** Continues an answer elsewhere if its target has become much slower than the others and another is free. */
    void migrateIfSlow(long now, List<Command> out) {
        if (stream.isEmpty() || moves >= MAX_MOVES || spec().profile().kind() != ProfileKind.KEPT_ALIVE) {
            return;
        }
        ActiveStream current = stream.get();
        double usual = life.dependencies().selector().medianTokenLatencyMillis(spec().service(), now);
        if (current.recentTokenLatencyMillis() <= MOVE_SLOWNESS * usual
                || life.executedAttempts() + 1 >= spec().profile().maxAttempts()) {
            return;
        }
        life.exclude(current.target().id(), now + LOST_TARGET_MILLIS);
        dispatcher
                .chooseTarget(spec(), life.excludedTargets(now), Optional.empty(), version, tokens.size(), now)
                .filter(target -> life.dependencies().selector().expectedTokenLatencyMillis(target.id())
                        < current.recentTokenLatencyMillis() / MOVE_SLOWNESS)
                .ifPresent(target -> {
                    moves++;
                    cancel(now, out);
                    formerAttempts.put(current.attempt().number(), current.target());
                    open(target, now, out);
                });
    }

    private void traceLost(ActiveStream current, String why, List<Command> out) {
        int number = current.attempt().number();
        out.add(RequestTrace.attemptLost(spec().id(), number, current.target(), tokens.size(), why));
    }

    private static String reason(RequestEvent.AttemptFailed failed) {
        return failed.kind() + " " + failed.detail();
    }

    /** A begun answer is resumed always; a repeat from the start takes from the service's budget. */
    private boolean mayRetry(long now) {
        return !tokens.isEmpty() || life.dependencies().admission().tryAcquireRetry(spec(), now);
    }

    @Override
    public void onTick(long now, List<Command> out) {
        if (now >= spec().deadlineMillis() && phase != Phase.COMPLETE) {
            refuse(ErrorCode.DEADLINE_EXCEEDED, "The deadline passed; allow more time or send less work.", now, out);
        } else if (life.connection().isEmpty() && now - goneAt >= CLIENT_RETURN_MILLIS) {
            cancel(now, out);
            life.abandon(this, fate(), now, out);
        } else if (phase == Phase.WAITING_FOR_TARGET) {
            dispatch(now, out);
        }
    }

    @Override
    public void onClientDisconnected(long now, List<Command> out) {
        life.disconnect();
        goneAt = now;
        if (!isKeptAlive()) {
            cancel(now, out);
            life.abandon(this, fate(), now, out);
        }
    }

    /** Continues with a caller that came back on this router. */
    void onClientReconnected(RequestId connection, int resumeAt, long now, List<Command> out) {
        life.connection()
                .filter(old -> !old.equals(connection))
                .ifPresent(old -> out.add(new RequestCommand.Supersede(old)));
        life.connect(connection);
        nextDelivery = resumeAt;
        deliver(out);
        if (phase == Phase.COMPLETE) {
            ended(endReason, now, out);
        }
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
        // The stream goes on at the engine, where the new owner attaches to it or cancels it.
        stream.ifPresent(current -> dispatcher.recordEnd(current.attempt(), AttemptResult.CANCELLED, now));
        stream = Optional.empty();
        life.handOver(this, now, out);
    }

    private void cancel(long now, List<Command> out) {
        if (stream.isPresent()) {
            ActiveStream current = stream.get();
            out.add(new RequestCommand.CancelAttempt(current.attempt(), current.target()));
            dispatcher.recordEnd(current.attempt(), AttemptResult.CANCELLED, now);
            life.recordUncertainAttempt();
            stream = Optional.empty();
        }
    }

    private ExecutionStatus fate() {
        // A caller that holds tokens proves the execution, also when this router has none of them.
        if (!tokens.isEmpty() || nextDelivery > 0) {
            return ExecutionStatus.RAN;
        }
        return life.uncertain() || stream.isPresent() ? ExecutionStatus.UNKNOWN : ExecutionStatus.NOT_RUN;
    }

    private void refuse(ErrorCode code, String detail, long now, List<Command> out) {
        refuse(code, detail, RequestLifecycle.RETRY_AFTER_MILLIS, now, out);
    }

    private void refuse(ErrorCode code, String detail, long retryAfterMillis, long now, List<Command> out) {
        cancel(now, out);
        life.refuse(this, code, fate(), detail, OptionalLong.of(retryAfterMillis), now, out);
    }

    Optional<ActiveStream> stream() {
        return stream;
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
                attempt(),
                target().map(Target::id),
                version,
                tokens);
    }

    @Override
    public boolean isKeptAlive() {
        return spec().profile().kind() != ProfileKind.RETRIABLE;
    }

    @Override
    public Optional<AttemptId> attempt() {
        return stream.map(ActiveStream::attempt);
    }

    @Override
    public Optional<Target> target() {
        return stream.map(ActiveStream::target);
    }

    @Override
    public List<String> tokens() {
        return tokensView;
    }
}
