package org.amaranthlock.coordination.forwarding;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.amaranthlock.model.FailureDomain;
import org.amaranthlock.model.TargetId;

/**
 * Failures of targets as observed by requests, probes and other hosts.
 *
 * <p>Each failure excludes the target for an exponentially growing time. Most targets of a failure domain may fail at
 * once: when two targets of a domain were unreachable within a second, the others are suspect unless they responded
 * recently. Not thread-safe.
 */
final class TargetHealth {
    /** Time for which a target is excluded after a failure, in milliseconds; it doubles with each further failure. */
    private static final long INITIAL_EXCLUSION_MILLIS = 1_000;

    private static final long MAX_EXCLUSION_MILLIS = 4_000;

    /** Time for which an unreachable target counts as a failure of its failure domain, in milliseconds. */
    private static final long DOMAIN_FAILURE_WINDOW_MILLIS = 1_000;

    /** Number of unreachable targets of a failure domain from which on the others are suspect. */
    private static final int DOMAIN_FAILURE_THRESHOLD = 2;

    /** Time for which a target's own response outweighs remote reports and the state of its domain, in milliseconds. */
    private static final long RECENT_RESPONSE_MILLIS = 500;

    /** Time for which a failed connection shows that this host has no path to a target; checks repeat it earlier. */
    private static final long PATH_BROKEN_MILLIS = 5_000;

    private final Map<TargetId, HealthRecord> records = new HashMap<>();
    private final Map<FailureDomain, Map<TargetId, Long>> domainFailures = new HashMap<>();

    private static final class HealthRecord {
        private int failures;
        private long excludedUntilMillis;
        private long unreachableUntilMillis;
        private long remoteUnreachableUntilMillis;
        private long pathBrokenUntilMillis;
        private long lastResponseMillis = Long.MIN_VALUE / 2; // half, so that the age does not overflow
    }

    /** Removes the records of targets that are no longer {@code known}. */
    void retain(Predicate<TargetId> known) {
        records.keySet().removeIf(known.negate());
    }

    /** Records that a target responded. */
    void recordSuccess(EntryTarget target, long nowMillis) {
        HealthRecord record = healthRecord(target.id());
        record.failures = 0;
        record.excludedUntilMillis = 0;
        record.unreachableUntilMillis = 0;
        record.remoteUnreachableUntilMillis = 0;
        record.pathBrokenUntilMillis = 0;
        record.lastResponseMillis = nowMillis;
    }

    /**
     * Records a failed connection or request and returns the time, in milliseconds, for which the target is excluded.
     */
    long recordFailure(EntryTarget target, long nowMillis) {
        HealthRecord record = healthRecord(target.id());
        long exclusionMillis = Math.min(MAX_EXCLUSION_MILLIS, INITIAL_EXCLUSION_MILLIS << Math.min(record.failures, 8));
        record.failures++;
        record.excludedUntilMillis = nowMillis + exclusionMillis;
        return exclusionMillis;
    }

    /** Records that a target's host did not accept a connection. */
    void recordUnreachable(EntryTarget target, long nowMillis) {
        long exclusionMillis = recordFailure(target, nowMillis);
        healthRecord(target.id()).unreachableUntilMillis = nowMillis + exclusionMillis;
        healthRecord(target.id()).pathBrokenUntilMillis = nowMillis + PATH_BROKEN_MILLIS;
        recordDomainFailure(target, nowMillis);
    }

    /**
     * Records that another host could not reach a target, and excludes it unless it recently responded to this host.
     */
    void recordRemoteUnreachable(EntryTarget target, long nowMillis) {
        recordDomainFailure(target, nowMillis);
        HealthRecord record = healthRecord(target.id());
        if (nowMillis - record.lastResponseMillis > RECENT_RESPONSE_MILLIS) {
            record.excludedUntilMillis = Math.max(record.excludedUntilMillis, nowMillis + INITIAL_EXCLUSION_MILLIS);
            record.remoteUnreachableUntilMillis = nowMillis + INITIAL_EXCLUSION_MILLIS;
        }
    }

    /** Returns the targets that this host itself recently failed to reach. */
    Set<TargetId> unreachableTargets(long nowMillis) {
        Set<TargetId> targets = new HashSet<>();
        records.forEach((id, record) -> {
            if (record.unreachableUntilMillis > nowMillis) {
                targets.add(id);
            }
        });
        return targets;
    }

    /** Returns whether the last connection of this host to a target failed, and none of its requests succeeded since. */
    boolean isPathBroken(EntryTarget target, long nowMillis) {
        HealthRecord record = records.get(target.id());
        return record != null && nowMillis < record.pathBrokenUntilMillis;
    }

    /** Returns whether a target responded to this host within the given time. */
    boolean hasResponded(EntryTarget target, long withinMillis, long nowMillis) {
        HealthRecord record = records.get(target.id());
        return record != null && nowMillis - record.lastResponseMillis < withinMillis;
    }

    /** Returns whether a target is not excluded. */
    boolean isAvailable(EntryTarget target, long nowMillis) {
        HealthRecord record = records.get(target.id());
        return record == null || record.excludedUntilMillis <= nowMillis;
    }

    /** Returns whether no host recently failed to reach a target; a target that only failed a request is reachable. */
    boolean isReachable(EntryTarget target, long nowMillis) {
        HealthRecord record = records.get(target.id());
        return record == null
                || (record.unreachableUntilMillis <= nowMillis && record.remoteUnreachableUntilMillis <= nowMillis);
    }

    /** Returns whether a target's failure domain is failing and the target has not responded recently. */
    boolean isSuspect(EntryTarget target, long nowMillis) {
        HealthRecord record = records.get(target.id());
        boolean respondedRecently = record != null && nowMillis - record.lastResponseMillis < RECENT_RESPONSE_MILLIS;
        return !respondedRecently && isDomainFailing(target.failureDomain(), Set.of(), nowMillis);
    }

    /** Returns whether several targets of a failure domain, except {@code excepted}, were recently unreachable. */
    boolean isDomainFailing(FailureDomain domain, Set<TargetId> excepted, long nowMillis) {
        Map<TargetId, Long> failures = domainFailures.getOrDefault(domain, Map.of());
        return failures.entrySet().stream()
                        .filter(failure -> nowMillis - failure.getValue() < DOMAIN_FAILURE_WINDOW_MILLIS)
                        .filter(failure -> !excepted.contains(failure.getKey()))
                        .count()
                >= DOMAIN_FAILURE_THRESHOLD;
    }

    private void recordDomainFailure(EntryTarget target, long nowMillis) {
        Map<TargetId, Long> failures = domainFailures.computeIfAbsent(target.failureDomain(), _ -> new HashMap<>());
        failures.values().removeIf(at -> nowMillis - at >= DOMAIN_FAILURE_WINDOW_MILLIS);
        failures.put(target.id(), nowMillis);
    }

    private HealthRecord healthRecord(TargetId id) {
        return records.computeIfAbsent(id, _ -> new HealthRecord());
    }
}
