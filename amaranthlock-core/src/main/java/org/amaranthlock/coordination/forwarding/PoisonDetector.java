package org.amaranthlock.coordination.forwarding;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/** Follows whether one request crashes the targets that run it; not thread-safe. */
final class PoisonDetector {
    /** Time until a target that broke off is checked; by then hosts know whether its failure domain died with it. */
    private static final long CHECK_MILLIS = 500;

    /** Causes with which a target may have crashed; others were this host's own decisions. */
    private static final Set<String> BROKEN_OFF = Set.of("closed", "SocketException", "unreachable");

    private final long fingerprint;
    private final CrashHistory records;
    private final TargetLoadBalancer picker;
    private final ForwardingPort port;

    /** Crashes that were known at each send, those of this request that are still to be checked included. */
    private final Map<Integer, Integer> knownBefore = new HashMap<>();

    private int brokenOff;

    PoisonDetector(long fingerprint, CrashHistory records, TargetLoadBalancer picker, ForwardingPort port) {
        this.fingerprint = fingerprint;
        this.records = Objects.requireNonNull(records, "records");
        this.picker = Objects.requireNonNull(picker, "picker");
        this.port = Objects.requireNonNull(port, "port");
    }

    /** Returns whether the request must not be sent any more. */
    boolean isPoison(long nowMillis) {
        return records.isPoison(fingerprint, nowMillis);
    }

    /** Notes that an attempt is sent. */
    void recordSend(int attempt, long nowMillis) {
        knownBefore.put(attempt, records.consecutiveCrashes(fingerprint, nowMillis) + brokenOff);
    }

    /** Has the target of an attempt checked that ended without a sign of having begun. */
    void onAttemptLost(Attempt attempt, String cause) {
        if (BROKEN_OFF.contains(cause)) {
            brokenOff++;
            port.checkCrash(attempt, CHECK_MILLIS);
        }
    }

    /**
     * Takes that the target of a lost attempt does not accept connections, so that it crashed. When targets of its failure
     * domain that did not have this request are unreachable too, the request is not what crashed it.
     *
     * @return whether the crash is put down to the request
     */
    boolean recordUnreachable(Attempt attempt, long nowMillis) {
        records.recordSuspect(fingerprint, attempt.target().id(), nowMillis);
        boolean alone = !picker.isDomainFailing(
                attempt.target().failureDomain(), records.suspects(fingerprint, nowMillis), nowMillis);
        if (alone) {
            records.recordCrash(fingerprint, knownBefore.getOrDefault(attempt.number(), 0), nowMillis);
        }
        return alone;
    }

    /** Notes that a target answered the request, or made an event for it. */
    void recordResponse(long nowMillis) {
        records.answered(fingerprint, nowMillis);
    }
}
