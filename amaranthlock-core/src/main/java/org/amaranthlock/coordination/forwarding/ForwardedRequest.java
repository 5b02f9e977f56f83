package org.amaranthlock.coordination.forwarding;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import org.amaranthlock.model.SoftwareVersion;
import org.amaranthlock.model.TargetId;

/**
 * State machine of one forwarded request, from its admission to its final response.
 *
 * <p>A request that must not be executed twice is sent to a second target only if the first one stated that it did not
 * execute it, or if no byte was sent. A resumable event stream resumes on another target after the last event that the
 * client received, at the software version that began it. Events of attempts other than the current one are ignored.
 * Not thread-safe.
 */
public final class ForwardedRequest {
    private final RequestAttributes attributes;
    private final Route route;
    private final ServiceDefinition service;
    private final Optional<Integer> priority;
    private final TargetLoadBalancer loadBalancer;
    private final FleetRetryBudget retryBudget;
    private final PoisonDetector poisonDetector;
    private final FirstEventForecast forecast;
    private final DecisionRecorder decisions;
    private final ForwardingPort port;
    private final AttemptTracker attempts;
    private final AttemptOutcomes outcomes;
    private final StreamProgress stream;
    private final RetryTargets retryTargets;
    private final SilenceMonitor silence;
    private final KvCacheBackup kvCacheBackup;
    private final AttemptPermits permits;
    private final RelayPolicy relayPolicy;
    private final StreamTargetChecks targetChecks;
    private final StreamResumption resumption;
    private final TargetCheck targetCheck;
    private final StreamAdmission admission;
    private final ReservationStep reservationStep;
    private long deadlineMillis;
    private boolean completed;
    /** Time at which a request without an attempt is tried again. */
    private long resumeAtMillis;

    /** Creates a request, which is sent by {@link #start}. */
    public ForwardedRequest(
            RequestAttributes attributes,
            Route route,
            ServiceDefinition service,
            Optional<Integer> priority,
            ForwardingState state,
            FleetRetryBudget retryBudget,
            ForwardingPort port) {
        this.attributes = Objects.requireNonNull(attributes, "attributes");
        this.route = Objects.requireNonNull(route, "route");
        this.service = Objects.requireNonNull(service, "service");
        this.priority = Objects.requireNonNull(priority, "priority");
        this.loadBalancer = state.loadBalancer();
        this.retryBudget = Objects.requireNonNull(retryBudget, "retry budget");
        Mechanisms mechanisms = state.mechanisms();
        this.forecast = new FirstEventForecast(service, attributes, state.prefillEstimates(), mechanisms);
        this.port = Objects.requireNonNull(port, "port");
        this.attempts = new AttemptTracker(loadBalancer, route, attributes.tokens());
        this.outcomes = new AttemptOutcomes(loadBalancer, route);
        this.stream = new StreamProgress(port, attributes.lastEventId().orElse(-1L));
        this.decisions = new DecisionRecorder(port, attempts, stream);
        this.poisonDetector = new PoisonDetector(attributes, state, decisions, port);
        this.retryTargets = new RetryTargets(loadBalancer, service, attributes.tokens(), route.kind(), mechanisms);
        this.silence = new SilenceMonitor(route, mechanisms);
        this.permits = new AttemptPermits(loadBalancer, service, route.kind(), attributes.id());
        this.relayPolicy = new RelayPolicy(route, service, loadBalancer, retryBudget, attempts, port);
        this.targetCheck = new TargetCheck(attempts, decisions, port);
        this.resumption = new StreamResumption(
                attributes,
                route,
                service,
                state,
                retryTargets,
                decisions,
                port,
                (holderFound, nowMillis) -> dispatch(holderFound ? "prompt-held" : "arrived", nowMillis),
                this::fail);
        this.targetChecks = new StreamTargetChecks(service, silence, permits, port);
        this.reservationStep = new ReservationStep(
                service, attributes.tokens(), state, attempts, decisions, this::send, this::dispatch);
        this.kvCacheBackup = new KvCacheBackup(attributes, route, service, loadBalancer, mechanisms, port);
        this.admission = new StreamAdmission(attributes, route, service, loadBalancer, this::dispatch, this::fail);
    }

    /** Returns whether the request has its final response, or its client has left. */
    public boolean isCompleted() {
        return completed;
    }

