package org.amaranthlock.coordination.forwarding;

import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.function.LongConsumer;
import org.amaranthlock.coordination.brittle.BrittleStatement;
import org.amaranthlock.coordination.targetlimit.LimitStatement;
import org.amaranthlock.coordination.targetlimit.PermitDecision;
import org.amaranthlock.coordination.targetlimit.PermitRequest;
import org.amaranthlock.model.TargetId;

/** Permits that the attempts of one request need for targets that limit their request rate. Not thread-safe. */
final class AttemptPermits {
    /** Cause of decisions on a request because targets limit their request rate. */
    static final String TARGET_LIMIT = "target-limit";

    /** Delay before an interrupted stream for which no target or retry was available is tried again. */
    private static final long RESUME_DELAY_MILLIS = 60;

    /** Granted permits per attempt that other requests of this host may use up before the request is rejected. */
    private static final int MAX_UNUSED_GRANTS = 3;

    /** Retry delay for clients whose request found no target, limited or not, in milliseconds. */
    private static final long NO_TARGET_RETRY_AFTER_MILLIS = 300;

    /** Longest time after which a stream asks again for a permit, in milliseconds. */
    private static final long MAX_RESUME_DELAY_MILLIS = 500;

    private static final int MISDIRECTED = 421;

    /** Reason of a rejection because all targets have asked for a rest. */
    private static final String TARGETS_REST = "targets-rest";

    /** Time over which the clients come back that were rejected during a rest, in milliseconds. */
    private static final int MAX_REST_SPREAD_MILLIS = 500;

    private final TargetLoadBalancer loadBalancer;
    private final ServiceDefinition service;
    private final PermitRequest.Priority priority;
    private final long restSpreadMillis;
    private boolean waiting;
    private boolean denied;
    private int unusedGrants;
    private long retryAfterMillis = NO_TARGET_RETRY_AFTER_MILLIS;

    AttemptPermits(TargetLoadBalancer loadBalancer, ServiceDefinition service, RouteKind kind, String requestId) {
        this.loadBalancer = Objects.requireNonNull(loadBalancer, "load balancer");
        this.service = Objects.requireNonNull(service, "service");
        this.restSpreadMillis = Math.floorMod(requestId.hashCode(), MAX_REST_SPREAD_MILLIS);
        this.priority = kind == RouteKind.IDEMPOTENT ? PermitRequest.Priority.LOW : PermitRequest.Priority.HIGH;
    }

    /** Returns whether a permit has been requested and is not decided yet. */
    boolean waiting() {
        return waiting;
    }

    /**
     * Returns the rejection of a request for which no target is left: a 503, which states that the request was not
     * executed and when to return, only if no target may have executed it.
     */
    Rejection finalRejection(String cause, boolean mayBeExecuted, long nowMillis) {
        if (mayBeExecuted) {
            return Rejection.of(502, cause);
        }
        OptionalLong restEnd = loadBalancer.restEndMillis(service.name(), nowMillis);
        return restEnd.isPresent()
                ? Rejection.retryLater(restEnd.getAsLong() - nowMillis + restSpreadMillis, TARGETS_REST)
                : Rejection.retryLater(retryAfterMillis, cause);
    }

    /** Returns the time after which a stream that waits for a target is tried again, in milliseconds. */
    long resumeDelayMillis() {
        return denied
                ? Math.clamp(retryAfterMillis, RESUME_DELAY_MILLIS, MAX_RESUME_DELAY_MILLIS)
                : RESUME_DELAY_MILLIS;
    }

    boolean isLimited(EntryTarget target) {
        return loadBalancer.permits().isLimited(target.incarnation());
    }

    /** Returns whether the target gets calls of this host itself. */
    boolean acceptsCalls(EntryTarget target, long nowMillis) {
        return loadBalancer.acceptsCalls(target, nowMillis);
    }

    /** Uses up the permit for an attempt and returns whether the attempt may be sent. */
    boolean take(EntryTarget target) {
        boolean permitted = loadBalancer.permits().take(target.incarnation());
        if (permitted) {
            unusedGrants = 0;
            denied = false;
        }
        return permitted;
    }

    /**
     * Applies what a response states about the load that its target bears. That a limit has ended is taken from a
     * confirmed response only, and nothing from a response of another target.
     */
    void recordStatements(EntryTarget target, TargetResponse response, long nowMillis) {
        if (response.status() == MISDIRECTED) {
            return;
        }
        TargetStatements statements = response.statements();
        if (response.stamped() || !(statements.limit() instanceof LimitStatement.NotNamed)) {
            loadBalancer.permits().observe(target.incarnation(), service.name(), statements.limit());
        }
        if (response.stamped() || !(statements.brittle() instanceof BrittleStatement.NotNamed)) {
            loadBalancer.recordBrittleness(target, statements.brittle(), nowMillis);
        }
    }

    /** Returns the targets that the request may be sent to with a permit only. */
    List<TargetId> limitedTargets(TargetConstraint constraint, long nowMillis) {
        return loadBalancer.limitedTargets(service, constraint, nowMillis);
    }

    /**
     * Asks for a permit for one of the targets.
     *
     * @param onGranted called when a permit has been granted
     * @param onDenied called when none of the targets has room
     * @return whether a permit was requested; if not, neither is called
     */
    boolean request(List<TargetId> targets, LongConsumer onGranted, LongConsumer onDenied) {
        if (targets.isEmpty() || unusedGrants >= MAX_UNUSED_GRANTS) {
            return false;
        }
        waiting = true;
        loadBalancer.permits().request(new PermitRequest(service.name(), targets, priority), (decision, nowMillis) -> {
            waiting = false;
            switch (decision) {
                case PermitDecision.Granted _ -> {
                    unusedGrants++;
                    onGranted.accept(nowMillis);
                }
                case PermitDecision.Denied denial -> {
                    denied = true;
                    retryAfterMillis = denial.retryAfterMillis();
                    onDenied.accept(nowMillis);
                }
            }
        });
        return true;
    }
}
