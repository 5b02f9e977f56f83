package org.amaranthlock.coordination.forwarding;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.UnaryOperator;
import org.amaranthlock.coordination.availability.TargetAvailability;
import org.amaranthlock.coordination.brittle.BrittleTargets;
import org.amaranthlock.coordination.targetlimit.TargetPermits;
import org.amaranthlock.model.TargetId;

/**
 * Decides which targets a request may be sent to, whatever it would cost there: targets that leave, rest, are full,
 * have failed for the request or run another version than its stream are left out.
 */
final class TargetEligibility {
    /** Connections to a target that each host may use, whatever the number of hosts. */
    private static final int MIN_CONNECTIONS_PER_HOST = 2;

    private final TargetPermits permits;
    private final BrittleTargets brittleTargets;
    private final TargetAvailability availability;
    private final VersionAdmission versions;
    private final TargetHealth health;
    private final Load load;

    /** Load by which a target may have no room for another request. */
    interface Load {
        /** Returns the requests that this host has in flight on a target. */
        int ownRequests(TargetId target);

        /** Returns the requests that all hosts have in flight on a target. */
        int allRequests(TargetId target);

        /** Returns the number of hosts known to share the targets, including this one. */
        int hostCount();
    }

    TargetEligibility(
            TargetPermits permits,
            BrittleTargets brittleTargets,
            TargetAvailability availability,
            VersionAdmission versions,
            TargetHealth health,
            Load load) {
        this.permits = Objects.requireNonNull(permits, "permits");
        this.brittleTargets = Objects.requireNonNull(brittleTargets, "brittle targets");
        this.availability = Objects.requireNonNull(availability, "availability");
        this.versions = Objects.requireNonNull(versions, "versions");
        this.health = Objects.requireNonNull(health, "health");
        this.load = Objects.requireNonNull(load, "load");
    }

    /** Returns the targets among {@code registered} to which a request may be sent, of the versions that it may use. */
    List<EntryTarget> admitted(
            List<EntryTarget> registered, ServiceDefinition service, TargetConstraint constraint, long nowMillis) {
        return usable(
                registered,
                service,
                constraint,
                targets -> versions.admitted(targets, constraint, nowMillis),
                nowMillis);
    }

    /** Returns the targets among {@code registered} to which a request may be sent, whichever version's turn it is. */
    List<EntryTarget> open(
            List<EntryTarget> registered, ServiceDefinition service, TargetConstraint constraint, long nowMillis) {
        return usable(
                registered, service, constraint, targets -> versions.open(targets, constraint, nowMillis), nowMillis);
    }

    /** Returns why a target is not among those to which a request may be sent. */
    LeftOutReason leftOutReason(
            ServiceDefinition service, EntryTarget target, TargetConstraint constraint, long nowMillis) {
        return obstacle(service, target, constraint, nowMillis).orElseGet(() -> {
            if (!permits.mayReceive(target.incarnation())) {
                return LeftOutReason.NO_PERMIT;
            }
            return health.isAvailable(target, nowMillis)
                    ? LeftOutReason.OTHER_VERSION_PREFERRED
                    : LeftOutReason.FAILED_RECENTLY;
        });
    }

    /** A target that says in a response that it leaves takes as few new requests as one that is registered so. */
    boolean isDraining(EntryTarget target) {
        return target.draining() || (!availability.isEmpty() && availability.isLeaving(target.incarnation()));
    }

    /** Returns whether a target is registered as ready, and neither rests nor leaves. */
    boolean takesRequests(EntryTarget target, long nowMillis) {
        return !target.draining() && acceptsByOwnStatement(target, nowMillis);
    }

    /** Returns whether a target has not said in its responses that it rests or leaves. */
    boolean acceptsByOwnStatement(EntryTarget target, long nowMillis) {
        return availability.isEmpty() || availability.mayReceive(target.incarnation(), nowMillis);
    }

    /** Returns the available targets of usable versions or, if none is available, all that may receive the request. */
    private List<EntryTarget> usable(
            List<EntryTarget> registered,
            ServiceDefinition service,
            TargetConstraint constraint,
            UnaryOperator<List<EntryTarget>> usableVersions,
            long nowMillis) {
        List<EntryTarget> usable = registered.stream()
                .filter(target ->
                        obstacle(service, target, constraint, nowMillis).isEmpty())
                .toList();
        List<EntryTarget> available = usable.stream()
                .filter(target -> health.isAvailable(target, nowMillis))
                .toList();
        List<EntryTarget> admitted = usableVersions.apply(available);
        return admitted.isEmpty() ? usableVersions.apply(usable) : admitted;
    }

    /** Returns why a target may not receive a request, whatever its recent failures, its version and its permits. */
    private Optional<LeftOutReason> obstacle(
            ServiceDefinition service, EntryTarget target, TargetConstraint constraint, long nowMillis) {
        if (target.draining()) {
            return Optional.of(LeftOutReason.DRAINING);
        }
        if (!acceptsByOwnStatement(target, nowMillis)) {
            return Optional.of(LeftOutReason.RESTING_OR_LEAVING);
        }
        if (!constraint.allows(target)) {
            return Optional.of(
                    constraint.allowsVersionOf(target)
                            ? LeftOutReason.FAILED_FOR_REQUEST
                            : LeftOutReason.OTHER_VERSION_THAN_STREAM);
        }
        if (!hasConnectionLeft(service, target)) {
            return Optional.of(LeftOutReason.NO_CONNECTION_LEFT);
        }
        return hasRoom(target, nowMillis) ? Optional.empty() : Optional.of(LeftOutReason.BRITTLE_AND_FULL);
    }

    /**
     * Returns whether this host has connections left of its share of a target's limit. A target resets connections
     * beyond its limit, which leaves the execution status of a non-idempotent request on such a connection unknown.
     */
    private boolean hasConnectionLeft(ServiceDefinition service, EntryTarget target) {
        int share = Math.max(MIN_CONNECTIONS_PER_HOST, service.maxConnections() / load.hostCount());
        return load.ownRequests(target.id()) < share;
    }

    /** Returns whether a target may get another request although it fails if it rejects too many. */
    private boolean hasRoom(EntryTarget target, long nowMillis) {
        return brittleTargets.hasRoom(target.id(), target.slots(), load.allRequests(target.id()), nowMillis);
    }
}
