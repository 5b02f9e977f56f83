package org.amaranthlock.coordination.forwarding;

import java.util.Objects;
import org.amaranthlock.coordination.rollout.RolloutGate;

/**
 * Counts the outcomes of one request's attempts by the version of their targets, to judge a roll-out.
 *
 * <p>Outcomes that do not depend on the version are omitted: attempts that the client or this host ended, and losses
 * while the failure domain of the target is failing. Not thread-safe.
 */
final class AttemptOutcomes {
    private final TargetLoadBalancer loadBalancer;
    private final RolloutGate gate;
    private final Route route;

    AttemptOutcomes(TargetLoadBalancer loadBalancer, Route route) {
        this.loadBalancer = Objects.requireNonNull(loadBalancer, "load balancer");
        this.gate = loadBalancer.rolloutGate();
        this.route = Objects.requireNonNull(route, "route");
    }

    /** Records a complete response of a target that has executed the request. */
    void recordResponse(Attempt attempt, TargetResponse response, long durationMillis, long nowMillis) {
        if (response.status() >= 500 || !response.stamped()) {
            recordFailure(attempt, true, nowMillis);
        } else {
            recordAnswer(attempt, durationMillis, nowMillis);
        }
    }

    /** Records that a target did not execute the request, because it is not the addressed one or has no capacity. */
    void recordNotRun(Attempt attempt, TargetResponse response, long nowMillis) {
        if (response.status() == 421) {
            loadBalancer.recordFailure(attempt.target(), nowMillis);
        } else {
            loadBalancer.recordRejection(attempt.target(), nowMillis);
        }
    }

    /** Records the first event of a stream. */
    void recordAnswer(Attempt attempt, long durationMillis, long nowMillis) {
        EntryTarget target = attempt.target();
        gate.recordAnswered(
                target.service(),
                route.name(),
                target.version(),
                target.id(),
                durationMillis,
                route.latencyGoalMillis(),
                nowMillis);
    }

    /** Records an attempt that ended without a response. */
    void recordLoss(Attempt attempt, long nowMillis) {
        if (!loadBalancer.isDomainFailing(attempt.target().failureDomain(), nowMillis)) {
            recordFailure(attempt, false, nowMillis);
        }
    }

    private void recordFailure(Attempt attempt, boolean answered, long nowMillis) {
        EntryTarget target = attempt.target();
        gate.recordFailed(target.service(), route.name(), target.version(), target.id(), answered, nowMillis);
    }
}