    /** Returns the parts that decide on the next attempt, for a preview of it. */
    RequestInProgress inProgress() {
        return new RequestInProgress(
                admission, attempts, retryTargets, kvCacheBackup, forecast, decisions, deadlineMillis);
    }

    /** Binds the event stream to the version that began it at another host; called before the request is started. */
    public void bindTo(SoftwareVersion version) {
        retryTargets.bindTo(version);
    }

    /** Lets an event stream wait in the queues of this host; called before the request is started. */
    public void queueBy(StreamQueues queues, Optional<ApiKeyOwner> owner) {
        admission.queueBy(queues, owner);
        retryTargets.avoidPreemption();
    }

    /** Sends the request of a client for the first time, or rejects it if all engines are overloaded. */
    public void start(long nowMillis) {
        retryBudget.recordRequest(nowMillis);
        startCounted(nowMillis);
    }

    /** Like {@link #start}, for a request that the host counts that received it from the client. */
    public void startCounted(long nowMillis) {
        decisions.start(nowMillis);
        deadlineMillis = nowMillis + attributes.timeLeftMillis(route.timeoutMillis());
        if (handOver(nowMillis)) {
            return;
        }
        if (resumption.isNeeded()) {
            resumption.start(nowMillis);
        } else {
            admission.arrive(deadlineMillis, nowMillis);
        }
        scheduleTimer(nowMillis);
    }

    /** Handles the answer of other hosts which version began the stream; empty if none knows it. */
    public void onStreamVersionAnswered(Optional<SoftwareVersion> version, long nowMillis) {
        resumption.onVersionAnswered(version, nowMillis);
    }

    /** Handles the answer which engines hold the prompt. */
    public void onPromptLocated(PromptHolders holders, long nowMillis) {
        resumption.onPromptLocated(holders, nowMillis);
    }

    /** Handles the complete response of a target. */
    public void onResponse(int attempt, TargetResponse response, long nowMillis) {
        if (!isCurrent(attempt)) {
            return;
        }
        Attempt ended = endAttempt(nowMillis);
        permits.recordStatements(ended.target(), response, nowMillis);
        // With 421, a target with another id rejects the request.
        if (response.notRun() || response.status() == 421) {
            handleNotRun(ended, response, nowMillis);
            return;
        }
        attempts.countExecution();
        outcomes.recordResponse(ended, response, silence.millisSinceSend(nowMillis), nowMillis);
        boolean mayRetry = route.isRetryable() && attempts.hasAttemptsLeft();
        if (stream.opened() || !route.accepts(response) || (response.status() >= 500 && mayRetry)) {
            handleFailure(ended, "status-" + response.status(), nowMillis);
            return;
        }
        loadBalancer.recordSuccess(ended.target(), nowMillis);
        if (!service.engine()) {
            attempts.recordAnswerTime(service, ended.target(), silence.millisSinceSend(nowMillis), nowMillis);
        }
        poisonDetector.recordResponse(nowMillis);
        complete("answered", Optional.of(ended), "whole", response.status(), nowMillis);
        port.respond(response);
    }

    /** Handles the response head of an event stream. */
    public void onStreamOpened(int attempt, TargetResponse response, long nowMillis) {
        if (!isCurrent(attempt)) {
            return;
        }
        silence.recordActivity(nowMillis);
        permits.recordStatements(currentAttempt().target(), response, nowMillis);
        if (!response.stamped()) {
            abandonAttempt("no-stamp", nowMillis);
            return;
        }
        stream.offerHead(response, Optional.of(currentAttempt().target().version()));
    }

    /** Handles complete events of a stream. */
    public void onEvents(int attempt, List<StreamEvent> events, long nowMillis) {
        if (!isCurrent(attempt)) {
            return;
        }
        silence.recordActivity(nowMillis);
        relayPolicy.recordEvents();
        if (!attempts.generating()) {
            markGenerating(nowMillis);
        }
        long lastEventId = stream.lastEventId();
        OptionalLong afterGap = stream.forward(events);
        if (stream.begun()) {
            retryTargets.bindTo(currentAttempt().target().version());
        }
        if (afterGap.isPresent()) {
            abandonAttempt("event-" + afterGap.getAsLong() + "-after-" + lastEventId, nowMillis);
            return;
        }
        kvCacheBackup.refresh(currentAttempt(), retryTargets.avoided(), nowMillis);
        scheduleTimer(nowMillis);
    }

