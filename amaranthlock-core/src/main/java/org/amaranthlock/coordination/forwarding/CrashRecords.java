package org.amaranthlock.coordination.forwarding;

import java.util.HashMap;
import java.util.Map;

/**
 * Counts the targets that crashed when they began to run a request, over all hosts.
 *
 * <p>Load pattern: a request crashes each target that runs it, and its client sends it again to any host. Each crash is
 * seen by the one host that sent the request, so the counts of the hosts add up. Not thread-safe.
 */
public final class CrashRecords {
    /** Crashes after which a request is not sent any more. */
    public static final int CONDEMNING_CRASHES = 3;

    /** Time for which a crash counts, milliseconds; clients repeat such a request within it. */
    private static final long KEEP_MILLIS = 120_000;

    private final Map<Long, Seen> own = new HashMap<>();
    private final Map<String, Map<Long, Integer>> others = new HashMap<>();

    private record Seen(int crashes, long lastMillis) {}

    /** Notes that a target of this host crashed under a request. */
    public void crashed(long fingerprint, long nowMillis) {
        expire(nowMillis);
        Seen before = own.get(fingerprint);
        own.put(fingerprint, new Seen(before == null ? 1 : before.crashes() + 1, nowMillis));
    }

    /** Replaces what another host has counted. */
    public void heard(String host, Map<Long, Integer> crashes) {
        others.put(host, Map.copyOf(crashes));
    }

    /** Returns whether a request has crashed so many targets that it must not be sent again. */
    public boolean condemned(long fingerprint, long nowMillis) {
        expire(nowMillis);
        Seen seen = own.get(fingerprint);
        int crashes = seen == null ? 0 : seen.crashes();
        for (Map<Long, Integer> counted : others.values()) {
            crashes += counted.getOrDefault(fingerprint, 0);
        }
        return crashes >= CONDEMNING_CRASHES;
    }

    /** Returns what this host has counted itself, to be told to the others. */
    public Map<Long, Integer> own(long nowMillis) {
        expire(nowMillis);
        Map<Long, Integer> counted = new HashMap<>();
        own.forEach((fingerprint, seen) -> counted.put(fingerprint, seen.crashes()));
        return counted;
    }

    private void expire(long nowMillis) {
        own.values().removeIf(seen -> nowMillis - seen.lastMillis() > KEEP_MILLIS);
    }
}
