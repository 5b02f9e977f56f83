package org.amaranthlock.coordination.forwarding;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.amaranthlock.model.TargetId;

/**
 * Counts, across all hosts, the consecutive crashes of targets that started to execute the same request.
 *
 * <p>A poison request crashes each target that executes it, and its client may retry it through any host. But equal
 * requests of many clients can also be in flight on several targets that fail together for another reason. Therefore a
 * crash is added only to the crashes that were known when the request was sent, and the highest count of any host
 * applies. After a response to a request with known crashes, these and later ones are ignored for two minutes.
 * Not thread-safe.
 */
public final class CrashHistory {
    /** Consecutive crashes after which a request is no longer sent. */
    public static final int POISON_CRASH_THRESHOLD = 3;

    /** Time for which a crash counts, in milliseconds; clients retry such a request within it. */
    private static final long RETENTION_MILLIS = 120_000;

    private final Map<Long, LocalRecord> localRecords = new HashMap<>();
    private final Map<String, RemoteRecord> remoteRecords = new HashMap<>();

    /** Time of the response by fingerprint, for requests that got one after crashes; their crashes are ignored. */
    private final Map<Long, Long> respondedAtMillis = new HashMap<>();

    /** Crashes that this host has counted for a request, and the targets that became unreachable executing it. */
    private record LocalRecord(int consecutiveCrashes, Set<TargetId> unreachableTargets, long lastMillis) {
        private static final LocalRecord NONE = new LocalRecord(0, Set.of(), 0);

        private LocalRecord {
            unreachableTargets = Set.copyOf(unreachableTargets);
        }
    }

    /** Crash counts reported by another host, and the time of the report. */
    private record RemoteRecord(Map<Long, Integer> crashes, long atMillis) {}

    /** Returns the number of consecutive crashes known for a request; 0 for two minutes after a response to it. */
    public int consecutiveCrashes(long fingerprint, long nowMillis) {
        expire(nowMillis);
        if (respondedAtMillis.containsKey(fingerprint)) {
            return 0;
        }
        int count = localRecords.getOrDefault(fingerprint, LocalRecord.NONE).consecutiveCrashes();
        for (RemoteRecord remote : remoteRecords.values()) {
            count = Math.max(count, remote.crashes().getOrDefault(fingerprint, 0));
        }
        return count;
    }

    /** Records that a target became unreachable while it executed a request, whatever the cause. */
    public void recordUnreachable(long fingerprint, TargetId target, long nowMillis) {
        LocalRecord before = localRecord(fingerprint, nowMillis);
        Set<TargetId> unreachable = new HashSet<>(before.unreachableTargets());
        unreachable.add(target);
        localRecords.put(fingerprint, new LocalRecord(before.consecutiveCrashes(), unreachable, nowMillis));
    }

    /** Returns the targets that became unreachable while they executed a request. */
    public Set<TargetId> unreachableTargets(long fingerprint, long nowMillis) {
        return localRecord(fingerprint, nowMillis).unreachableTargets();
    }

    /**
     * Records that a target crashed while it executed a request of this host.
     *
     * @param knownBefore crashes that were known for the request when it was sent to this target
     */
    public void recordCrash(long fingerprint, int knownBefore, long nowMillis) {
        LocalRecord before = localRecord(fingerprint, nowMillis);
        localRecords.put(
                fingerprint,
                new LocalRecord(
                        Math.max(before.consecutiveCrashes(), knownBefore + 1),
                        before.unreachableTargets(),
                        nowMillis));
    }

    /** Records that a target sent a response or an event for a request, which shows that it does not crash targets. */
    public void recordResponse(long fingerprint, long nowMillis) {
        boolean hadRecords = localRecords.remove(fingerprint) != null
                || remoteRecords.values().stream()
                        .anyMatch(remote -> remote.crashes().containsKey(fingerprint));
        if (hadRecords) {
            respondedAtMillis.put(fingerprint, nowMillis);
        }
    }

    /** Replaces the crash counts of another host. */
    public void updateRemote(String host, Map<Long, Integer> crashes, long nowMillis) {
        remoteRecords.put(host, new RemoteRecord(Map.copyOf(crashes), nowMillis));
    }

    /** Returns whether a request has crashed too many targets to be sent again. */
    public boolean isPoison(long fingerprint, long nowMillis) {
        return consecutiveCrashes(fingerprint, nowMillis) >= POISON_CRASH_THRESHOLD;
    }

    /** Returns the crashes that this host itself has counted by request fingerprint, to be reported to other hosts. */
    public Map<Long, Integer> localCrashes(long nowMillis) {
        expire(nowMillis);
        Map<Long, Integer> counts = new HashMap<>();
        localRecords.forEach((fingerprint, local) -> {
            if (local.consecutiveCrashes() > 0) {
                counts.put(fingerprint, local.consecutiveCrashes());
            }
        });
        return counts;
    }

    private LocalRecord localRecord(long fingerprint, long nowMillis) {
        expire(nowMillis);
        return localRecords.getOrDefault(fingerprint, LocalRecord.NONE);
    }

    private void expire(long nowMillis) {
        localRecords.values().removeIf(local -> nowMillis - local.lastMillis() > RETENTION_MILLIS);
        remoteRecords.values().removeIf(remote -> nowMillis - remote.atMillis() > RETENTION_MILLIS);
        respondedAtMillis.values().removeIf(at -> nowMillis - at > RETENTION_MILLIS);
    }
}
