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

/** State machine of a generation, whose attempts together yield one response without missing or duplicate tokens. */
final class GenerationRequest implements OpenRequest {
    /** Time that a kept-alive generation continues without a connected client. */
    static final long CLIENT_RECONNECT_TIMEOUT_MILLIS = 30_000;

    /** Time to wait for a target that can resume a response; the output may be interrupted no longer than this. */
    static final long RESUME_TIMEOUT_MILLIS = 6000;

    /** Time for which a lost, slow or refusing target is excluded for the same request. */
    static final long FAILED_TARGET_EXCLUSION_MILLIS = 5000;

    /** Time for which a busy target is excluded if it does not state a retry time. */
    private static final long BUSY_TARGET_EXCLUSION_MILLIS = 200;

    /** Attempt numbers skipped at a takeover, for attempts of a paused former owner that no checkpoint contains. */
    private static final int RESERVED_ATTEMPT_NUMBERS = 16;

    /** Ratio to the median token latency above which a stream is migrated; batching alone stays below it. */
    private static final double MIGRATION_SLOWDOWN_FACTOR = 2.5;

    /** Maximum number of migrations per request, so that fluctuating latencies cannot cause prefill after prefill. */
    private static final int MAX_MIGRATIONS = 2;

    /** Priority added to resumes, which precede new requests because their clients see the output interrupted. */
    private static final int RESUME_PRIORITY_BOOST = 1000;

    private enum Phase {
        QUEUED,
        WAITING_FOR_TARGET,
        RUNNING,
        /** All tokens are received, but the client has not reconnected for the rest of them. */
        COMPLETE
    }

    private final RequestLifecycle requestLifecycle;
    private final Dispatcher dispatcher;
    private final Work.Generation work;
    private final List<String> tokens = new ArrayList<>();
    private final List<String> tokensView = Collections.unmodifiableList(tokens);
    private final Map<Integer, Target> abandonedAttempts = new HashMap<>();
    private Phase phase = Phase.QUEUED;
    private Optional<ActiveStream> stream = Optional.empty();
    private Optional<Target> lostTarget = Optional.empty();
    private String modelVersion = "";
    private String finishReason = "";
    private int nextDeliveryPosition;
    private int migrations;
    private long waitingSince;
    private long disconnectedAt;

    GenerationRequest(
            RequestDependencies dependencies,
            Dispatcher dispatcher,
            RequestSpec spec,
            Optional<RequestId> connection,
            long now) {
        this.requestLifecycle = new RequestLifecycle(dependencies, spec, connection);
        this.dispatcher = dispatcher;
        this.work = (Work.Generation) spec.work();
        this.disconnectedAt = now;
        this.waitingSince = now;
    }

    @Override
    public void start(long now, List<Command> out) {
        requestLifecycle.start(this, dispatcher, () -> dispatch(now, out), now, out);
    }

    /** Continues a request of another router from its checkpoint. */
    void resumeFrom(Checkpoint checkpoint, int resumeAt, long now, List<Command> out) {
        tokens.addAll(checkpoint.tokens());
        modelVersion = checkpoint.version();
        nextDeliveryPosition = resumeAt;
        checkpoint
                .attempt()
                .ifPresent(attempt -> requestLifecycle.continueNumberingAfter(
                        attempt.number(), checkpoint.target().orElseThrow()));
        out.addAll(requestLifecycle.dependencies().checkpoints().open(this, now));
        requestLifecycle.skipAttemptNumbers(RESERVED_ATTEMPT_NUMBERS);
        out.add(RequestTrace.takenOver(spec().id(), checkpoint.owner(), tokens.size()));
        deliverTokens(out);
        Optional<Target> target = checkpoint
                .target()
                .flatMap(id -> requestLifecycle.dependencies().targets().target(id));
        if (target.isPresent() && target.get().supports(Capability.ATTACH)) {
            attach(checkpoint.attempt().orElseThrow(), target.get(), now, out);
        } else {
            target.ifPresent(old -> out.add(
                    new RequestCommand.CancelAttempt(checkpoint.attempt().orElseThrow(), old)));
            dispatch(now, out);
        }
    }

