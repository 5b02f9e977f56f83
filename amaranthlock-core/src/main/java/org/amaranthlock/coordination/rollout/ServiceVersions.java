package org.amaranthlock.coordination.rollout;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.amaranthlock.coordination.rollout.RolloutGate.GateTarget;
import org.amaranthlock.model.SoftwareVersion;
import org.amaranthlock.model.TargetId;

/**
 * Registered versions of one service, each of which is open to all requests, withdrawn, or neither yet. Not
 * thread-safe.
 */
final class ServiceVersions {
    /**
     * Minimum number of targets of a new version that receive requests, so that one faulty target does not decide on
     * the version.
     */
    private static final int MIN_TARGETS = 2;

    private final Map<SoftwareVersion, List<TargetId>> targets = new HashMap<>();
    private final Map<SoftwareVersion, Long> firstSeenMillis = new HashMap<>();

    /** Start of the target of each version that has run longest, in Unix milliseconds. */
    private final Map<SoftwareVersion, Long> startedMillis = new HashMap<>();

    private final Set<SoftwareVersion> open = new HashSet<>();

    /** Versions that receive no more requests: those that were rolled back and those that were replaced. */
    private final Set<SoftwareVersion> withdrawn = new HashSet<>();

    void update(List<GateTarget> known, Optional<SoftwareVersion> ordered, long nowMillis) {
        targets.clear();
        known.stream()
                .collect(Collectors.groupingBy(GateTarget::version))
                .forEach((version, all) -> targets.put(
                        version,
                        all.stream()
                                .map(GateTarget::id)
                                .sorted(Comparator.comparing(
                                                (TargetId id) -> id.value().hashCode())
                                        .thenComparing(TargetId::value))
                                .toList()));
        startedMillis.clear();
        known.forEach(target -> startedMillis.merge(target.version(), knownStart(target), Math::min));
        firstSeenMillis.keySet().retainAll(targets.keySet());
        open.retainAll(targets.keySet());
        withdrawn.retainAll(targets.keySet());
        targets.keySet().forEach(version -> firstSeenMillis.putIfAbsent(version, nowMillis));
        if (open.isEmpty()) { // the target that has run longest has the version that served before
            known.stream()
                    .filter(target -> !withdrawn.contains(target.version()))
                    .filter(target -> !ordered.equals(Optional.of(target.version())))
                    .min(Comparator.comparingLong(ServiceVersions::knownStart))
                    .ifPresent(target -> open.add(target.version()));
        }
    }

    private static long knownStart(GateTarget target) {
        return target.startedAtMillis() == 0 ? Long.MAX_VALUE : target.startedAtMillis();
    }

    /** Opens the versions that were registered before a read of the orders that found none for them. */
    void open(Optional<SoftwareVersion> ordered, long readSentMillis) {
        firstSeenMillis.forEach((version, firstSeen) -> {
            boolean named = ordered.equals(Optional.of(version));
            if (!named && firstSeen < readSentMillis && !withdrawn.contains(version)) {
                open.add(version);
            }
        });
    }

    /** Undoes the withdrawal of a version, because a new order names it. */
    void readmit(SoftwareVersion version) {
        withdrawn.remove(version);
    }

    /** Opens the version of an order that is complete. */
    void admit(SoftwareVersion version) {
        open.add(version);
    }

    /** Withdraws the versions that an order which has just been completed replaces; their targets are about to stop. */
    void closeOthers(SoftwareVersion version) {
        List.copyOf(open).stream().filter(other -> !other.equals(version)).forEach(this::withdraw);
    }

    /**
     * Withdraws the versions whose targets began to run before those of a version that was completed at an unknown time;
     * a later release stays open.
     */
    void closeOlder(SoftwareVersion version) {
        long completedStart = startedMillis.getOrDefault(version, 0L);
        targets.keySet().stream()
                .filter(other -> completedStart != Long.MAX_VALUE && startedMillis.get(other) < completedStart)
                .forEach(this::withdraw);
    }

    /** Withdraws a version, so that it receives no more requests. */
    void withdraw(SoftwareVersion version) {
        if (targets.containsKey(version)) {
            open.remove(version);
            withdrawn.add(version);
        }
    }

    boolean isOpen(SoftwareVersion version) {
        return open.contains(version);
    }

    boolean isWithdrawn(SoftwareVersion version) {
        return withdrawn.contains(version);
    }

    /** Returns whether at most one version is registered. */
    boolean isAlone() {
        return targets.size() <= 1;
    }

    boolean hasOpenBeside(Optional<SoftwareVersion> ordered) {
        return open.stream().anyMatch(version -> !ordered.equals(Optional.of(version)));
    }

    boolean hasUnknown(Optional<SoftwareVersion> ordered) {
        return targets.keySet().stream()
                .anyMatch(version -> !open.contains(version)
                        && !withdrawn.contains(version)
                        && !ordered.equals(Optional.of(version)));
    }

    /** Returns whether a target is among the given share of its version's targets. */
    boolean isAmong(SoftwareVersion version, TargetId target, double share) {
        List<TargetId> all = targets.getOrDefault(version, List.of());
        long used = Math.max(MIN_TARGETS, (long) Math.ceil(share * all.size()));
        return all.stream().limit(used).anyMatch(target::equals);
    }

    int targetCount(SoftwareVersion version) {
        return targets.getOrDefault(version, List.of()).size();
    }
}