    /** Handles a pause of reading the response, because the client reads too slowly, or its end. */
    public void onReadingChanged(boolean reading, long nowMillis) {
        silence.recordReading(reading, nowMillis);
        scheduleTimer(nowMillis);
    }

    /** Handles the completion of a KV cache transfer to {@code backup}; {@code copyId} is empty if no copy was made. */
    public void onCopyCompleted(Attempt attempt, EntryTarget backup, Optional<String> copyId, long nowMillis) {
        if (!isCurrent(attempt.number())) {
            return;
        }
        kvCacheBackup.onCopyCompleted(attempt, backup, copyId);
        decisions.record(
                copyId.isPresent() ? "copied" : "not-copied", currentAttempt(), "to-" + backup.id(), 0, nowMillis);
    }

    /** Handles the regular end of an event stream. */
    public void onStreamEnded(int attempt, long nowMillis) {
        if (!isCurrent(attempt)) {
            return;
        }
        Attempt ended = endAttempt(nowMillis);
        loadBalancer.recordSuccess(ended.target(), nowMillis);
        loadBalancer.estimates().recordStream(service.name(), silence.targetMillis(nowMillis));
        admission.recordEnd(attempts.started(), silence.pausedSinceSend(), nowMillis);
        complete("answered", Optional.of(ended), "complete", stream.status(), nowMillis);
        stream.end();
    }

    /** Handles an attempt of which no byte was sent. */
    public void onNotSent(int attempt, String cause, long nowMillis) {
        if (!isCurrent(attempt)) {
            return;
        }
        Attempt ended = endAttempt(nowMillis);
        attempts.undoDelivery();
        if (attempts.deliveries() > 0) { // the first delivery acquires no retry
            retryBudget.release(nowMillis);
        }
        handleUnreachable(ended.target(), cause, nowMillis);
        decisions.record("not-sent", ended, cause, 0, nowMillis);
        retry("not-sent", nowMillis);
    }

    /** Handles an attempt that ended without a response after bytes of it had been sent. */
    public void onAttemptLost(int attempt, String cause, long nowMillis) {
        if (!isCurrent(attempt)) {
            return;
        }
        boolean generating = attempts.generating();
        retryTargets.offerCopy(generating ? kvCacheBackup.findUsableCopy(nowMillis) : Optional.empty());
        Attempt ended = endAttempt(nowMillis);
        attempts.countExecution();
        outcomes.recordLoss(ended, nowMillis);
        if (!generating) { // a stream that already generates is not counted as the cause of a crash
            poisonDetector.onAttemptLost(ended, cause);
        }
        retryTargets.recordLoss(ended.target(), cause);
        handleFailure(ended, cause, nowMillis);
    }

    /** Handles a report of an engine; empty if it is unavailable. */
    public void onEngineReport(int attempt, Optional<EngineReport> report, long nowMillis) {
        if (isCurrent(attempt)) {
            targetChecks
                    .lossCause(currentAttempt().target(), report, attributes.id(), stream.lastEventId(), nowMillis)
                    .ifPresent(cause -> abandonAttempt(cause, nowMillis));
        }
    }

    /** Handles the check whether the target of a lost attempt accepts connections; if it does not, it crashed. */
    public void onCrashCheckResult(Attempt attempt, boolean reachable, long nowMillis) {
        poisonDetector.recordCrashCheck(attempt, reachable, nowMillis);
    }

    /** Handles the probe of the target of an attempt that was lost before it began to answer. */
    public void onLostTargetProbed(Attempt attempt, boolean reachable, long nowMillis) {
        poisonDetector.recordProbe(attempt, reachable, nowMillis);
    }

    /** Handles the result of a check whether the target of the next attempt responds. */
    public void onTargetChecked(EntryTarget target, boolean responds, long nowMillis) {
        Optional<PendingAttempt> checked = targetCheck.end(target);
        if (completed || checked.isEmpty()) {
            return;
        }
        if (responds) {
            send(checked.get().destination(), checked.get().cause(), nowMillis);
            return;
        }
        handleUnreachable(target, "check", nowMillis);
        decisions.record("not-sent", Optional.empty(), "check-of-" + target.id(), 0, nowMillis);
        retry("not-sent", nowMillis);
    }

