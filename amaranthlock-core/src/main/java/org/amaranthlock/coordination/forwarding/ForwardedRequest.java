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
 * Life of one forwarded request, from its admission to its final answer.
 *
 * <p>A request that may not be repeated goes to a second target only if the first one said that it did not run it, or if
 * no byte was sent. An event stream that may be resumed goes on at another target behind the last event that the client
 * has. Events of attempts that are no longer the current one are ignored. Not thread-safe.
 */
public final class ForwardedRequest {
    /** Events that may be on their way when an engine reports that it made them. */
    private static final long MAX_EVENTS_IN_TRANSIT = 2;

    /** Pause before a running stream looks for a target again. */
    private static final long RESUME_DELAY_MILLIS = 60;

    /** Arrivals at targets beyond the attempts of the route, for those that did not run. */
    private static final int EXTRA_DELIVERIES = 3;

    /** Advice to a client whose request found no target. */
    private static final long NO_TARGET_RETRY_AFTER_MILLIS = 300;

    /** Statuses that promise a client that its request did not run; a target's word for it is another header. */
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 429, 503);

    /** Causes after which an engine is not tried again: it is dead, or does not make progress. */
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
    private long pausedUntilMillis;
    private int sends;
    private int deliveries;
    private int executions;
    private TargetResponse head;
    private boolean streamOpened;
    private long lastEventId = -1;
    private boolean isCompleted;

    /** Whether the current attempt has sent events; an engine copies a run's memory only once it runs. */
    private boolean generating;

    /** What the picker counts for the current attempt; one that goes on from a copy has no prompt to read. */
    private InFlightLoad countedLoad = InFlightLoad.NONE;

    /** Copy of the attempt that was lost last. */
    private Optional<KvCacheCopy> usableCopy = Optional.empty();

    /** Engine that lost the last attempt but may have the prompt in its cache. */
    private EntryTarget sameTarget;

    private boolean retriedOnSameTarget;
    private long lastReportRequestMillis;

    /** Creates a request; {@link #start} sends it. */
    public ForwardedRequest(
            RequestAttributes attributes,
            Route route,
            ServiceDefinition service,
            Optional<Integer> priority,
            TargetLoadBalancer loadBalancer,
            FleetRetryBudget retryBudget,
            CrashHistory crashHistory,
            ForwardingPort port) {
        this.attributes = Objects.requireNonNull(attributes, "call");
        this.route = Objects.requireNonNull(route, "route");
        this.service = Objects.requireNonNull(service, "service");
        this.priority = Objects.requireNonNull(priority, "urgency");
        this.loadBalancer = Objects.requireNonNull(loadBalancer, "picker");
        this.retryBudget = Objects.requireNonNull(retryBudget, "budget");
        this.port = Objects.requireNonNull(port, "port");
        this.poisonDetector = new PoisonDetector(attributes.fingerprint(), crashHistory, loadBalancer, port);
        this.timeouts = new AttemptTimeouts(route);
        this.kvCacheBackup = new KvCacheBackup(attributes, service, loadBalancer, port);
    }

    /** Returns whether the request has its final answer. */
    public boolean isCompleted() {
        return isCompleted;
    }

    /** Sends the request for the first time. */
    public void start(long nowMillis) {
        arrivedAtMillis = nowMillis;
        long wait = Math.min(route.timeoutMillis(), attributes.timeLeftMillis().orElse(route.timeoutMillis()));
        deadlineMillis = nowMillis + wait;
        lastEventId = attributes.lastEventId().orElse(-1L);
        retryBudget.recordRequest();
        OptionalLong refusal = attributes.lastEventId().isPresent()
                ? OptionalLong.empty()
                : loadBalancer.retryAfterMillis(service, attributes.tokens(), nowMillis);
        if (refusal.isPresent()) {
            fail(Rejection.retryLater(refusal.getAsLong(), "overloaded"), nowMillis);
            return;
        }
        dispatch("arrived", nowMillis);
    }

    /** Takes a whole answer of a target. */
    public void onResponse(int attempt, TargetResponse response, long nowMillis) {
        if (!isCurrent(attempt)) {
            return;
        }
        Attempt ending = releaseAttempt();
        if (response.notRun() || response.status() == 421) {
            handleNotRun(ending, response, nowMillis);
            return;
        }
        boolean untrue = !route.isRetryable() && NOT_RUN_STATUSES.contains(response.status());
        boolean unusable =
                untrue || streamOpened || (response.isSuccess() && (!response.stamped() || route.kind() == RouteKind.STREAMING));
        executions++;
        if (unusable || (response.status() >= 500 && route.isRetryable() && hasAttemptsLeft())) {
            handleFailure(ending, "status-" + response.status(), nowMillis);
            return;
        }
        loadBalancer.recordSuccess(ending.target(), nowMillis);
        poisonDetector.recordResponse(nowMillis);
        complete("answered", ending, "whole", response.status(), nowMillis);
        port.respond(response);
    }

    /** Takes the head of an event stream. */
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
        if (!streamOpened) {
            head = response;
        }
    }

    /** Takes whole events of a stream. */
    public void onEvents(int attempt, List<StreamEvent> events, long nowMillis) {
        if (!isCurrent(attempt)) {
            return;
        }
        lastActivityMillis = nowMillis;
        if (!generating) {
            markGenerating(nowMillis);
        }
        ByteArrayOutputStream fresh = new ByteArrayOutputStream();
        for (StreamEvent event : events) {
            if (lastEventId >= 0 && event.id() <= lastEventId) {
                continue;
            }
            if (lastEventId >= 0 && event.id() > lastEventId + 1) {
                forwardEvents(fresh);
                port.cancel(currentAttempt);
                onAttemptLost(attempt, "event-" + event.id() + "-after-" + lastEventId, nowMillis);
                return;
            }
            lastEventId = event.id();
            fresh.writeBytes(event.bytes());
        }
        forwardEvents(fresh);
        if (route.isRetryable()) {
            kvCacheBackup.refresh(currentAttempt, avoided, nowMillis);
        }
        scheduleTimer(nowMillis);
    }

    /** Takes the id of a copy that the engine of an attempt made at another one; empty if it made none. */
    public void onCopyCompleted(Attempt attempt, EntryTarget backup, Optional<String> copyId, long nowMillis) {
        if (!isCurrent(attempt.number())) {
            return;
        }
        kvCacheBackup.onCopyCompleted(attempt, backup, copyId);
        recordDecision(copyId.isPresent() ? "copied" : "not-copied", currentAttempt, "to-" + backup.id(), 0, nowMillis);
    }

    /** Takes the regular end of an event stream. */
    public void onStreamEnded(int attempt, long nowMillis) {
        if (!isCurrent(attempt)) {
            return;
        }
        Attempt ending = releaseAttempt();
        loadBalancer.recordSuccess(ending.target(), nowMillis);
        openStream();
        complete("answered", ending, "complete", head.status(), nowMillis);
        port.endStream();
    }

    /** Takes that no byte of an attempt was sent. */
    public void onNotSent(int attempt, String cause, long nowMillis) {
        if (!isCurrent(attempt)) {
            return;
        }
        Attempt ending = releaseAttempt();
        deliveries--;
        if (deliveries > 0) {
            retryBudget.release();
        }
        loadBalancer.recordUnreachable(ending.target(), nowMillis);
        avoided.add(ending.target().id());
        recordDecision("not-sent", ending, cause, 0, nowMillis);
        retry("not-sent", nowMillis);
    }

    /** Takes that an attempt ended without an answer after bytes of it had been sent. */
    public void onAttemptLost(int attempt, String cause, long nowMillis) {
        if (!isCurrent(attempt)) {
            return;
        }
        usableCopy = generating ? kvCacheBackup.findUsableCopy(nowMillis) : Optional.empty();
        Attempt ending = releaseAttempt();
        executions++;
        if (!generating) {
            poisonDetector.onAttemptLost(ending, cause);
        }
        boolean mayHavePrompt = route.kind() == RouteKind.STREAMING && !retriedOnSameTarget && !NO_SAME_TARGET_CAUSES.contains(cause);
        sameTarget = mayHavePrompt ? ending.target() : null;
        handleFailure(ending, cause, nowMillis);
    }

    /**
     * Takes an engine's report; empty if it could not be had.
     *
     * <p>An engine that has made events which did not arrive has lost its answer. That the request is missing in the report
     * says nothing, because an engine lists it only once its prompt has been read.
     */
    public void onEngineReport(int attempt, Optional<EngineReport> report, long nowMillis) {
        if (!isCurrent(attempt) || report.isEmpty() || nowMillis - lastActivityMillis < timeouts.reportIntervalMillis()) {
            return;
        }
        Long made = report.get().eventsByRequest().get(attributes.id());
        if (made != null && made > lastEventId + 1 + MAX_EVENTS_IN_TRANSIT) {
            abandonAttempt("events-missing", nowMillis);
        }
    }

    /** Takes whether the target of a lost attempt accepts connections; if not, it crashed. */
    public void onCrashCheckResult(Attempt attempt, boolean reachable, long nowMillis) {
        if (!reachable) {
            boolean counted = poisonDetector.recordUnreachable(attempt, nowMillis);
            recordDecision(counted ? "crash-counted" : "crash-with-domain", attempt, "unreachable", 0, nowMillis);
        }
    }

    /** Takes the result of a probe. */
    public void onProbeResult(int attempt, boolean reachable, long nowMillis) {
        if (!isCurrent(attempt) || reachable || lastActivityMillis >= lastProbeMillis) {
            return;
        }
        loadBalancer.recordUnreachable(currentAttempt.target(), nowMillis);
        port.cancel(currentAttempt);
        onAttemptLost(attempt, "unreachable", nowMillis);
    }

    /** Takes that the client closed its connection. */
    public void onClientDisconnected(long nowMillis) {
        if (isCompleted) {
            return;
        }
        Attempt cancelled = currentAttempt;
        if (cancelled != null) {
            port.cancel(cancelled);
            releaseAttempt();
        }
        complete("caller-left", cancelled, "connection-closed", 0, nowMillis);
    }

    /** Acts on the time that has passed. */
    public void onTimer(long nowMillis) {
        if (isCompleted) {
            return;
        }
        if (nowMillis >= deadlineMillis) {
            handleDeadline(nowMillis);
        } else if (currentAttempt == null) {
            resumeAfterPause(nowMillis);
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
        Optional<EntryTarget> back = takeSameTarget(nowMillis);
        Optional<KvCacheCopy> copy = back.isPresent() ? Optional.empty() : takeUsableCopy(nowMillis);
        Optional<EntryTarget> target = back.or(() -> copy.map(KvCacheCopy::engine))
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
        Optional<EntryTarget> nextHolder =
                route.isRetryable() ? kvCacheBackup.assign(target.get(), avoided, nowMillis) : Optional.empty();
        sends++;
        deliveries++;
        currentAttempt = new Attempt(
                sends,
                target.get(),
                deadlineMillis - nowMillis,
                lastEventId < 0 ? Optional.empty() : Optional.of(lastEventId),
                nextHolder,
                copy,
                priority);
        poisonDetector.recordSend(sends, nowMillis);
        countedLoad = copy.isPresent() ? InFlightLoad.generating(attributes.tokens()) : InFlightLoad.prefilling(attributes.tokens());
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

    /** Returns the engine that lost the last attempt; each request goes back once. */
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

    /** Returns the copy of the attempt that was lost last; a copy serves once. */
    private Optional<KvCacheCopy> takeUsableCopy(long nowMillis) {
        Optional<KvCacheCopy> copy = usableCopy.filter(
                        kept -> !avoided.contains(kept.engine().id()))
                .filter(kept -> loadBalancer.isAvailable(kept.engine(), nowMillis));
        usableCopy = Optional.empty();
        return copy;
    }

    private void handleNotRun(Attempt ending, TargetResponse answer, long nowMillis) {
        avoided.add(ending.target().id());
        if (answer.status() == 421) {
            loadBalancer.recordFailure(ending.target(), nowMillis);
        }
        recordDecision("not-run", ending, "status-" + answer.status(), answer.status(), nowMillis);
        retry("not-run", nowMillis);
    }

    private void handleFailure(Attempt ending, String cause, long nowMillis) {
        loadBalancer.recordFailure(ending.target(), nowMillis);
        avoided.add(ending.target().id());
        recordDecision("lost", ending, cause, 0, nowMillis);
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

    private void handleNoTarget(String cause, long nowMillis) {
        if (!streamOpened) {
            fail(finalRejection(cause), nowMillis);
            return;
        }
        avoided.clear();
        pausedUntilMillis = nowMillis + RESUME_DELAY_MILLIS;
        scheduleTimer(nowMillis);
    }

    private Rejection finalRejection(String cause) {
        return executions > 0 ? Rejection.of(502, cause) : Rejection.retryLater(NO_TARGET_RETRY_AFTER_MILLIS, cause);
    }

    private void fail(Rejection rejection, long nowMillis) {
        if (streamOpened) {
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

    private void resumeAfterPause(long nowMillis) {
        if (nowMillis >= pausedUntilMillis) {
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

    /** Returns whether giving up the current attempt helps: a stream's prompt would have to be read once more. */
    private boolean hasAlternative(long nowMillis) {
        if (!service.engine()) {
            return true;
        }
        Set<TargetId> elsewhere = new HashSet<>(avoided);
        elsewhere.add(currentAttempt.target().id());
        return loadBalancer.hasSpareCapacity(service, attributes.tokens(), elsewhere, nowMillis);
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
        boolean due = nowMillis - Math.max(lastActivityMillis, lastReportRequestMillis) >= timeouts.reportIntervalMillis();
        if (service.engine() && due && silentMillis >= timeouts.reportDelayMillis(generating)) {
            lastReportRequestMillis = nowMillis;
            port.requestEngineReport(currentAttempt);
        }
    }

    private void abandonAttempt(String cause, long nowMillis) {
        port.cancel(currentAttempt);
        onAttemptLost(currentAttempt.number(), cause, nowMillis);
    }

    private void forwardEvents(ByteArrayOutputStream fresh) {
        if (fresh.size() > 0) {
            openStream();
            port.writeEvents(fresh.toByteArray());
        }
    }

    private void openStream() {
        if (!streamOpened) {
            streamOpened = true;
            port.openStream(head);
        }
    }

    private boolean isCurrent(int attempt) {
        return !isCompleted && currentAttempt != null && currentAttempt.number() == attempt;
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
        Attempt ending = currentAttempt;
        loadBalancer.removeLoad(ending.target(), countedLoad);
        kvCacheBackup.release(ending, usableCopy);
        currentAttempt = null;
        return ending;
    }

    private void scheduleTimer(long nowMillis) {
        if (isCompleted) {
            return;
        }
        port.scheduleTimer(Math.min(deadlineMillis, nextTimerMillis(nowMillis)));
    }

    private long nextTimerMillis(long nowMillis) {
        if (currentAttempt == null) {
            return pausedUntilMillis;
        }
        return switch (route.kind()) {
            case IDEMPOTENT -> {
                long givenUpAt = sentAtMillis + timeouts.inactivityTimeoutMillis(generating);
                yield givenUpAt > nowMillis ? givenUpAt : deadlineMillis;
            }
            case NON_IDEMPOTENT -> deadlineMillis;
            case STREAMING -> Math.max(lastActivityMillis, lastProbeMillis) + timeouts.probeIntervalMillis(generating);
        };
    }

    private void complete(String step, Attempt attempt, String cause, int status, long nowMillis) {
        isCompleted = true;
        port.recordDecision(decision(step, attempt, cause, status, nowMillis, true));
    }

    private void recordDecision(String step, Attempt attempt, String cause, int status, long nowMillis) {
        port.recordDecision(decision(step, attempt, cause, status, nowMillis, false));
    }

    private ForwardingDecision decision(
            String step, Attempt attempt, String cause, int status, long nowMillis, boolean last) {
        return new ForwardingDecision(
                step,
                attempt == null ? sends : attempt.number(),
                Optional.ofNullable(attempt).map(made -> made.target().id()),
                cause,
                status,
                nowMillis - arrivedAtMillis,
                lastEventId,
                last);
    }
}