    private void attach(AttemptId attempt, Target target, long now, List<Command> out) {
        // Attaches at the end of the checkpoint, not at the client's position, so that a later resume has all tokens.
        double tokenLatency = requestLifecycle.dependencies().selector().expectedTokenLatencyMillis(target.id());
        ActiveStream attached = new ActiveStream(
                attempt, target, tokens.size(), tokenLatency, StallDetector.FIRST_TOKEN_GRACE_MILLIS, now);
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
            requestLifecycle.refusePoison(this, executionStatus(), now, out);
        } else if (tokens.size() >= work.maxTokens()) {
            finish("length", now, out);
        } else if (nextDeliveryPosition > tokens.size()) {
            // The client holds tokens that this router lacks; a new attempt could generate different ones.
            refuse(
                    ErrorCode.RESUME_UNAVAILABLE,
                    "The last tokens sent were lost with their engine and router; start over with a new request.",
                    now,
                    out);
        } else if (requestLifecycle.attemptsExhausted()) {
            refuse(ErrorCode.TARGET_FAILED, "All allowed attempts failed; send the request again later.", now, out);
        } else {
            tryDispatch(now, out);
        }
    }

    private void tryDispatch(long now, List<Command> out) {
        Optional<Target> target = dispatcher.chooseTarget(
                spec(), requestLifecycle.excludedTargets(now), lostTarget, modelVersion, tokens.size(), now);
        if (target.isPresent()) {
            openStream(target.get(), now, out);
            return;
        }
        long timeout = tokens.isEmpty() ? RequestLifecycle.TARGET_WAIT_TIMEOUT_MILLIS : RESUME_TIMEOUT_MILLIS;
        if (!tokens.isEmpty() && isVersionGone()) {
            refuse(
                    ErrorCode.MODEL_VERSION_GONE,
                    "No target has the model version that started the response; start over with a new request.",
                    now,
                    out);
        } else if (!tokens.isEmpty() && isResumeUnsupported()) {
            refuse(
                    ErrorCode.RESUME_UNAVAILABLE,
                    "No target of the service can resume a response; start over with a new request.",
                    now,
                    out);
        } else if (requestLifecycle
                        .dependencies()
                        .targets()
                        .targets(spec().service())
                        .isEmpty()
                || now - waitingSince >= timeout) {
            refuse(ErrorCode.NO_TARGET, "No target is available; send the request again later.", now, out);
        }
    }

    private boolean isVersionGone() {
        return targetsOfSameVersion().isEmpty();
    }

    private boolean isResumeUnsupported() {
        return targetsOfSameVersion().stream().noneMatch(target -> target.supports(Capability.RESUME));
    }

    private List<Target> targetsOfSameVersion() {
        return requestLifecycle.dependencies().targets().targets(spec().service()).stream()
                .filter(target -> target.version().equals(modelVersion))
                .toList();
    }

    private void openStream(Target target, long now, List<Command> out) {
        AttemptId attempt = requestLifecycle.nextAttempt(target);
        double tokenLatency = requestLifecycle.dependencies().selector().expectedTokenLatencyMillis(target.id());
        double expectedFirstToken =
                requestLifecycle.dependencies().selector().expectedFirstTokenMillis(spec(), target.id(), tokens.size());
        long firstTokenTimeout = StallDetector.FIRST_TOKEN_GRACE_MILLIS + (long) Math.ceil(expectedFirstToken);
        stream = Optional.of(new ActiveStream(attempt, target, tokens.size(), tokenLatency, firstTokenTimeout, now));
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
            cancelLateAttempt(event, out);
            return;
        }
        switch (event) {
            case RequestEvent.TokensReceived received -> appendTokens(stream.get(), received, now, out);
            case RequestEvent.StreamEnded end -> onStreamEnded(stream.get(), end, now, out);
            case RequestEvent.AttemptFailed failed -> onAttemptFailed(stream.get(), failed, now, out);
            case RequestEvent.ServiceResponded ignored -> {}
            case RequestEvent.Reconciled ignored -> {}
        }
    }

    /** Cancels an abandoned attempt once more if it still delivers tokens. */
    private void cancelLateAttempt(RequestEvent.AttemptEvent event, List<Command> out) {
        if (event instanceof RequestEvent.TokensReceived) {
            Target former = abandonedAttempts.remove(event.attempt().number());
            if (former != null) {
                out.add(new RequestCommand.CancelAttempt(event.attempt(), former));
            }
        }
    }

    private void appendTokens(ActiveStream current, RequestEvent.TokensReceived received, long now, List<Command> out) {
        int position = tokens.size();
        if (received.firstIndex() > position) {
            abandonAttempt(current, "the stream skipped tokens", now, out);
            return;
        }
        int end = received.firstIndex() + received.tokens().size();
        int recomputedEnd = Math.min(end, current.startPosition());
        requestLifecycle.addRecomputedTokens(Math.max(0, recomputedEnd - received.firstIndex()));
        int usableEnd = Math.min(end, work.maxTokens());
        if (usableEnd <= position) {
            return;
        }
        List<String> newTokens =
                received.tokens().subList(position - received.firstIndex(), usableEnd - received.firstIndex());
        if (tokens.isEmpty()) {
            modelVersion = current.target().version();
        }
        tokens.addAll(newTokens);
        current.recordTokens(newTokens.size(), now);
        dispatcher.recordTokens(current.attempt(), newTokens.size(), now);
        requestLifecycle.recordProgress(newTokens.size(), now);
        out.addAll(requestLifecycle.dependencies().checkpoints().replicateTokens(this, now));
        deliverTokens(out);
    }

    private void deliverTokens(List<Command> out) {
        if (requestLifecycle.connection().isPresent() && nextDeliveryPosition < tokens.size()) {
            List<String> chunk = tokens.subList(nextDeliveryPosition, tokens.size());
            out.add(new RequestCommand.DeliverTokens(
                    requestLifecycle.connection().get(), spec().id(), nextDeliveryPosition, chunk));
            requestLifecycle.addDeliveredTokens(chunk.size());
            nextDeliveryPosition = tokens.size();
        }
    }

    private void onStreamEnded(ActiveStream current, RequestEvent.StreamEnded end, long now, List<Command> out) {
        if (end.tokenCount() != tokens.size()) {
            abandonAttempt(current, "the stream ended with an unexpected number of tokens", now, out);
            return;
        }
        dispatcher.recordEnd(current.attempt(), AttemptResult.SUCCEEDED, now);
        stream = Optional.empty();
        requestLifecycle.dependencies().poison().recordCompletion(spec(), now);
        finish(end.reason(), now, out);
    }

    private void finish(String reason, long now, List<Command> out) {
        finishReason = reason;
        phase = Phase.COMPLETE;
        if (requestLifecycle.connection().isEmpty()) {
            requestLifecycle.releaseAdmission(true, now);
            return;
        }
        if (nextDeliveryPosition > tokens.size()) {
            refuse(
                    ErrorCode.RESUME_UNAVAILABLE,
                    "The response ended before the position in Last-Event-ID; start over with a new request.",
                    now,
                    out);
            return;
        }
        requestLifecycle.complete(this, reason, now, out);
    }

    private void onAttemptFailed(ActiveStream current, RequestEvent.AttemptFailed failed, long now, List<Command> out) {
        FailureKind kind = failed.kind();
        if (kind == FailureKind.STREAM_GONE) {
            onStreamGone(current, now, out);
            return;
        }
        if (!kind.isDefinitelyNotRun() || current.hasTokens()) {
            abandonAttempt(current, failureReason(failed), now, out);
            return;
        }
        dispatcher.recordEnd(current.attempt(), AttemptResult.FAILED, now);
        stream = Optional.empty();
        traceLost(current, failureReason(failed), out);
        requestLifecycle.recordRefusedAttempt();
        if (kind == FailureKind.INVALID) {
            refuse(ErrorCode.INVALID_REQUEST, "The target can't run the request: " + failed.detail(), now, out);
            return;
        }
        long exclusionMillis = kind == FailureKind.BUSY ? BUSY_TARGET_EXCLUSION_MILLIS : FAILED_TARGET_EXCLUSION_MILLIS;
        requestLifecycle.exclude(
                current.target().id(), now + failed.retryAfterMillis().orElse(exclusionMillis));
        if (kind == FailureKind.BUSY && !mayRetry(now)) {
            long retryAfter = failed.retryAfterMillis().orElse(RequestLifecycle.DEFAULT_RETRY_AFTER_MILLIS);
            refuse(ErrorCode.OVERLOADED, "The targets are busy; send the request again later.", retryAfter, now, out);
            return;
        }
        dispatch(now, out);
    }

    /** Resumes on any target, including the current one: it does not know the stream, but is healthy. */
    private void onStreamGone(ActiveStream current, long now, List<Command> out) {
        dispatcher.recordEnd(current.attempt(), AttemptResult.FAILED, now);
        stream = Optional.empty();
        traceLost(current, "the target does not know the stream", out);
        requestLifecycle.recordUncertainAttempt();
        dispatch(now, out);
    }

    /** Abandons the current attempt without waiting for its end event and resumes the response on another target. */
    void abandonAttempt(ActiveStream current, String cause, long now, List<Command> out) {
        traceLost(current, cause, out);
        out.add(new RequestCommand.CancelAttempt(current.attempt(), current.target()));
        abandonedAttempts.put(current.attempt().number(), current.target());
        dispatcher.recordLoss(current.attempt(), now);
        stream = Optional.empty();
        lostTarget = Optional.of(current.target());
        requestLifecycle.recordUncertainAttempt();
        requestLifecycle.exclude(current.target().id(), now + FAILED_TARGET_EXCLUSION_MILLIS);
        if (!mayRetry(now)) {
            refuse(
                    ErrorCode.TARGET_FAILED,
                    "The target failed and the retry budget is exhausted; send the request again later.",
                    now,
                    out);
            return;
        }
        dispatch(now, out);
    }

    /** Migrates the stream if its target has become much slower than the median and a faster one is available. */
    void migrateIfSlow(long now, List<Command> out) {
        if (stream.isEmpty() || migrations >= MAX_MIGRATIONS || spec().profile().kind() != ProfileKind.KEPT_ALIVE) {
            return;
        }
        ActiveStream current = stream.get();
        double medianLatency =
                requestLifecycle.dependencies().selector().medianTokenLatencyMillis(spec().service(), now);
        // A migration must not use up the last allowed attempt.
        if (current.recentTokenLatencyMillis() <= MIGRATION_SLOWDOWN_FACTOR * medianLatency
                || requestLifecycle.possiblyExecutedAttempts() + 1
                        >= spec().profile().maxAttempts()) {
            return;
        }
        requestLifecycle.exclude(current.target().id(), now + FAILED_TARGET_EXCLUSION_MILLIS);
        dispatcher
                .chooseTarget(
                        spec(),
                        requestLifecycle.excludedTargets(now),
                        Optional.empty(),
                        modelVersion,
                        tokens.size(),
                        now)
                .filter(target -> requestLifecycle.dependencies().selector().expectedTokenLatencyMillis(target.id())
                        < current.recentTokenLatencyMillis() / MIGRATION_SLOWDOWN_FACTOR)
                .ifPresent(target -> {
                    migrations++;
                    cancel(now, out);
                    abandonedAttempts.put(current.attempt().number(), current.target());
                    openStream(target, now, out);
                });
    }

    private void traceLost(ActiveStream current, String cause, List<Command> out) {
        int number = current.attempt().number();
        out.add(RequestTrace.attemptLost(spec().id(), number, current.target(), tokens.size(), cause));
    }

    private static String failureReason(RequestEvent.AttemptFailed failed) {
        return failed.kind() + " " + failed.detail();
    }

    /** Returns whether another attempt is allowed; only a retry without tokens draws on the service's retry budget. */
    private boolean mayRetry(long now) {
        return !tokens.isEmpty() || requestLifecycle.dependencies().admission().tryAcquireRetry(spec(), now);
    }

    @Override
    public void onTick(long now, List<Command> out) {
        if (now >= spec().deadlineMillis() && phase != Phase.COMPLETE) {
            refuse(ErrorCode.DEADLINE_EXCEEDED, "The deadline passed; allow more time or send less work.", now, out);
        } else if (requestLifecycle.connection().isEmpty() && now - disconnectedAt >= CLIENT_RECONNECT_TIMEOUT_MILLIS) {
            cancel(now, out);
            requestLifecycle.abandon(this, executionStatus(), now, out);
        } else if (phase == Phase.WAITING_FOR_TARGET) {
            dispatch(now, out);
        }
    }

    @Override
    public void onClientDisconnected(long now, List<Command> out) {
        requestLifecycle.disconnect();
        disconnectedAt = now;
        if (!isKeptAlive()) {
            cancel(now, out);
            requestLifecycle.abandon(this, executionStatus(), now, out);
        }
    }

    /** Attaches a client that reconnected to this router and delivers the tokens it lacks. */
    void onClientReconnected(RequestId connection, int resumeAt, long now, List<Command> out) {
        requestLifecycle
                .connection()
                .filter(old -> !old.equals(connection))
                .ifPresent(old -> out.add(new RequestCommand.Supersede(old)));
        requestLifecycle.connect(connection);
        nextDeliveryPosition = resumeAt;
        deliverTokens(out);
        if (phase == Phase.COMPLETE) {
            finish(finishReason, now, out);
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
        // The stream continues at the engine, where the new owner attaches to it or cancels it.
        stream.ifPresent(current -> dispatcher.recordEnd(current.attempt(), AttemptResult.CANCELLED, now));
        stream = Optional.empty();
        requestLifecycle.handOver(this, now, out);
    }

    private void cancel(long now, List<Command> out) {
        if (stream.isPresent()) {
            ActiveStream current = stream.get();
            out.add(new RequestCommand.CancelAttempt(current.attempt(), current.target()));
            dispatcher.recordEnd(current.attempt(), AttemptResult.CANCELLED, now);
            requestLifecycle.recordUncertainAttempt();
            stream = Optional.empty();
        }
    }

    private ExecutionStatus executionStatus() {
        // Tokens held by the client prove the execution even if this router has none of them.
        if (!tokens.isEmpty() || nextDeliveryPosition > 0) {
            return ExecutionStatus.RAN;
        }
        return requestLifecycle.hasUncertainAttempt() || stream.isPresent()
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

    Optional<ActiveStream> stream() {
        return stream;
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
                attempt(),
                target().map(Target::id),
                modelVersion,
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
