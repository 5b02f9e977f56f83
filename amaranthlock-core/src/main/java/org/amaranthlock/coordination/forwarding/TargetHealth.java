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
    private static final long FIRST_PAUSE_MILLIS = 1_000;

    private static final long LONGEST_PAUSE_MILLIS = 4_000;

    /** Time for which engines that could not be reached count against their failure domain, milliseconds. */
    private static final long DOMAIN_MILLIS = 1_000;

    /** Engines of a failure domain that must be unreachable before the others of it are doubted. */
    private static final int DOMAIN_FAILURES = 2;

    /** Time for which a target's own answer outweighs what is heard of it or of its domain, milliseconds. */
    private static final long ANSWER_COUNTS_MILLIS = 500;

    private final Map<TargetId, Record> records = new HashMap<>();
    private final Map<FailureDomain, Map<TargetId, Long>> domainFailures = new HashMap<>();

    private static final class Record {
        private int failures;
        private long asideUntilMillis;
        private long unreachableUntilMillis;
        private long heardUnreachableUntilMillis;
        private long answeredAtMillis = Long.MIN_VALUE / 2;
    }

    /** Forgets the targets that are not {@code known} any more. */
    void retain(Predicate<TargetId> known) {
        records.keySet().removeIf(known.negate());
    }

    /** Notes that a target answered. */
    void recordSuccess(EntryTarget target, long nowMillis) {
        Record record = record(target.id());
        record.failures = 0;
        record.asideUntilMillis = 0;
        record.unreachableUntilMillis = 0;
        record.heardUnreachableUntilMillis = 0;
        record.answeredAtMillis = nowMillis;
    }

    /** Notes that a target could not be reached, broke off or answered nothing; returns the pause in milliseconds. */
    long recordFailure(EntryTarget target, long nowMillis) {
        Record record = record(target.id());
        long pause = Math.min(LONGEST_PAUSE_MILLIS, FIRST_PAUSE_MILLIS << Math.min(record.failures, 8));
        record.failures++;
        record.asideUntilMillis = nowMillis + pause;
        return pause;
    }

    /** Notes that a target's host did not accept a connection. */
    void unreachable(EntryTarget target, long nowMillis) {
        long pause = recordFailure(target, nowMillis);
        record(target.id()).unreachableUntilMillis = nowMillis + pause;
        noteDomainFailure(target, nowMillis);
    }

    /** Takes over that another host could not reach a target, unless it answered this host a short time ago. */
    void recordRemoteUnreachable(EntryTarget target, long nowMillis) {
        noteDomainFailure(target, nowMillis);
        Record record = record(target.id());
        if (nowMillis - record.answeredAtMillis > ANSWER_COUNTS_MILLIS) {
            record.asideUntilMillis = Math.max(record.asideUntilMillis, nowMillis + FIRST_PAUSE_MILLIS);
            record.heardUnreachableUntilMillis = nowMillis + FIRST_PAUSE_MILLIS;
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
        Record record = records.get(target.id());
        return record == null || record.asideUntilMillis <= nowMillis;
    }

    /** Returns whether no host failed to reach a target a short time ago; one that only failed a request is reachable. */
    boolean isReachable(EntryTarget target, long nowMillis) {
        Record record = records.get(target.id());
        return record == null
                || (record.unreachableUntilMillis <= nowMillis && record.heardUnreachableUntilMillis <= nowMillis);
    }

    /** Returns whether a target's domain is failing and it has not answered since. */
    boolean isSuspect(EntryTarget target, long nowMillis) {
        Record record = records.get(target.id());
        boolean answered = record != null && nowMillis - record.answeredAtMillis < ANSWER_COUNTS_MILLIS;
        return !answered && isDomainFailing(target.failureDomain(), Set.of(), nowMillis);
    }

    /** Returns whether several targets of a failure domain, without those excepted, could not be reached. */
    boolean isDomainFailing(FailureDomain domain, Set<TargetId> excepted, long nowMillis) {
        Map<TargetId, Long> failures = domainFailures.getOrDefault(domain, Map.of());
        return failures.entrySet().stream()
                        .filter(failure -> nowMillis - failure.getValue() < DOMAIN_MILLIS)
                        .filter(failure -> !excepted.contains(failure.getKey()))
                        .count()
                >= DOMAIN_FAILURES;
    }

    private void noteDomainFailure(EntryTarget target, long nowMillis) {
        Map<TargetId, Long> failures = domainFailures.computeIfAbsent(target.failureDomain(), _ -> new HashMap<>());
        failures.values().removeIf(at -> nowMillis - at >= DOMAIN_MILLIS);
        failures.put(target.id(), nowMillis);
    }

    private Record record(TargetId id) {
        return records.computeIfAbsent(id, _ -> new Record());
    }
}
