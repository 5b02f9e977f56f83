package org.amaranthlock.coordination.forwarding;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.amaranthlock.model.TargetId;

/**
 * Counts the targets that crashed one after the other when they began to run a request, over all hosts.
 *
 * <p>Load pattern: a request crashes each target that runs it, and its client sends it again to any host. Requests that
 * many clients send alike are in flight at several targets when these die for another reason. So a crash adds to those
 * that were known when the request was sent, the longest such chain of any host counts, and an answer to the same request
 * ends it. Not thread-safe.
 */
public final class CrashHistory {
    /** Crashes after which a request is not sent any more. */
    public static final int POISON_CRASH_THRESHOLD = 3;

    /** Time for which a crash counts, milliseconds; clients repeat such a request within it. */
    private static final long KEEP_MILLIS = 120_000;

    private final Map<Long, LocalRecord> localCrashes = new HashMap<>();
    private final Map<String, RemoteRecord> others = new HashMap<>();

    /** Requests that were answered although targets had crashed under them, with the time of the answer. */
    private final Map<Long, Long> answered = new HashMap<>();

    /** What this host knows of a request: the length of its chain, and the targets that may have crashed under it. */
    private record LocalRecord(int chain, Set<TargetId> suspects, long lastMillis) {
        private static final LocalRecord NOTHING = new LocalRecord(0, Set.of(), 0);

        private LocalRecord {
            suspects = Set.copyOf(suspects);
        }
    }

    /** What another host told, and when. */
    private record RemoteRecord(Map<Long, Integer> chains, long atMillis) {}

    /** Returns how many targets are known to have crashed one after the other under a request. */
    public int consecutiveCrashes(long fingerprint, long nowMillis) {
        expire(nowMillis);
        if (answered.containsKey(fingerprint)) {
            return 0;
        }
        int chain = localCrashes.getOrDefault(fingerprint, LocalRecord.NOTHING).chain();
        for (RemoteRecord told : others.values()) {
            chain = Math.max(chain, told.chains().getOrDefault(fingerprint, 0));
        }
        return chain;
    }

    /** Notes that a target became unreachable while it had a request, whatever the cause. */
    public void recordSuspect(long fingerprint, TargetId target, long nowMillis) {
        LocalRecord before = seen(fingerprint, nowMillis);
        Set<TargetId> suspects = new HashSet<>(before.suspects());
        suspects.add(target);
        localCrashes.put(fingerprint, new LocalRecord(before.chain(), suspects, nowMillis));
    }

    /** Returns the targets that became unreachable while they had a request. */
    public Set<TargetId> suspects(long fingerprint, long nowMillis) {
        return seen(fingerprint, nowMillis).suspects();
    }

    /**
     * Notes that a target of this host crashed under a request.
     *
     * @param knownBefore crashes under it that were known when it was sent to this target
     */
    public void recordCrash(long fingerprint, int knownBefore, long nowMillis) {
        LocalRecord before = seen(fingerprint, nowMillis);
        localCrashes.put(
                fingerprint, new LocalRecord(Math.max(before.chain(), knownBefore + 1), before.suspects(), nowMillis));
    }

    /** Notes that a target answered a request, or made an event for it; such a request does not crash targets. */
    public void answered(long fingerprint, long nowMillis) {
        boolean suspicious = localCrashes.remove(fingerprint) != null
                || others.values().stream().anyMatch(told -> told.chains().containsKey(fingerprint));
        if (suspicious) {
            answered.put(fingerprint, nowMillis);
        }
    }

    /** Replaces what another host has counted. */
    public void updateRemote(String host, Map<Long, Integer> chains, long nowMillis) {
        others.put(host, new RemoteRecord(Map.copyOf(chains), nowMillis));
    }

    /** Returns whether a request has crashed so many targets that it must not be sent again. */
    public boolean isPoison(long fingerprint, long nowMillis) {
        return consecutiveCrashes(fingerprint, nowMillis) >= POISON_CRASH_THRESHOLD;
    }

    /** Returns the chains that this host knows at first hand, to be told to the others. */
    public Map<Long, Integer> localCrashes(long nowMillis) {
        expire(nowMillis);
        Map<Long, Integer> told = new HashMap<>();
        localCrashes.forEach((fingerprint, seen) -> {
            if (seen.chain() > 0) {
                told.put(fingerprint, seen.chain());
            }
        });
        return told;
    }

    private LocalRecord seen(long fingerprint, long nowMillis) {
        expire(nowMillis);
        return localCrashes.getOrDefault(fingerprint, LocalRecord.NOTHING);
    }

    private void expire(long nowMillis) {
        localCrashes.values().removeIf(seen -> nowMillis - seen.lastMillis() > KEEP_MILLIS);
        others.values().removeIf(told -> nowMillis - told.atMillis() > KEEP_MILLIS);
        answered.values().removeIf(at -> nowMillis - at > KEEP_MILLIS);
    }
}
