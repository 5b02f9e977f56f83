package org.amaranthlock.coordination.forwarding;

import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.amaranthlock.model.FailureDomain;
import org.amaranthlock.model.SoftwareVersion;

/**
 * Decides whether a request is passed to another host because this one has no path to the targets.
 *
 * <p>Load pattern: a host loses its paths to most targets and packets are dropped, so that each attempt takes a
 * timeout. A large service has more targets than a stream can try before its client notices. A stream is therefore
 * handed over as soon as targets of two failure domains did not accept its connections, regardless of this host's other
 * requests. Not thread-safe.
 */
final class RelayPolicy {
    /**
     * Number of failure domains without a reachable target from which on a stream is handed over; a single domain may
     * have failed itself.
     */
    private static final int UNREACHABLE_DOMAINS = 2;

    private final Route route;
    private final ServiceDefinition service;
    private final TargetLoadBalancer loadBalancer;
    private final FleetRetryBudget retryBudget;
    private final AttemptTracker attempts;
    private final ForwardingPort port;

    /** Failure domains of the targets that the stream did not reach since it last received events. */
    private final Set<FailureDomain> unreachableDomains = new HashSet<>();

    RelayPolicy(
            Route route,
            ServiceDefinition service,
            TargetLoadBalancer loadBalancer,
            FleetRetryBudget retryBudget,
            AttemptTracker attempts,
            ForwardingPort port) {
        this.route = Objects.requireNonNull(route, "route");
        this.service = Objects.requireNonNull(service, "service");
        this.loadBalancer = Objects.requireNonNull(loadBalancer, "load balancer");
        this.retryBudget = Objects.requireNonNull(retryBudget, "retry budget");
        this.attempts = Objects.requireNonNull(attempts, "attempts");
        this.port = Objects.requireNonNull(port, "port");
    }

    /** Records that a target did not accept a connection for the request; one that was refused shows a path. */
    void recordUnreachable(EntryTarget target, String cause) {
        if (!cause.equals(NotSentCause.CONNECTION_REFUSED)) {
            unreachableDomains.add(target.failureDomain());
        }
    }

    /** Records that the request received events. */
    void recordEvents() {
        unreachableDomains.clear();
    }

    /**
     * Passes a request without a current attempt to another host if this one has no path to the targets, and returns
     * whether it did. A request that a target may have executed must be retryable and within the retry budget.
     */
    boolean handOver(
            StreamProgress stream,
            Optional<SoftwareVersion> streamVersion,
            long arrivedAtMillis,
            long deadlineMillis,
            long nowMillis) {
        boolean mayBeExecuted = route.isRetryable() ? attempts.hasAttemptsLeft() : attempts.executions() == 0;
        if (!mayBeExecuted || !shouldRelay(nowMillis)) {
            return false;
        }
        boolean isRetry = attempts.deliveries() > 0;
        if (isRetry && !retryBudget.tryAcquire(nowMillis)) {
            return false;
        }
        boolean handedOver = port.handOver(
                new RelayStart(stream, streamVersion, attempts.executions(), arrivedAtMillis, deadlineMillis));
        if (!handedOver && isRetry) {
            retryBudget.release(nowMillis);
        }
        return handedOver;
    }

    /**
     * Records that a request that was handed over is resumed at this host; its retry is not used if no target can have
     * executed it elsewhere.
     */
    void recordTakenBack(int executions, long nowMillis) {
        unreachableDomains.clear();
        if (executions == attempts.executions() && attempts.deliveries() > 0) {
            retryBudget.release(nowMillis);
        }
        attempts.updateExecutions(executions);
    }

    private boolean shouldRelay(long nowMillis) {
        boolean streamCut = route.kind() == RouteKind.STREAMING && unreachableDomains.size() >= UNREACHABLE_DOMAINS;
        return loadBalancer.shouldRelay(service.name(), nowMillis)
                || (streamCut && loadBalancer.hasHostWithPath(service.name(), nowMillis));
    }
}