    /** Handles the result of a probe; a failed one is ignored if events arrived after it was sent. */
    public void onProbeResult(int attempt, boolean reachable, long nowMillis) {
        if (!isCurrent(attempt) || reachable || silence.activeSinceProbe()) {
            return;
        }
        handleUnreachable(currentAttempt().target(), "probe", nowMillis);
        abandonAttempt("unreachable", nowMillis);
    }

    /** Handles the closing of the connection by the client. */
    public void onClientDisconnected(long nowMillis) {
        if (completed) {
            return;
        }
        complete("caller-left", cancelAttempt(nowMillis), "connection-closed", 0, nowMillis);
    }

    /** Handles the timer: checks the deadline and the timeouts of the current attempt. */
    public void onTimer(long nowMillis) {
        if (completed) {
            return;
        }
        if (nowMillis >= deadlineMillis) {
            boolean mayHaveRun = cancelAttempt(nowMillis).isPresent() || attempts.executions() > 0;
            fail(mayHaveRun ? Rejection.of(504, "timeout") : Rejection.retryLater(0, "timeout"), nowMillis);
        } else if (admission.waiting()) {
            admission.check(nowMillis);
        } else if (attempts.current().isPresent()) {
            checkTimeouts(nowMillis);
        } else if (!isWaitingForTarget() && nowMillis >= resumeAtMillis) {
            dispatch("pause", nowMillis);
        }
        scheduleTimer(nowMillis);
    }

    /** Resumes an event stream that was handed over and that no other host serves. */
    public void takeBack(int executions, Optional<SoftwareVersion> streamVersion, long nowMillis) {
        completed = false;
        relayPolicy.recordTakenBack(executions, nowMillis);
        streamVersion.ifPresent(retryTargets::bindTo);
        handleNoTarget("no-host", nowMillis);
    }

    /** Chooses the destination of the next attempt and sends it, after a check if the request may crash targets. */
    private void dispatch(String cause, long nowMillis) {
        if (completed || handOver(nowMillis)) {
            return;
        }
        switch (poisonDetector.decide(stream.begun(), attempts.executions() > 0, nowMillis)) {
            case SendDecision.Reject reject -> fail(reject.rejection(), nowMillis);
            case SendDecision.Wait wait -> awaitTrial(wait.millis(), nowMillis);
            case SendDecision.Send _ -> dispatchToTarget(cause, nowMillis);
        }
    }

    private void dispatchToTarget(String cause, long nowMillis) {
        Optional<RetryTargets.Destination> destination = retryTargets.choose(nowMillis);
        if (destination.isEmpty()) {
            requestPermit(cause, nowMillis);
        } else if (forecast.isTooLate(destination.get(), deadlineMillis, nowMillis)) {
            fail(Rejection.of(attempts.executions() > 0 ? 502 : 503, "deadline-unreachable"), nowMillis);
        } else if (poisonDetector.isSuspect(nowMillis)) {
            if (permits.isLimited(
                    destination.get().target())) { // the check of the target would be a request beyond its permit
                handleNoTarget(AttemptPermits.TARGET_LIMIT, nowMillis);
                return;
            }
            targetCheck.start(new PendingAttempt(destination.get(), cause), nowMillis);
            scheduleTimer(nowMillis);
        } else {
            reservationStep.send(new PendingAttempt(destination.get(), cause), retryTargets.constraint(), nowMillis);
        }
    }

    private void awaitTrial(long millis, long nowMillis) {
        decisions.recordOnce("awaiting-trial", "suspect-prompt-part", nowMillis);
        resumeAtMillis = nowMillis + millis;
        scheduleTimer(nowMillis);
    }

    /** Has the request served by another host if this one has no path to the targets; returns whether it did. */
    private boolean handOver(long nowMillis) {
        completed = relayPolicy.handOver(
                stream, retryTargets.streamVersion(), decisions.arrivedAtMillis(), deadlineMillis, nowMillis);
        if (completed) {
            poisonDetector.release();
        }
        return completed;
    }

