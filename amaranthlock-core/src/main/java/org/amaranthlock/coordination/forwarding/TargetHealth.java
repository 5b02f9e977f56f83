package org.amaranthlock.coordination.forwarding;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.amaranthlock.model.FailureDomain;
import org.amaranthlock.model.TargetId;

/**
 * What requests, probes and other hosts found out about targets that fail.
 *
 * <p>Load pattern: most targets of a failure domain die at once. Each failure sets its target aside for a growing time.
 * Once two of a domain are unreachable, the others of it are doubted too until they answer. Not thread-safe.
 */
final class TargetHealth {
    /** First time for which a failed target is set aside, milliseconds; it doubles with each further failure. */
    private static final long INITIAL_EXCLUSION_MILLIS = 1_000;

    private static final long MAX_EXCLUSION_MILLIS = 4_000;

    /** Time for which engines that could not be reached count against their failure domain, milliseconds. */
    private static final long DOMAIN_FAILURE_WINDOW_MILLIS = 1_000;

    /** Engines of a failure domain that must be unreachable before the others of it are doubted. */
    private static final int DOMAIN_FAILURE_THRESHOLD = 2;

    /** Time for which a target's own answer outweighs what is heard of it or of its domain, milliseconds. */
    private static final long RECENT_RESPONSE_MILLIS = 500;

    private final Map<TargetId, HealthRecord> records = new HashMap<>();
    private final Map<FailureDomain, Map<TargetId, Long>> domainFailures = new HashMap<>();

    private static final class HealthRecord {
        private int failures;
        private long excludedUntilMillis;
        private long unreachableUntilMillis;
        private long remoteUnreachableUntilMillis;
        private long lastResponseMillis = Long.MIN_VALUE / 2;
    }

    /** Forgets the targets that are not {@code known} any more. */
    void retain(Predicate<TargetId> known) {
        records.keySet().removeIf(known.negate());
    }

    /** Notes that a target answered. */
    void recordSuccess(EntryTarget target, long nowMillis) {
        HealthRecord record = healthRecord(target.id());
        record.failures = 0;
        record.excludedUntilMillis = 0;
        record.unreachableUntilMillis = 0;
        record.remoteUnreachableUntilMillis = 0;
        record.lastResponseMillis = nowMillis;
    }

    /** Notes that a target could not be reached, broke off or answered nothing; returns the pause in milliseconds. */
    long recordFailure(EntryTarget target, long nowMillis) {
        HealthRecord record = healthRecord(target.id());
        long pause = Math.min(MAX_EXCLUSION_MILLIS, INITIAL_EXCLUSION_MILLIS << Math.min(record.failures, 8));
        record.failures++;
        record.excludedUntilMillis = nowMillis + pause;
        return pause;
    }

    /** Notes that a target's host did not accept a connection. */
    void unreachable(EntryTarget target, long nowMillis) {
        long pause = recordFailure(target, nowMillis);
        healthRecord(target.id()).unreachableUntilMillis = nowMillis + pause;
        recordDomainFailure(target, nowMillis);
    }

    /** Takes over that another host could not reach a target, unless it answered this host a short time ago. */
    void recordRemoteUnreachable(EntryTarget target, long nowMillis) {
        recordDomainFailure(target, nowMillis);
        HealthRecord record = healthRecord(target.id());
        if (nowMillis - record.lastResponseMillis > RECENT_RESPONSE_MILLIS) {
            record.excludedUntilMillis = Math.max(record.excludedUntilMillis, nowMillis + INITIAL_EXCLUSION_MILLIS);
            record.remoteUnreachableUntilMillis = nowMillis + INITIAL_EXCLUSION_MILLIS;
        }
    }

    /** Returns the targets that this host itself could not reach a short time ago. */
    Set<TargetId> unreachable(long nowMillis) {
        Set<TargetId> unreachable = new HashSet<>();
        records.forEach((id, record) -> {
            if (record.unreachableUntilMillis > nowMillis) {
                unreachable.add(id);
            }
        });
        return unreachable;
    }

    /** Returns whether a target is not set aside. */
    boolean isAvailable(EntryTarget target, long nowMillis) {
        HealthRecord record = records.get(target.id());
        return record == null || record.excludedUntilMillis <= nowMillis;
    }

    /** Returns whether no host failed to reach a target a short time ago; one that only failed a request is reachable. */
    boolean isReachable(EntryTarget target, long nowMillis) {
        HealthRecord record = records.get(target.id());
        return record == null
                || (record.unreachableUntilMillis <= nowMillis && record.remoteUnreachableUntilMillis <= nowMillis);
    }

    /** Returns whether a target's domain is failing and it has not answered since. */
    boolean isSuspect(EntryTarget target, long nowMillis) {
        HealthRecord record = records.get(target.id());
        boolean respondedRecently = record != null && nowMillis - record.lastResponseMillis < RECENT_RESPONSE_MILLIS;
        return !respondedRecently && isDomainFailing(target.failureDomain(), Set.of(), nowMillis);
    }

    /** Returns whether several targets of a failure domain, without those excepted, could not be reached. */
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
