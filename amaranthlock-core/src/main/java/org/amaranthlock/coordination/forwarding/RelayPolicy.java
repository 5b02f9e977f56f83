package org.amaranthlock.coordination.forwarding;

import java.util.Objects;
import java.util.Optional;
import org.amaranthlock.model.SoftwareVersion;

/** Decides whether a request is passed to another host because this one has no path to the targets. Not thread-safe. */
final class RelayPolicy {
    private final Route route;
    private final ServiceDefinition service;
    private final TargetLoadBalancer loadBalancer;
    private final FleetRetryBudget retryBudget;
    private final AttemptTracker attempts;
    private final ForwardingPort port;

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
        if (!mayBeExecuted || !loadBalancer.shouldRelay(service.name(), nowMillis)) {
            return false;
        }
        boolean isRetry = attempts.deliveries() > 0;
        if (isRetry && !retryBudget.tryAcquire(nowMillis)) {
            return false;
        }
        boolean handedOver = port.handOver(
                new RelayStart(stream, streamVersion, attempts.executions(), arrivedAtMillis, deadlineMillis));
        if (!handedOver && isRetry) {
            retryBudget.release();
        }
        return handedOver;
    }
}