    /** Waits for a permit if only targets are left that limit their request rate. */
    private void requestPermit(String cause, long nowMillis) {
        List<TargetId> limited = permits.limitedTargets(retryTargets.constraint(), nowMillis);
        if (!limited.isEmpty()) {
            decisions.record("awaiting-permit", Optional.empty(), cause, 0, nowMillis);
        }
        boolean requested = permits.request(
                limited, atMillis -> dispatch(cause, atMillis), atMillis -> onPermitDenied(limited, atMillis));
        if (!requested) {
            boolean denied = !limited.isEmpty() || cause.equals(AttemptPermits.TARGET_LIMIT);
            handleNoTarget(denied ? AttemptPermits.TARGET_LIMIT : "no-target", nowMillis);
        } else if (permits.waiting()) {
            scheduleTimer(nowMillis);
        }
    }

    /** Tries the targets without a limit that are excluded after a failure, if there are any. */
    private void onPermitDenied(List<TargetId> limited, long nowMillis) {
        retryTargets.avoidAll(limited);
        dispatch(AttemptPermits.TARGET_LIMIT, nowMillis);
    }

    private void send(RetryTargets.Destination destination, String cause, long nowMillis) {
        if (!loadBalancer.availability().mayReceive(destination.target().incarnation(), nowMillis)) {
            dispatch(cause, nowMillis); // it has asked for a rest, or said that it leaves, since it was chosen
            return;
        }
        if (!permits.take(destination.target())) {
            retryTargets.offerCopy(destination.copy());
            requestPermit(cause, nowMillis);
            return;
        }
        if (attempts.deliveries() > 0 && !retryBudget.tryAcquire(nowMillis)) {
            retryTargets.offerCopy(destination.copy());
            handleNoTarget("repeat-budget", nowMillis);
            return;
        }
        Optional<EntryTarget> backupTarget =
                kvCacheBackup.assign(destination.target(), retryTargets.avoided(), nowMillis);
        long timeLeftMillis = deadlineMillis - nowMillis;
        Attempt attempt = attempts.begin(destination, timeLeftMillis, stream.lastEvent(), backupTarget, priority);
        silence.recordSend(nowMillis);
        poisonDetector.recordSend(attempt.number(), nowMillis);
        if (route.kind() == RouteKind.STREAMING && !stream.begun()) {
            port.announceStreamVersion(attempt.target().version());
        }
        decisions.record(destination.copy().isPresent() ? "sent-to-copy" : "sent", attempt, cause, 0, nowMillis);
        port.send(attempt);
        scheduleTimer(nowMillis);
    }

    private void handleNotRun(Attempt ended, TargetResponse response, long nowMillis) {
        retryTargets.avoid(ended.target());
        outcomes.recordNotRun(ended, response, nowMillis);
        decisions.record("not-run", ended, "status-" + response.status(), response.status(), nowMillis);
        retry("not-run", nowMillis);
    }

    private void handleUnreachable(EntryTarget target, String cause, long nowMillis) {
        loadBalancer.recordUnreachable(target, nowMillis);
        relayPolicy.recordUnreachable(target, cause);
        retryTargets.avoid(target);
    }

    private void handleFailure(Attempt ended, String cause, long nowMillis) {
        loadBalancer.recordFailure(ended.target(), nowMillis);
        retryTargets.avoid(ended.target());
        decisions.record("lost", ended, cause, 0, nowMillis);
        if (!route.isRetryable() || !attempts.hasAttemptsLeft()) {
            fail(Rejection.of(502, cause), nowMillis);
            return;
        }
        retry(cause, nowMillis);
    }

    private void retry(String cause, long nowMillis) {
        if (!attempts.hasDeliveriesLeft()) {
            fail(permits.finalRejection(cause, attempts.executions() > 0, nowMillis), nowMillis);
            return;
        }
        dispatch(cause, nowMillis);
    }

    /** Rejects the request or, if the client already receives the stream, schedules a search among all targets. */
    private void handleNoTarget(String cause, long nowMillis) {
        boolean executed = attempts.executions() > 0;
        if (retryTargets.isVersionGone()) {
            fail(Rejection.of(executed ? 502 : 503, RetryTargets.VERSION_GONE), nowMillis);
            return;
        }
        if (!stream.opened()) {
            fail(permits.finalRejection(cause, executed, nowMillis), nowMillis);
            return;
        }
        decisions.recordOnce("awaiting-retry", cause, nowMillis);
        retryTargets.forgetAvoided();
        resumeAtMillis = nowMillis + permits.resumeDelayMillis();
        scheduleTimer(nowMillis);
    }

