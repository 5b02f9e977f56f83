package org.amaranthlock.coordination.forwarding;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/** Follows whether one request crashes the targets that run it; not thread-safe. */
final class PoisonDetector {
    /** Time until a target that broke off is checked; by then hosts know whether its failure domain died with it. */
    private static final long CRASH_CHECK_DELAY_MILLIS = 500;

    /** Causes with which a target may have crashed; others were this host's own decisions. */
    private static final Set<String> CRASH_CAUSES = Set.of("closed", "SocketException", "unreachable");

    private final long fingerprint;
    private final CrashHistory crashHistory;
    private final TargetLoadBalancer loadBalancer;
    private final ForwardingPort port;

    /** Crashes that were known at each send, those of this request that are still to be checked included. */
    private final Map<Integer, Integer> crashesAtSend = new HashMap<>();

    private int possibleCrashes;

    PoisonDetector(long fingerprint, CrashHistory crashHistory, TargetLoadBalancer loadBalancer, ForwardingPort port) {
        this.fingerprint = fingerprint;
        this.crashHistory = Objects.requireNonNull(crashHistory, "records");
        this.loadBalancer = Objects.requireNonNull(loadBalancer, "picker");
        this.port = Objects.requireNonNull(port, "port");
    }

    /** Returns whether the request must not be sent any more. */
    boolean isPoison(long nowMillis) {
        return crashHistory.isPoison(fingerprint, nowMillis);
    }

    /** Notes that an attempt is sent. */
    void recordSend(int attempt, long nowMillis) {
        crashesAtSend.put(attempt, crashHistory.consecutiveCrashes(fingerprint, nowMillis) + possibleCrashes);
    }

    /** Has the target of an attempt checked that ended without a sign of having begun. */
    void onAttemptLost(Attempt attempt, String cause) {
        if (CRASH_CAUSES.contains(cause)) {
            possibleCrashes++;
            port.checkCrash(attempt, CRASH_CHECK_DELAY_MILLIS);
        }
    }

    /**
     * Takes that the target of a lost attempt does not accept connections, so that it crashed. When targets of its failure
     * domain that did not have this request are unreachable too, the request is not what crashed it.
     *
     * @return whether the crash is put down to the request
     */
    boolean recordUnreachable(Attempt attempt, long nowMillis) {
        crashHistory.recordSuspect(fingerprint, attempt.target().id(), nowMillis);
        boolean alone = !loadBalancer.isDomainFailing(
                attempt.target().failureDomain(), crashHistory.suspects(fingerprint, nowMillis), nowMillis);
        if (alone) {
            crashHistory.recordCrash(fingerprint, crashesAtSend.getOrDefault(attempt.number(), 0), nowMillis);
        }
        return alone;
    }

    /** Notes that a target answered the request, or made an event for it. */
    void recordResponse(long nowMillis) {
        crashHistory.recordResponse(fingerprint, nowMillis);
    }
}
