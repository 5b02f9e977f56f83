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
    private static final long EVENTS_ON_THE_WAY = 2;

    /** Pause before a running stream looks for a target again. */
    private static final long RESUME_PAUSE_MILLIS = 60;

    /** Arrivals at targets beyond the attempts of the route, for those that did not run. */
    private static final int EXTRA_ARRIVALS = 3;

    /** Advice to a client whose request found no target. */
    private static final long NO_TARGET_RETRY_MILLIS = 300;

    /** Statuses that promise a client that its request did not run; a target's word for it is another header. */
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 429, 503);

    /** Causes after which an engine is not tried again: it is dead, or does not make progress. */
    private static final Set<String> NO_RETURN = Set.of("unreachable", "stalled", "no-first-event");

    private final RequestAttributes call;
    private final Route route;
    private final ServiceDefinition service;
    private final Optional<Integer> urgency;
    private final TargetLoadBalancer picker;
    private final FleetRetryBudget budget;
    private final PoisonDetector crashes;
    private final ForwardingPort port;
    private final AttemptTimeouts silence;
    private final KvCacheBackup copies;
    private final Set<TargetId> avoided = new HashSet<>();

    private long arrivedAtMillis;
    private long deadlineMillis;
    private Attempt current;
    private long sentAtMillis;
    private long activeAtMillis;
    private long probedAtMillis;
    private long pausedUntilMillis;
    private int sends;
    private int arrivals;
    private int runs;
    private TargetResponse head;
    private boolean opened;
    private long lastEvent = -1;
    private boolean completed;

    /** Whether the current attempt has sent events; an engine copies a run's memory only once it runs. */
    private boolean eventsOfAttempt;

    /** What the picker counts for the current attempt; one that goes on from a copy has no prompt to read. */
    private InFlightLoad counted = InFlightLoad.NONE;

    /** Copy of the attempt that was lost last. */
    private Optional<KvCacheCopy> keptCopy = Optional.empty();

    /** Engine that lost the last attempt but may have the prompt in its cache. */
    private EntryTarget returnTo;

    private boolean returned;
    private long reportedAtMillis;

    /** Creates a request; {@link #start} sends it. */
    public ForwardedRequest(
            RequestAttributes call,
            Route route,
            ServiceDefinition service,
            Optional<Integer> urgency,
            TargetLoadBalancer picker,
            FleetRetryBudget budget,
            CrashHistory crashes,
            ForwardingPort port) {
        this.call = Objects.requireNonNull(call, "call");
        this.route = Objects.requireNonNull(route, "route");
        this.service = Objects.requireNonNull(service, "service");
        this.urgency = Objects.requireNonNull(urgency, "urgency");
        this.picker = Objects.requireNonNull(picker, "picker");
        this.budget = Objects.requireNonNull(budget, "budget");
        this.port = Objects.requireNonNull(port, "port");
        this.crashes = new PoisonDetector(call.fingerprint(), crashes, picker, port);
        this.silence = new AttemptTimeouts(route);
        this.copies = new KvCacheBackup(call, service, picker, port);
    }

    /** Returns whether the request has its final answer. */
    public boolean completed() {
        return completed;
    }

    /** Sends the request for the first time. */
    public void start(long nowMillis) {
        arrivedAtMillis = nowMillis;
        long wait = Math.min(route.timeoutMillis(), call.timeLeftMillis().orElse(route.timeoutMillis()));
        deadlineMillis = nowMillis + wait;
        lastEvent = call.lastEventId().orElse(-1L);
        budget.recordRequest();
        OptionalLong refusal = call.lastEventId().isPresent()
                ? OptionalLong.empty()
                : picker.retryAfterMillis(service, call.tokens(), nowMillis);
        if (refusal.isPresent()) {
            giveUp(Rejection.retryLater(refusal.getAsLong(), "overloaded"), nowMillis);
            return;
        }
        dispatch("arrived", nowMillis);
    }

    /** Takes a whole answer of a target. */
    public void onResponse(int attempt, TargetResponse answer, long nowMillis) {
        if (!isCurrent(attempt)) {
            return;
        }
        Attempt ending = release();
        if (answer.notRun() || answer.status() == 421) {
            notRun(ending, answer, nowMillis);
            return;
        }
        boolean untrue = !route.isRetryable() && NOT_RUN_STATUSES.contains(answer.status());
        boolean unusable =
                untrue || opened || (answer.isSuccess() && (!answer.stamped() || route.kind() == RouteKind.STREAMING));
        runs++;
        if (unusable || (answer.status() >= 500 && route.isRetryable() && mayRepeat())) {
            failedRun(ending, "status-" + answer.status(), nowMillis);
            return;
        }
        picker.recordSuccess(ending.target(), nowMillis);
        crashes.recordResponse(nowMillis);
        end("answered", ending, "whole", answer.status(), nowMillis);
        port.respond(answer);
    }

    /** Takes the head of an event stream. */
    public void onStreamOpened(int attempt, TargetResponse answer, long nowMillis) {
        if (!isCurrent(attempt)) {
            return;
        }
        activeAtMillis = nowMillis;
        if (!answer.stamped()) {
            port.cancel(current);
            onAttemptLost(attempt, "no-stamp", nowMillis);
            return;
        }
        if (!opened) {
            head = answer;
        }
    }

    /** Takes whole events of a stream. */
    public void onEvents(int attempt, List<StreamEvent> events, long nowMillis) {
        if (!isCurrent(attempt)) {
            return;
        }
        activeAtMillis = nowMillis;
        if (!eventsOfAttempt) {
            begin(nowMillis);
        }
        ByteArrayOutputStream fresh = new ByteArrayOutputStream();
        for (StreamEvent event : events) {
            if (lastEvent >= 0 && event.id() <= lastEvent) {
                continue;
            }
            if (lastEvent >= 0 && event.id() > lastEvent + 1) {
                pass(fresh);
                port.cancel(current);
                onAttemptLost(attempt, "event-" + event.id() + "-after-" + lastEvent, nowMillis);
                return;
            }
            lastEvent = event.id();
            fresh.writeBytes(event.bytes());
        }
        pass(fresh);
        if (route.isRetryable()) {
            copies.refresh(current, avoided, nowMillis);
        }
        wake(nowMillis);
    }

    /** Takes the id of a copy that the engine of an attempt made at another one; empty if it made none. */
    public void onCopyCompleted(Attempt attempt, EntryTarget holder, Optional<String> copyId, long nowMillis) {
        if (!isCurrent(attempt.number())) {
            return;
        }
        copies.onCopyCompleted(attempt, holder, copyId);
        decide(copyId.isPresent() ? "copied" : "not-copied", current, "to-" + holder.id(), 0, nowMillis);
    }

    /** Takes the regular end of an event stream. */
    public void onStreamEnded(int attempt, long nowMillis) {
        if (!isCurrent(attempt)) {
            return;
        }
        Attempt ending = release();
        picker.recordSuccess(ending.target(), nowMillis);
        open();
        end("answered", ending, "complete", head.status(), nowMillis);
        port.endStream();
    }

    /** Takes that no byte of an attempt was sent. */
    public void onNotSent(int attempt, String cause, long nowMillis) {
        if (!isCurrent(attempt)) {
            return;
        }
        Attempt ending = release();
        arrivals--;
        if (arrivals > 0) {
            budget.release();
        }
        picker.recordUnreachable(ending.target(), nowMillis);
        avoided.add(ending.target().id());
        decide("not-sent", ending, cause, 0, nowMillis);
        again("not-sent", nowMillis);
    }

    /** Takes that an attempt ended without an answer after bytes of it had been sent. */
    public void onAttemptLost(int attempt, String cause, long nowMillis) {
        if (!isCurrent(attempt)) {
            return;
        }
        keptCopy = eventsOfAttempt ? copies.findUsableCopy(nowMillis) : Optional.empty();
        Attempt ending = release();
        runs++;
        if (!eventsOfAttempt) {
            crashes.onAttemptLost(ending, cause);
        }
        boolean mayHavePrompt = route.kind() == RouteKind.STREAMING && !returned && !NO_RETURN.contains(cause);
        returnTo = mayHavePrompt ? ending.target() : null;
        failedRun(ending, cause, nowMillis);
    }

    /**
     * Takes an engine's report; empty if it could not be had.
     *
     * <p>An engine that has made events which did not arrive has lost its answer. That the request is missing in the report
     * says nothing, because an engine lists it only once its prompt has been read.
     */
    public void onEngineReport(int attempt, Optional<EngineReport> report, long nowMillis) {
        if (!isCurrent(attempt) || report.isEmpty() || nowMillis - activeAtMillis < silence.reportIntervalMillis()) {
            return;
        }
        Long made = report.get().eventsByRequest().get(call.id());
        if (made != null && made > lastEvent + 1 + EVENTS_ON_THE_WAY) {
            abandon("events-missing", nowMillis);
        }
    }

    /** Takes whether the target of a lost attempt accepts connections; if not, it crashed. */
    public void onCrashCheckResult(Attempt attempt, boolean reachable, long nowMillis) {
        if (!reachable) {
            boolean counted = crashes.recordUnreachable(attempt, nowMillis);
            decide(counted ? "crash-counted" : "crash-with-domain", attempt, "unreachable", 0, nowMillis);
        }
    }

    /** Takes the result of a probe. */
    public void onProbeResult(int attempt, boolean reachable, long nowMillis) {
        if (!isCurrent(attempt) || reachable || activeAtMillis >= probedAtMillis) {
            return;
        }
        picker.recordUnreachable(current.target(), nowMillis);
        port.cancel(current);
        onAttemptLost(attempt, "unreachable", nowMillis);
    }

    /** Takes that the client closed its connection. */
    public void onClientDisconnected(long nowMillis) {
        if (completed) {
            return;
        }
        Attempt cancelled = current;
        if (cancelled != null) {
            port.cancel(cancelled);
            release();
        }
        end("caller-left", cancelled, "connection-closed", 0, nowMillis);
    }

    /** Acts on the time that has passed. */
    public void onTimer(long nowMillis) {
        if (completed) {
            return;
        }
        if (nowMillis >= deadlineMillis) {
            expire(nowMillis);
        } else if (current == null) {
            resumeAfterPause(nowMillis);
        } else {
            watch(nowMillis);
        }
        wake(nowMillis);
    }

    private void dispatch(String cause, long nowMillis) {
        if (crashes.isPoison(nowMillis)) {
            giveUp(Rejection.of(502, "crashes-targets"), nowMillis);
            return;
        }
        Optional<EntryTarget> back = takeReturn(nowMillis);
        Optional<KvCacheCopy> copy = back.isPresent() ? Optional.empty() : takeCopy(nowMillis);
        Optional<EntryTarget> target = back.or(() -> copy.map(KvCacheCopy::engine))
                .or(() -> picker.chooseTarget(service, call.tokens(), avoided, nowMillis));
        if (target.isEmpty()) {
            noTarget("no-target", nowMillis);
            return;
        }
        if (arrivals > 0 && !budget.tryAcquire(nowMillis)) {
            keptCopy = copy;
            noTarget("repeat-budget", nowMillis);
            return;
        }
        Optional<EntryTarget> nextHolder =
                route.isRetryable() ? copies.assign(target.get(), avoided, nowMillis) : Optional.empty();
        sends++;
        arrivals++;
        current = new Attempt(
                sends,
                target.get(),
                deadlineMillis - nowMillis,
                lastEvent < 0 ? Optional.empty() : Optional.of(lastEvent),
                nextHolder,
                copy,
                urgency);
        crashes.recordSend(sends, nowMillis);
        counted = copy.isPresent() ? InFlightLoad.generating(call.tokens()) : InFlightLoad.prefilling(call.tokens());
        picker.addLoad(target.get(), counted);
        eventsOfAttempt = false;
        sentAtMillis = nowMillis;
        activeAtMillis = nowMillis;
        probedAtMillis = nowMillis;
        reportedAtMillis = nowMillis;
        decide(copy.isPresent() ? "sent-to-copy" : "sent", current, cause, 0, nowMillis);
        port.send(current);
        wake(nowMillis);
    }

    /** Returns the engine that lost the last attempt; each request goes back once. */
    private Optional<EntryTarget> takeReturn(long nowMillis) {
        EntryTarget target = returnTo;
        returnTo = null;
        if (target == null
                || !picker.isRegistered(target)
                || picker.isDomainFailing(target.failureDomain(), nowMillis)) {
            return Optional.empty();
        }
        returned = true;
        return Optional.of(target);
    }

    /** Returns the copy of the attempt that was lost last; a copy serves once. */
    private Optional<KvCacheCopy> takeCopy(long nowMillis) {
        Optional<KvCacheCopy> copy = keptCopy.filter(
                        kept -> !avoided.contains(kept.engine().id()))
                .filter(kept -> picker.isAvailable(kept.engine(), nowMillis));
        keptCopy = Optional.empty();
        return copy;
    }

    private void notRun(Attempt ending, TargetResponse answer, long nowMillis) {
        avoided.add(ending.target().id());
        if (answer.status() == 421) {
            picker.recordFailure(ending.target(), nowMillis);
        }
        decide("not-run", ending, "status-" + answer.status(), answer.status(), nowMillis);
        again("not-run", nowMillis);
    }

    private void failedRun(Attempt ending, String cause, long nowMillis) {
        picker.recordFailure(ending.target(), nowMillis);
        avoided.add(ending.target().id());
        decide("lost", ending, cause, 0, nowMillis);
        if (!route.isRetryable() || !mayRepeat()) {
            giveUp(Rejection.of(502, cause), nowMillis);
            return;
        }
        again(cause, nowMillis);
    }

    private boolean mayRepeat() {
        return runs < route.maxAttempts();
    }

    private void again(String cause, long nowMillis) {
        if (arrivals >= route.maxAttempts() + EXTRA_ARRIVALS) {
            giveUp(finalRejection(cause), nowMillis);
            return;
        }
        dispatch(cause, nowMillis);
    }

    private void noTarget(String cause, long nowMillis) {
        if (!opened) {
            giveUp(finalRejection(cause), nowMillis);
            return;
        }
        avoided.clear();
        pausedUntilMillis = nowMillis + RESUME_PAUSE_MILLIS;
        wake(nowMillis);
    }

    private Rejection finalRejection(String cause) {
        return runs > 0 ? Rejection.of(502, cause) : Rejection.retryLater(NO_TARGET_RETRY_MILLIS, cause);
    }

    private void giveUp(Rejection rejection, long nowMillis) {
        if (opened) {
            end("broken-off", null, rejection.reason(), 0, nowMillis);
            port.abort();
            return;
        }
        end("rejected", null, rejection.reason(), rejection.status(), nowMillis);
        port.reject(rejection);
    }

    private void expire(long nowMillis) {
        boolean mayHaveRun = current != null || runs > 0;
        if (current != null) {
            port.cancel(current);
            release();
        }
        giveUp(mayHaveRun ? Rejection.of(504, "timeout") : Rejection.retryLater(0, "timeout"), nowMillis);
    }

    private void resumeAfterPause(long nowMillis) {
        if (nowMillis >= pausedUntilMillis) {
            dispatch("pause", nowMillis);
        }
    }

    private void watch(long nowMillis) {
        long silentMillis = nowMillis - activeAtMillis;
        boolean lastAttempt = runs + 1 >= route.maxAttempts();
        boolean silentTooLong = silentMillis >= silence.giveUpMillis(eventsOfAttempt);
        if (route.isRetryable() && !lastAttempt && silentTooLong && hasAlternative(nowMillis)) {
            abandon(silenceCause(), nowMillis);
        } else if (route.kind() == RouteKind.STREAMING) {
            examine(silentMillis, nowMillis);
        }
    }

    /** Returns whether giving up the current attempt helps: a stream's prompt would have to be read once more. */
    private boolean hasAlternative(long nowMillis) {
        if (!service.engine()) {
            return true;
        }
        Set<TargetId> elsewhere = new HashSet<>(avoided);
        elsewhere.add(current.target().id());
        return picker.hasSpareCapacity(service, call.tokens(), elsewhere, nowMillis);
    }

    private String silenceCause() {
        if (route.kind() == RouteKind.IDEMPOTENT) {
            return "no-answer";
        }
        return eventsOfAttempt ? "stalled" : "no-first-event";
    }

    private void examine(long silentMillis, long nowMillis) {
        if (nowMillis - Math.max(activeAtMillis, probedAtMillis) >= silence.probeMillis(eventsOfAttempt)) {
            probedAtMillis = nowMillis;
            port.probe(current);
        }
        boolean due = nowMillis - Math.max(activeAtMillis, reportedAtMillis) >= silence.reportIntervalMillis();
        if (service.engine() && due && silentMillis >= silence.reportMillis(eventsOfAttempt)) {
            reportedAtMillis = nowMillis;
            port.requestEngineReport(current);
        }
    }

    private void abandon(String cause, long nowMillis) {
        port.cancel(current);
        onAttemptLost(current.number(), cause, nowMillis);
    }

    private void pass(ByteArrayOutputStream fresh) {
        if (fresh.size() > 0) {
            open();
            port.writeEvents(fresh.toByteArray());
        }
    }

    private void open() {
        if (!opened) {
            opened = true;
            port.openStream(head);
        }
    }

    private boolean isCurrent(int attempt) {
        return !completed && current != null && current.number() == attempt;
    }

    private void begin(long nowMillis) {
        eventsOfAttempt = true;
        crashes.recordResponse(nowMillis);
        picker.recordSuccess(current.target(), nowMillis);
        picker.removeLoad(current.target(), counted);
        counted = InFlightLoad.generating(call.tokens());
        picker.addLoad(current.target(), counted);
        decide("first-event", current, "running", 0, nowMillis);
    }

    private Attempt release() {
        Attempt ending = current;
        picker.removeLoad(ending.target(), counted);
        copies.release(ending, keptCopy);
        current = null;
        return ending;
    }

    private void wake(long nowMillis) {
        if (completed) {
            return;
        }
        port.scheduleTimer(Math.min(deadlineMillis, nextCheck(nowMillis)));
    }

    private long nextCheck(long nowMillis) {
        if (current == null) {
            return pausedUntilMillis;
        }
        return switch (route.kind()) {
            case IDEMPOTENT -> {
                long givenUpAt = sentAtMillis + silence.giveUpMillis(eventsOfAttempt);
                yield givenUpAt > nowMillis ? givenUpAt : deadlineMillis;
            }
            case NON_IDEMPOTENT -> deadlineMillis;
            case STREAMING -> Math.max(activeAtMillis, probedAtMillis) + silence.probeMillis(eventsOfAttempt);
        };
    }

    private void end(String step, Attempt attempt, String cause, int status, long nowMillis) {
        completed = true;
        port.recordDecision(decision(step, attempt, cause, status, nowMillis, true));
    }

    private void decide(String step, Attempt attempt, String cause, int status, long nowMillis) {
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
                lastEvent,
                last);
    }
}
