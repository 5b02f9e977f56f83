package org.amaranthlock.coordination.forwarding;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.amaranthlock.coordination.contention.AdmissionVerdict;
import org.amaranthlock.coordination.contention.RequestRank;
import org.amaranthlock.coordination.contention.WaitingRequest;
import org.amaranthlock.model.AccountId;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Decides whether one request is sent at once, waits at this host or is rejected. Without a queue, it is rejected only
 * if all engines are overloaded. Not thread-safe.
 */
final class StreamAdmission implements QueuedStream {
    private static final String OVERLOADED = "overloaded";

    private final RequestAttributes attributes;
    private final Route route;
    private final ServiceDefinition service;
    private final TargetLoadBalancer loadBalancer;
    private final StartListener onStart;
    private final TurnAwayListener onTurnAway;
    private Optional<StreamQueues> queues = Optional.empty();
    private Optional<AccountId> account = Optional.empty();
    private RequestRank rank = RequestRank.of(0);
    private WaitingRequest request;
    private boolean waiting;
    private long firstEventMillis = -1;

    /** Sends the request, with the cause for the log. */
    interface StartListener {
        void onStart(String cause, long nowMillis);
    }

    /** Rejects the request. */
    interface TurnAwayListener {
        void onTurnedAway(Rejection rejection, long nowMillis);
    }

    StreamAdmission(
            RequestAttributes attributes,
            Route route,
            ServiceDefinition service,
            TargetLoadBalancer loadBalancer,
            StartListener onStart,
            TurnAwayListener onTurnAway) {
        this.attributes = Objects.requireNonNull(attributes, "attributes");
        this.route = Objects.requireNonNull(route, "route");
        this.service = Objects.requireNonNull(service, "service");
        this.loadBalancer = Objects.requireNonNull(loadBalancer, "load balancer");
        this.onStart = Objects.requireNonNull(onStart, "start listener");
        this.onTurnAway = Objects.requireNonNull(onTurnAway, "turn-away listener");
    }

    /** Lets the request wait in a queue. */
    void queueBy(StreamQueues streamQueues, Optional<ApiKeyOwner> owner) {
        queues = route.kind() == RouteKind.STREAMING ? Optional.of(streamQueues) : Optional.empty();
        account = owner.map(ApiKeyOwner::account);
        OptionalInt accountPriority = owner.isPresent() ? owner.get().priority() : OptionalInt.empty();
        rank = accountPriority.isPresent()
                ? RequestRank.of(accountPriority.getAsInt(), route.priority())
                : RequestRank.of(route.priority());
    }

    RequestAttributes attributes() {
        return attributes;
    }

    Route route() {
        return route;
    }

    ServiceDefinition service() {
        return service;
    }

    /** Sends or rejects the request, or lets it wait, when it arrives. */
    void arrive(long deadlineMillis, long nowMillis) {
        switch (decide(deadlineMillis, nowMillis)) {
            case AdmissionVerdict.Start _ -> onStart.onStart("arrived", nowMillis);
            case AdmissionVerdict.Wait _ -> waiting = true;
            case AdmissionVerdict.TurnAway away -> onTurnedAway(away, nowMillis);
        }
    }

    /** Returns whether the request waits. */
    boolean waiting() {
        return waiting;
    }

    /** Starts the waiting requests of this host for which there is room; these need not include this one. */
    void check(long nowMillis) {
        queues.orElseThrow().check(service.name(), nowMillis);
    }

    /** Returns the time of the next check for room if the request waits; otherwise {@code otherwiseMillis}. */
    long dueMillis(long otherwiseMillis, long nowMillis) {
        return waiting ? queues.orElseThrow().nextCheckMillis(service, nowMillis) : otherwiseMillis;
    }

    /** Ends the wait of a request that has ended. */
    void leave(String cause, long nowMillis) {
        if (waiting) {
            waiting = false;
            queues.orElseThrow().leave(this, service, cause, nowMillis);
        }
    }

    void recordFirstEvent(long nowMillis) {
        firstEventMillis = nowMillis;
    }

    /** Records that the stream has ended; learns from those that one engine answered without a pause. */
    void recordEnd(int attempts, boolean paused, long nowMillis) {
        if (queues.isPresent()
                && attempts == 1
                && !paused
                && firstEventMillis >= 0
                && attributes.lastEventId().isEmpty()) {
            queues.get().recordGeneration(attributes, route, account, nowMillis - firstEventMillis);
        }
    }

    @Override
    public String id() {
        return attributes.id();
    }

    @Override
    public WaitingRequest request() {
        return request;
    }

    @Override
    public void onStart(long nowMillis) {
        waiting = false;
        onStart.onStart("room-found", nowMillis);
    }

    @Override
    public void onTurnedAway(AdmissionVerdict.TurnAway verdict, long nowMillis) {
        waiting = false;
        onTurnAway.onTurnedAway(Rejection.retryLater(verdict.retryAfterMillis(), verdict.reason()), nowMillis);
    }

    /** Returns the verdict on the request if it arrived now, with a copy of the random generator; changes nothing. */
    AdmissionVerdict preview(long deadlineMillis, UniformRandomProvider copy, long nowMillis) {
        if (attributes.lastEventId().isPresent()) {
            return new AdmissionVerdict.Start();
        }
        return queues.isEmpty()
                ? shed(loadBalancer.previewRetryAfterMillis(service, attributes.tokens(), copy, nowMillis))
                : queues.get().preview(attributes, route, service, account, rank, deadlineMillis, copy, nowMillis);
    }

    private AdmissionVerdict decide(long deadlineMillis, long nowMillis) {
        if (attributes.lastEventId().isPresent()) {
            return new AdmissionVerdict.Start(); // resumed by its client: sent on any route
        }
        if (queues.isEmpty()) {
            return shed(loadBalancer.retryAfterMillis(service, attributes.tokens(), nowMillis));
        }
        request = queues.get().describe(attributes, route, service, account, rank, deadlineMillis, nowMillis);
        return queues.get().arrive(this, service, nowMillis);
    }

    private static AdmissionVerdict shed(OptionalLong retryAfterMillis) {
        return retryAfterMillis.isPresent()
                ? new AdmissionVerdict.TurnAway(OVERLOADED, retryAfterMillis.getAsLong(), 0, 0, 1, 0)
                : new AdmissionVerdict.Start();
    }
}
