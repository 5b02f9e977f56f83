package org.amaranthlock.coordination.forwarding;

import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Collectors;
import org.amaranthlock.model.ServiceName;

/** Tells whether this host has a path to the targets of a service, as its own connections show. */
final class TargetPaths {
    /**
     * Unreachable targets from which on a host believes that it has no path to any target of a service, if the service
     * has more; a large service has more targets than a host tries within a few seconds.
     */
    private static final int CUT_THRESHOLD = 6;

    /**
     * Time without a response of any target after which a host may consider that it has no path to them, in milliseconds.
     */
    private static final long CUT_SILENCE_MILLIS = 1_000;

    private final TargetHealth health;

    TargetPaths(TargetHealth health) {
        this.health = Objects.requireNonNull(health, "health");
    }

    /** Returns whether this host has no path to the targets of a service. */
    boolean isCut(ServiceName service, TargetTable table, long nowMillis) {
        List<EntryTarget> targets = table.targets(service).stream()
                .filter(target -> !target.draining())
                .toList();
        long broken = targets.stream()
                .filter(target -> health.isPathBroken(target, nowMillis))
                .count();
        return !targets.isEmpty()
                && broken >= Math.min(targets.size(), CUT_THRESHOLD)
                && targets.stream().noneMatch(target -> health.hasResponded(target, CUT_SILENCE_MILLIS, nowMillis));
    }

    /** Returns the services to whose targets this host has no path. */
    Set<ServiceName> cutServices(TargetTable table, long nowMillis) {
        return table.targets().stream()
                .map(EntryTarget::service)
                .distinct()
                .filter(service -> isCut(service, table, nowMillis))
                .collect(Collectors.toSet());
    }

    /** Returns the targets that are to be checked because this host seems to have no path to their service. */
    List<EntryTarget> targetsWithoutPath(TargetTable table, long nowMillis) {
        return cutServices(table, nowMillis).stream()
                .flatMap(service -> table.targets(service).stream())
                .filter(target -> !target.draining() && health.isPathBroken(target, nowMillis))
                .toList();
    }
}
