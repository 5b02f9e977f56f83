package org.amaranthlock.coordination.forwarding;

import java.io.ByteArrayOutputStream;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.amaranthlock.model.TargetId;

/**
 * State machine of one forwarded request, from its admission to its final response.
 *
 * <p>A request that must not be executed twice is sent to a second target only if the first one stated that it did not
 * execute it, or if no byte was sent. A resumable event stream resumes on another target after the last event that the
 * client received. Events of attempts other than the current one are ignored. Not thread-safe.
 */
public final class ForwardedRequest {
    /** Events that may be in transit when an engine reports that it has generated them. */
    private static final long MAX_EVENTS_IN_TRANSIT = 2;

    /** Delay before an interrupted stream for which no target or retry was available is tried again. */
    private static final long RESUME_DELAY_MILLIS = 60;

    /** Deliveries to targets beyond the maximum attempts of the route, for targets that did not execute the request. */
    private static final int EXTRA_DELIVERIES = 3;

    /** Retry delay for clients whose request found no target. */
    private static final long NO_TARGET_RETRY_AFTER_MILLIS = 300;

    /** Statuses that tell a client that its request was not executed; targets state this in a separate header. */
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 429, 503);

    /** Causes after which an attempt is not retried on the same engine: it has failed, or makes no progress. */
    private static final Set<String> NO_SAME_TARGET_CAUSES = Set.of("unreachable", "stalled", "no-first-event");

    private final RequestAttributes attributes;
    private final Route route;
    private final ServiceDefinition service;
    private final Optional<Integer> priority;
    private final TargetLoadBalancer loadBalancer;
    private final FleetRetryBudget retryBudget;
    private final PoisonDetector poisonDetector;
    private final ForwardingPort port;
    private final AttemptTimeouts timeouts;
    private final KvCacheBackup kvCacheBackup;
    private final Set<TargetId> avoided = new HashSet<>();

    private long arrivedAtMillis;
    private long deadlineMillis;
    private Attempt currentAttempt;
    private long sentAtMillis;
    private long lastActivityMillis;
    private long lastProbeMillis;
    private long resumeAtMillis;

    /** Number of attempts. */
    private int attempts;

    /** Number of attempts of which at least one byte may have reached the target. */
    private int deliveries;

    /** Number of attempts that the target may have executed. */
    private int executions;

    private TargetResponse streamHead;
    private boolean clientStreamOpened;
    private long lastEventId = -1;
    private boolean completed;

    /** Whether the current attempt has sent events; an engine copies its KV cache only once it generates. */
    private boolean generating;

    /** Load that is counted for the current attempt; one that resumes from a copy has no prompt to prefill. */
    private InFlightLoad countedLoad = InFlightLoad.NONE;

    /** KV cache copy of the last lost attempt. */
    private Optional<KvCacheCopy> usableCopy = Optional.empty();

    /** Engine of the last lost attempt if its KV cache may still hold the prompt, otherwise null. */
    private EntryTarget sameTarget;

    private boolean retriedOnSameTarget;
    private long lastReportRequestMillis;

    /** Creates a request, which is sent by {@link #start}. */
    public ForwardedRequest(
            RequestAttributes attributes,
            Route route,
            ServiceDefinition service,
            Optional<Integer> priority,
            TargetLoadBalancer loadBalancer,
            FleetRetryBudget retryBudget,
            CrashHistory crashHistory,
            ForwardingPort port) {
        this.attributes = Objects.requireNonNull(attributes, "attributes");
        this.route = Objects.requireNonNull(route, "route");
        this.service = Objects.requireNonNull(service, "service");
        this.priority = Objects.requireNonNull(priority, "priority");
        this.loadBalancer = Objects.requireNonNull(loadBalancer, "load balancer");
        this.retryBudget = Objects.requireNonNull(retryBudget, "retry budget");
        this.port = Objects.requireNonNull(port, "port");
        this.poisonDetector = new PoisonDetector(attributes.fingerprint(), crashHistory, loadBalancer, port);
        this.timeouts = new AttemptTimeouts(route);
        this.kvCacheBackup = new KvCacheBackup(attributes, service, loadBalancer, port);
    }

    /** Returns whether the request has its final response, or its client has left. */
    public boolean isCompleted() {
        return completed;
    }

    /** Sends the request for the first time, or rejects it if all engines are overloaded. */
    public void start(long nowMillis) {
        arrivedAtMillis = nowMillis;
        long timeoutMillis =
                Math.min(route.timeoutMillis(), attributes.timeLeftMillis().orElse(route.timeoutMillis()));
        deadlineMillis = nowMillis + timeoutMillis;
        lastEventId = attributes.lastEventId().orElse(-1L);
        retryBudget.recordRequest();
        OptionalLong retryAfter = attributes.lastEventId().isPresent()
                ? OptionalLong.empty() // a stream that the client resumes is not shed
                : loadBalancer.retryAfterMillis(service, attributes.tokens(), nowMillis);
        if (retryAfter.isPresent()) {
            fail(Rejection.retryLater(retryAfter.getAsLong(), "overloaded"), nowMillis);
            return;
        }
        dispatch("arrived", nowMillis);
    }

    /** Handles the complete response of a target. */
    public void onResponse(int attempt, TargetResponse response, long nowMillis) {
        if (!isCurrent(attempt)) {
            return;
        }
        Attempt ended = releaseAttempt();
        // With 421, a target with another id rejects the request.
        if (response.notRun() || response.status() == 421) {
            handleNotRun(ended, response, nowMillis);
            return;
        }
        boolean misleadingStatus = !route.isRetryable() && NOT_RUN_STATUSES.contains(response.status());
        // A success needs the target's stamp, and a streaming route expects an event stream.
        boolean unusable = misleadingStatus
                || clientStreamOpened
                || (response.isSuccess() && (!response.stamped() || route.kind() == RouteKind.STREAMING));
        executions++;
        if (unusable || (response.status() >= 500 && route.isRetryable() && hasAttemptsLeft())) {
            handleFailure(ended, "status-" + response.status(), nowMillis);
            return;
        }
        loadBalancer.recordSuccess(ended.target(), nowMillis);
        poisonDetector.recordResponse(nowMillis);
        complete("answered", ended, "whole", response.status(), nowMillis);
        port.respond(response);
    }

    /** Handles the response head of an event stream. */
    public void onStreamOpened(int attempt, TargetResponse response, long nowMillis) {
        if (!isCurrent(attempt)) {
            return;
        }
        lastActivityMillis = nowMillis;
        if (!response.stamped()) {
            port.cancel(currentAttempt);
            onAttemptLost(attempt, "no-stamp", nowMillis);
            return;
        }
        if (!clientStreamOpened) {
            // The client gets the head of the first target that sends events.
            streamHead = response;
        }
    }

    /** Handles complete events of a stream. */
    public void onEvents(int attempt, List<StreamEvent> events, long nowMillis) {
        if (!isCurrent(attempt)) {
            return;
        }
        lastActivityMillis = nowMillis;
        if (!generating) {
            markGenerating(nowMillis);
        }
        ByteArrayOutputStream newEvents = new ByteArrayOutputStream();
        for (StreamEvent event : events) {
            if (lastEventId >= 0 && event.id() <= lastEventId) {
                continue;
            }
            if (lastEventId >= 0 && event.id() > lastEventId + 1) {
                // Events are missing; the client would take the response for complete.
                forwardEvents(newEvents);
                port.cancel(currentAttempt);
                onAttemptLost(attempt, "event-" + event.id() + "-after-" + lastEventId, nowMillis);
                return;
            }
            lastEventId = event.id();
            newEvents.writeBytes(event.bytes());
        }
        forwardEvents(newEvents);
        if (route.isRetryable()) {
            kvCacheBackup.refresh(currentAttempt, avoided, nowMillis);
        }
        scheduleTimer(nowMillis);
    }

    /** Handles the completion of a KV cache transfer to {@code backup}; {@code copyId} is empty if no copy was made. */
    public void onCopyCompleted(Attempt attempt, EntryTarget backup, Optional<String> copyId, long nowMillis) {
        if (!isCurrent(attempt.number())) {
            return;
        }
        kvCacheBackup.onCopyCompleted(attempt, backup, copyId);
        recordDecision(copyId.isPresent() ? "copied" : "not-copied", currentAttempt, "to-" + backup.id(), 0, nowMillis);
    }

    /** Handles the regular end of an event stream. */
    public void onStreamEnded(int attempt, long nowMillis) {
        if (!isCurrent(attempt)) {
            return;
        }
        Attempt ended = releaseAttempt();
        loadBalancer.recordSuccess(ended.target(), nowMillis);
        openStream();
        complete("answered", ended, "complete", streamHead.status(), nowMillis);
        port.endStream();
    }

    /** Handles an attempt of which no byte was sent. */
    public void onNotSent(int attempt, String cause, long nowMillis) {
        if (!isCurrent(attempt)) {
            return;
        }
        Attempt ended = releaseAttempt();
        deliveries--;
        if (deliveries > 0) { // the first delivery acquires no retry
            retryBudget.release();
        }
        loadBalancer.recordUnreachable(ended.target(), nowMillis);
        avoided.add(ended.target().id());
        recordDecision("not-sent", ended, cause, 0, nowMillis);
        retry("not-sent", nowMillis);
    }

    /** Handles an attempt that ended without a response after bytes of it had been sent. */
    public void onAttemptLost(int attempt, String cause, long nowMillis) {
        if (!isCurrent(attempt)) {
            return;
        }
        usableCopy = generating ? kvCacheBackup.findUsableCopy(nowMillis) : Optional.empty();
        Attempt ended = releaseAttempt();
        executions++;
        if (!generating) { // a stream that already generates is not counted as the cause of a crash
            poisonDetector.onAttemptLost(ended, cause);
        }
        boolean mayHavePrompt =
                route.kind() == RouteKind.STREAMING && !retriedOnSameTarget && !NO_SAME_TARGET_CAUSES.contains(cause);
        sameTarget = mayHavePrompt ? ended.target() : null;
        handleFailure(ended, cause, nowMillis);
    }

    /**
     * Handles a report of an engine; empty if it is unavailable.
     *
     * <p>If the engine has generated events that did not arrive, its response is lost. A request that is missing in the
     * report is no failure, because an engine lists a request only once its prompt has been prefilled.
     */
    public void onEngineReport(int attempt, Optional<EngineReport> report, long nowMillis) {
        if (!isCurrent(attempt)
                || report.isEmpty()
                || nowMillis - lastActivityMillis < timeouts.reportIntervalMillis()) {
            return;
        }
        Long generated = report.get().eventsByRequest().get(attributes.id());
        if (generated != null && generated > lastEventId + 1 + MAX_EVENTS_IN_TRANSIT) {
            abandonAttempt("events-missing", nowMillis);
        }
    }

    /** Handles the check whether the target of a lost attempt accepts connections; if it does not, it crashed. */
    public void onCrashCheckResult(Attempt attempt, boolean reachable, long nowMillis) {
        if (!reachable) {
            boolean counted = poisonDetector.recordUnreachable(attempt, nowMillis);
            recordDecision(counted ? "crash-counted" : "crash-with-domain", attempt, "unreachable", 0, nowMillis);
        }
    }

    /** Handles the result of a probe; a failed one is ignored if events arrived after it was sent. */
    public void onProbeResult(int attempt, boolean reachable, long nowMillis) {
        if (!isCurrent(attempt) || reachable || lastActivityMillis >= lastProbeMillis) {
            return;
        }
        loadBalancer.recordUnreachable(currentAttempt.target(), nowMillis);
        port.cancel(currentAttempt);
        onAttemptLost(attempt, "unreachable", nowMillis);
    }

    /** Handles the closing of the connection by the client. */
    public void onClientDisconnected(long nowMillis) {
        if (completed) {
            return;
        }
        Attempt cancelled = currentAttempt;
        if (cancelled != null) {
            port.cancel(cancelled);
            releaseAttempt();
        }
        complete("caller-left", cancelled, "connection-closed", 0, nowMillis);
    }

    /** Handles the timer: checks the deadline and the timeouts of the current attempt. */
    public void onTimer(long nowMillis) {
        if (completed) {
            return;
        }
        if (nowMillis >= deadlineMillis) {
            handleDeadline(nowMillis);
        } else if (currentAttempt == null) {
            resumeAfterDelay(nowMillis);
        } else {
            checkTimeouts(nowMillis);
        }
        scheduleTimer(nowMillis);
    }

    private void dispatch(String cause, long nowMillis) {
        if (poisonDetector.isPoison(nowMillis)) {
            fail(Rejection.of(502, "crashes-targets"), nowMillis);
            return;
        }
        Optional<EntryTarget> retryTarget = takeSameTarget(nowMillis);
        Optional<KvCacheCopy> copy = retryTarget.isPresent() ? Optional.empty() : takeUsableCopy(nowMillis);
        Optional<EntryTarget> target = retryTarget
                .or(() -> copy.map(KvCacheCopy::engine))
                .or(() -> loadBalancer.chooseTarget(service, attributes.tokens(), avoided, nowMillis));
        if (target.isEmpty()) {
            handleNoTarget("no-target", nowMillis);
            return;
        }
        if (deliveries > 0 && !retryBudget.tryAcquire(nowMillis)) {
            usableCopy = copy;
            handleNoTarget("repeat-budget", nowMillis);
            return;
        }
        Optional<EntryTarget> backupTarget =
                route.isRetryable() ? kvCacheBackup.assign(target.get(), avoided, nowMillis) : Optional.empty();
        attempts++;
        deliveries++;
        currentAttempt = new Attempt(
                attempts,
                target.get(),
                deadlineMillis - nowMillis,
                lastEventId < 0 ? Optional.empty() : Optional.of(lastEventId),
                backupTarget,
                copy,
                priority);
        poisonDetector.recordSend(attempts, nowMillis);
        countedLoad = copy.isPresent()
                ? InFlightLoad.generating(attributes.tokens())
                : InFlightLoad.prefilling(attributes.tokens());
        loadBalancer.addLoad(target.get(), countedLoad);
        generating = false;
        sentAtMillis = nowMillis;
        lastActivityMillis = nowMillis;
        lastProbeMillis = nowMillis;
        lastReportRequestMillis = nowMillis;
        recordDecision(copy.isPresent() ? "sent-to-copy" : "sent", currentAttempt, cause, 0, nowMillis);
        port.send(currentAttempt);
        scheduleTimer(nowMillis);
    }

    /** Returns the engine of the last lost attempt; each request is retried on the same engine only once. */
    private Optional<EntryTarget> takeSameTarget(long nowMillis) {
        EntryTarget target = sameTarget;
        sameTarget = null;
        if (target == null
                || !loadBalancer.isRegistered(target)
                || loadBalancer.isDomainFailing(target.failureDomain(), nowMillis)) {
            return Optional.empty();
        }
        retriedOnSameTarget = true;
        return Optional.of(target);
    }

    /** Returns the KV cache copy of the last lost attempt; a copy can be used only once. */
    private Optional<KvCacheCopy> takeUsableCopy(long nowMillis) {
        Optional<KvCacheCopy> copy = usableCopy
                .filter(kept -> !avoided.contains(kept.engine().id()))
                .filter(kept -> loadBalancer.isReachable(kept.engine(), nowMillis));
        usableCopy = Optional.empty();
        return copy;
    }

    private void handleNotRun(Attempt ended, TargetResponse response, long nowMillis) {
        avoided.add(ended.target().id());
        if (response.status() == 421) {
            loadBalancer.recordFailure(ended.target(), nowMillis);
        }
        recordDecision("not-run", ended, "status-" + response.status(), response.status(), nowMillis);
        retry("not-run", nowMillis);
    }

    private void handleFailure(Attempt ended, String cause, long nowMillis) {
        loadBalancer.recordFailure(ended.target(), nowMillis);
        avoided.add(ended.target().id());
        recordDecision("lost", ended, cause, 0, nowMillis);
        if (!route.isRetryable() || !hasAttemptsLeft()) {
            fail(Rejection.of(502, cause), nowMillis);
            return;
        }
        retry(cause, nowMillis);
    }

    private boolean hasAttemptsLeft() {
        return executions < route.maxAttempts();
    }

    private void retry(String cause, long nowMillis) {
        if (deliveries >= route.maxAttempts() + EXTRA_DELIVERIES) {
            fail(finalRejection(cause), nowMillis);
            return;
        }
        dispatch(cause, nowMillis);
    }

    /** Rejects the request or, if the client already receives the stream, schedules a search among all targets. */
    private void handleNoTarget(String cause, long nowMillis) {
        if (!clientStreamOpened) {
            fail(finalRejection(cause), nowMillis);
            return;
        }
        avoided.clear();
        resumeAtMillis = nowMillis + RESUME_DELAY_MILLIS;
        scheduleTimer(nowMillis);
    }

    /** Returns a 503, which states that the request was not executed, only if no target may have executed it. */
    private Rejection finalRejection(String cause) {
        return executions > 0 ? Rejection.of(502, cause) : Rejection.retryLater(NO_TARGET_RETRY_AFTER_MILLIS, cause);
    }

    private void fail(Rejection rejection, long nowMillis) {
        if (clientStreamOpened) {
            complete("broken-off", null, rejection.reason(), 0, nowMillis);
            port.abort();
            return;
        }
        complete("rejected", null, rejection.reason(), rejection.status(), nowMillis);
        port.reject(rejection);
    }

    private void handleDeadline(long nowMillis) {
        boolean mayHaveRun = currentAttempt != null || executions > 0;
        if (currentAttempt != null) {
            port.cancel(currentAttempt);
            releaseAttempt();
        }
        fail(mayHaveRun ? Rejection.of(504, "timeout") : Rejection.retryLater(0, "timeout"), nowMillis);
    }

    private void resumeAfterDelay(long nowMillis) {
        if (nowMillis >= resumeAtMillis) {
            dispatch("pause", nowMillis);
        }
    }

    private void checkTimeouts(long nowMillis) {
        long silentMillis = nowMillis - lastActivityMillis;
        boolean lastAttempt = executions + 1 >= route.maxAttempts();
        boolean silentTooLong = silentMillis >= timeouts.inactivityTimeoutMillis(generating);
        if (route.isRetryable() && !lastAttempt && silentTooLong && hasAlternative(nowMillis)) {
            abandonAttempt(timeoutCause(), nowMillis);
        } else if (route.kind() == RouteKind.STREAMING) {
            checkStreamTarget(silentMillis, nowMillis);
        }
    }

    /** Returns whether another target could start immediately; an engine has to prefill the prompt again. */
    private boolean hasAlternative(long nowMillis) {
        if (!service.engine()) {
            return true;
        }
        Set<TargetId> excluded = new HashSet<>(avoided);
        excluded.add(currentAttempt.target().id());
        return loadBalancer.hasSpareCapacity(service, attributes.tokens(), excluded, nowMillis);
    }

    private String timeoutCause() {
        if (route.kind() == RouteKind.IDEMPOTENT) {
            return "no-answer";
        }
        return generating ? "stalled" : "no-first-event";
    }

    private void checkStreamTarget(long silentMillis, long nowMillis) {
        if (nowMillis - Math.max(lastActivityMillis, lastProbeMillis) >= timeouts.probeIntervalMillis(generating)) {
            lastProbeMillis = nowMillis;
            port.probe(currentAttempt);
        }
        boolean due =
                nowMillis - Math.max(lastActivityMillis, lastReportRequestMillis) >= timeouts.reportIntervalMillis();
        if (service.engine() && due && silentMillis >= timeouts.reportDelayMillis(generating)) {
            lastReportRequestMillis = nowMillis;
            port.requestEngineReport(currentAttempt);
        }
    }

    private void abandonAttempt(String cause, long nowMillis) {
        port.cancel(currentAttempt);
        onAttemptLost(currentAttempt.number(), cause, nowMillis);
    }

    private void forwardEvents(ByteArrayOutputStream newEvents) {
        if (newEvents.size() > 0) {
            openStream();
            port.writeEvents(newEvents.toByteArray());
        }
    }

    private void openStream() {
        if (!clientStreamOpened) {
            clientStreamOpened = true;
            port.openStream(streamHead);
        }
    }

    private boolean isCurrent(int attempt) {
        return !completed && currentAttempt != null && currentAttempt.number() == attempt;
    }

    private void markGenerating(long nowMillis) {
        generating = true;
        poisonDetector.recordResponse(nowMillis);
        loadBalancer.recordSuccess(currentAttempt.target(), nowMillis);
        loadBalancer.removeLoad(currentAttempt.target(), countedLoad);
        countedLoad = InFlightLoad.generating(attributes.tokens());
        loadBalancer.addLoad(currentAttempt.target(), countedLoad);
        recordDecision("first-event", currentAttempt, "running", 0, nowMillis);
    }

    private Attempt releaseAttempt() {
        Attempt ended = currentAttempt;
        loadBalancer.removeLoad(ended.target(), countedLoad);
        kvCacheBackup.release(ended, usableCopy);
        currentAttempt = null;
        return ended;
    }

    private void scheduleTimer(long nowMillis) {
        if (completed) {
            return;
        }
        port.scheduleTimer(Math.min(deadlineMillis, nextTimerMillis(nowMillis)));
    }

    private long nextTimerMillis(long nowMillis) {
        if (currentAttempt == null) {
            return resumeAtMillis;
        }
        return switch (route.kind()) {
            case IDEMPOTENT -> {
                long abandonAtMillis = sentAtMillis + timeouts.inactivityTimeoutMillis(generating);
                yield abandonAtMillis > nowMillis ? abandonAtMillis : deadlineMillis;
            }
            case NON_IDEMPOTENT -> deadlineMillis;
            case STREAMING -> Math.max(lastActivityMillis, lastProbeMillis) + timeouts.probeIntervalMillis(generating);
        };
    }

    private void complete(String step, Attempt attempt, String cause, int status, long nowMillis) {
        completed = true;
        port.recordDecision(decision(step, attempt, cause, status, nowMillis, true));
    }

    private void recordDecision(String step, Attempt attempt, String cause, int status, long nowMillis) {
        port.recordDecision(decision(step, attempt, cause, status, nowMillis, false));
    }

    private ForwardingDecision decision(
            String step, Attempt attempt, String cause, int status, long nowMillis, boolean last) {
        return new ForwardingDecision(
                step,
                attempt == null ? attempts : attempt.number(),
                Optional.ofNullable(attempt).map(concerned -> concerned.target().id()),
                cause,
                status,
                nowMillis - arrivedAtMillis,
                lastEventId,
                last);
    }
}
