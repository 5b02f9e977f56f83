package org.amaranthlock.coordination.forwarding;

import java.util.Objects;
import java.util.Optional;

/**
 * Attempts of one request: the current one, the load that it counts as, and how many targets may have executed the
 * request. Not thread-safe.
 */
final class AttemptTracker {
    /** Deliveries to targets beyond the maximum attempts of the route, for targets that did not execute the request. */
    private static final int EXTRA_DELIVERIES = 3;

    private final TargetLoadBalancer loadBalancer;
    private final Route route;
    private final long tokens;
    private Attempt current;

    /** Load that is counted for the current attempt; one that resumes from a copy has no prompt to prefill. */
    private InFlightLoad countedLoad = InFlightLoad.NONE;

    /** Target for which load is counted before an attempt is sent; otherwise null. */
    private EntryTarget reserved;

    /** Number of prompts ahead of the current attempt when it was sent. */
    private int ahead;

    private boolean generating;
    private int started;
    private int deliveries;
    private int executions;

    AttemptTracker(TargetLoadBalancer loadBalancer, Route route, long tokens) {
        this.loadBalancer = Objects.requireNonNull(loadBalancer, "load balancer");
        this.route = Objects.requireNonNull(route, "route");
        this.tokens = tokens;
    }

    /** Returns the number of the last attempt, starting at 1; 0 before the first one. */
    int started() {
        return started;
    }

    /** Returns the number of attempts of which at least one byte may have reached the target. */
    int deliveries() {
        return deliveries;
    }

    /** Returns the number of attempts that the target may have executed, without the current one. */
    int executions() {
        return executions;
    }

    /** Returns whether another target may execute the request. */
    boolean hasAttemptsLeft() {
        return executions < route.maxAttempts();
    }

    /** Returns whether another attempt is allowed that a target may execute. */
    boolean hasDeliveriesLeft() {
        return deliveries < route.maxAttempts() + EXTRA_DELIVERIES;
    }

    /** Returns whether the current attempt may be given up for another one. */
    boolean mayBeAbandoned() {
        return route.isRetryable() && executions + 1 < route.maxAttempts();
    }

    /** Returns the current attempt. */
    Optional<Attempt> current() {
        return Optional.ofNullable(current);
    }

    boolean isCurrent(int number) {
        return current != null && current.number() == number;
    }

    /** Returns whether the current attempt has sent events; an engine copies its KV cache only once it generates. */
    boolean generating() {
        return generating;
    }

    /**
     * Counts the load of an attempt that is not sent yet. Requests that lose their targets at the same moment would
     * otherwise choose the same next one.
     */
    void reserve(EntryTarget target) {
        reserved = target;
        loadBalancer.addLoad(target, InFlightLoad.prefilling(tokens));
    }

    /** Ends the reservation, if there is one. */
    void releaseReservation() {
        if (reserved != null) {
            loadBalancer.removeLoad(reserved, InFlightLoad.prefilling(tokens));
            reserved = null;
        }
    }

    /**
     * Begins the next attempt, which becomes the current one, and returns it.
     *
     * @param lastEvent id of the last event of the stream; empty for none
     */
    Attempt begin(
            RetryTargets.Destination destination,
            long timeLeftMillis,
            Optional<Long> lastEvent,
            Optional<EntryTarget> backup,
            Optional<Integer> priority) {
        started++;
        deliveries++;
        Attempt attempt = new Attempt(
                started, destination.target(), timeLeftMillis, lastEvent, backup, destination.copy(), priority);
        current = attempt;
        generating = false;
        countedLoad =
                attempt.resumeFrom().isPresent() ? InFlightLoad.generating(tokens) : InFlightLoad.prefilling(tokens);
        ahead = loadBalancer.prefilling(attempt.target().id());
        loadBalancer.addLoad(attempt.target(), countedLoad);
        EntryTarget target = attempt.target();
        loadBalancer.rolloutGate().recordSent(target.service(), route.name(), target.version());
        return attempt;
    }

    /** Records how long a target took for the last attempt, up to its answer or first event. */
    void recordAnswerTime(ServiceDefinition service, EntryTarget target, long millis, long nowMillis) {
        // without the round trip, so that hosts of all regions report comparable speeds of a target
        long atTargetMillis = Math.max(1, millis - loadBalancer.roundTripMillis(target));
        loadBalancer.estimates().recordAnswer(service, target, tokens, ahead, atTargetMillis, nowMillis);
    }

    /** Records that the current attempt has sent its first event. */
    void markGenerating() {
        generating = true;
        loadBalancer.removeLoad(current.target(), countedLoad);
        countedLoad = InFlightLoad.generating(tokens);
        loadBalancer.addLoad(current.target(), countedLoad);
    }

    /** Ends the current attempt and returns it. */
    Attempt end() {
        Attempt ended = current;
        loadBalancer.removeLoad(ended.target(), countedLoad);
        EntryTarget target = ended.target();
        loadBalancer.rolloutGate().recordEnded(target.service(), route.name(), target.version());
        current = null;
        return ended;
    }

    /** Records that no byte of the last attempt was sent. */
    void undoDelivery() {
        deliveries--;
    }

    /** Sets the number of attempts that a target may have executed, those at other hosts included. */
    void updateExecutions(int all) {
        executions = all;
    }

    /** Records that the target of the last attempt may have executed the request. */
    void countExecution() {
        executions++;
    }
}