    private void fail(Rejection rejection, long nowMillis) {
        if (stream.opened()) {
            complete("broken-off", Optional.empty(), rejection.reason(), 0, nowMillis);
            port.abort();
            return;
        }
        complete("rejected", Optional.empty(), rejection.reason(), rejection.status(), nowMillis);
        port.reject(rejection);
    }

    private void checkTimeouts(long nowMillis) {
        boolean generating = attempts.generating();
        if (poisonDetector.shouldWithdraw(nowMillis) && attempts.mayBeAbandoned()) {
            withdrawAttempt(nowMillis);
        } else if (attempts.mayBeAbandoned()
                && silence.isSilentTooLong(generating, nowMillis)
                && retryTargets.hasAlternative(currentAttempt().target(), nowMillis)) {
            abandonAttempt(silence.timeoutCause(generating), nowMillis);
        } else if (route.kind() == RouteKind.STREAMING) {
            targetChecks.start(currentAttempt(), generating, nowMillis);
        }
    }

    /** Takes the current attempt back from its target, which has not failed. */
    private void withdrawAttempt(long nowMillis) {
        port.cancel(currentAttempt());
        Attempt withdrawn = endAttempt(nowMillis);
        attempts.countExecution();
        decisions.record("withdrawn", withdrawn, "suspect-prompt-part", 0, nowMillis);
        retry("suspect-prompt-part", nowMillis);
    }

    private void abandonAttempt(String cause, long nowMillis) {
        Attempt abandoned = currentAttempt();
        port.cancel(abandoned);
        onAttemptLost(abandoned.number(), cause, nowMillis);
    }

    /** Cancels the current attempt, if there is one, and returns it. */
    private Optional<Attempt> cancelAttempt(long nowMillis) {
        attempts.current().ifPresent(port::cancel);
        return attempts.current().map(_ -> endAttempt(nowMillis));
    }

    /** Returns whether the next attempt waits for an answer of its target or of the engines. */
    private boolean isWaitingForTarget() {
        return resumption.running() || targetCheck.running() || permits.waiting() || reservationStep.running();
    }

    private boolean isCurrent(int attempt) {
        return !completed && attempts.isCurrent(attempt);
    }

    private Attempt currentAttempt() {
        return attempts.current().orElseThrow();
    }

    private void markGenerating(long nowMillis) {
        admission.recordFirstEvent(nowMillis);
        if (!silence.pausedSinceSend() && currentAttempt().resumeFrom().isEmpty() && !retryTargets.returnedToHolder()) {
            forecast.recordFirstEvent(silence.millisSinceSend(nowMillis));
            attempts.recordAnswerTime(
                    service, currentAttempt().target(), silence.millisSinceSend(nowMillis), nowMillis);
        }
        attempts.markGenerating();
        outcomes.recordAnswer(currentAttempt(), silence.millisSinceSend(nowMillis), nowMillis);
        poisonDetector.recordResponse(nowMillis);
        loadBalancer.recordSuccess(currentAttempt().target(), nowMillis);
        decisions.record("first-event", currentAttempt(), "running", 0, nowMillis);
    }

    private Attempt endAttempt(long nowMillis) {
        Attempt ended = attempts.end();
        poisonDetector.recordAttemptEnded();
        kvCacheBackup.release(ended, retryTargets.usableCopy(), nowMillis);
        return ended;
    }

    private void scheduleTimer(long nowMillis) {
        if (completed) {
            return;
        }
        long dueMillis;
        if (attempts.current().isPresent()) {
            dueMillis = Math.min(
                    poisonDetector.withdrawalMillis(),
                    silence.nextDueMillis(attempts.generating(), deadlineMillis, nowMillis));
        } else {
            long resumeDueMillis = isWaitingForTarget() ? deadlineMillis : resumeAtMillis;
            dueMillis = Math.min(deadlineMillis, admission.dueMillis(resumeDueMillis, nowMillis));
        }
        port.scheduleTimer(dueMillis);
    }

    private void complete(String step, Optional<Attempt> attempt, String cause, int status, long nowMillis) {
        completed = true;
        admission.leave(cause, nowMillis);
        resumption.end();
        reservationStep.end();
        attempts.releaseReservation();
        poisonDetector.release();
        decisions.recordLast(step, attempt, cause, status, nowMillis);
    }
}
