package org.amaranthlock.coordination.forwarding;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/** Detects whether a request crashes the targets that execute it; not thread-safe. */
final class PoisonDetector {
    /**
     * Delay before a target that closed its connection is checked; by then hosts know whether its domain failed too.
     */
    private static final long CRASH_CHECK_DELAY_MILLIS = 500;

    /**
     * Causes of a lost attempt that may indicate a crash: a closed connection, the exception of a reset one, a failed
     * probe. The other causes are decisions of this host or faulty responses.
     */
    private static final Set<String> CRASH_CAUSES = Set.of("closed", "SocketException", "unreachable");

    private final long fingerprint;
    private final CrashHistory crashHistory;
    private final TargetLoadBalancer loadBalancer;
    private final ForwardingPort port;

    /** Crashes known at the time of sending by attempt number, plus the {@link #possibleCrashes} until then. */
    private final Map<Integer, Integer> crashesAtSend = new HashMap<>();

    /** Number of attempts of this request that may have crashed their targets; not reduced when a check ends. */
    private int possibleCrashes;

    PoisonDetector(long fingerprint, CrashHistory crashHistory, TargetLoadBalancer loadBalancer, ForwardingPort port) {
        this.fingerprint = fingerprint;
        this.crashHistory = Objects.requireNonNull(crashHistory, "crash history");
        this.loadBalancer = Objects.requireNonNull(loadBalancer, "load balancer");
        this.port = Objects.requireNonNull(port, "port");
    }

    /** Returns whether the request must not be sent again. */
    boolean isPoison(long nowMillis) {
        return crashHistory.isPoison(fingerprint, nowMillis);
    }

    /** Records that an attempt is sent. */
    void recordSend(int attempt, long nowMillis) {
        crashesAtSend.put(attempt, crashHistory.consecutiveCrashes(fingerprint, nowMillis) + possibleCrashes);
    }

    /** Schedules a check of the target of an attempt that ended before any response or event. */
    void onAttemptLost(Attempt attempt, String cause) {
        if (CRASH_CAUSES.contains(cause)) {
            possibleCrashes++;
            port.checkCrash(attempt, CRASH_CHECK_DELAY_MILLIS);
        }
    }

    /**
     * Records that the target of a lost attempt does not accept connections, that is, that it crashed. If targets of
     * its failure domain that did not execute this request are unreachable too, the request did not cause the crash.
     *
     * @return whether the crash is attributed to the request
     */
    boolean recordUnreachable(Attempt attempt, long nowMillis) {
        crashHistory.recordUnreachable(fingerprint, attempt.target().id(), nowMillis);
        boolean causedByRequest = !loadBalancer.isDomainFailing(
                attempt.target().failureDomain(), crashHistory.unreachableTargets(fingerprint, nowMillis), nowMillis);
        if (causedByRequest) {
            crashHistory.recordCrash(fingerprint, crashesAtSend.getOrDefault(attempt.number(), 0), nowMillis);
        }
        return causedByRequest;
    }

    /** Records that a target sent a response or an event for the request. */
    void recordResponse(long nowMillis) {
        crashHistory.recordResponse(fingerprint, nowMillis);
    }
}
