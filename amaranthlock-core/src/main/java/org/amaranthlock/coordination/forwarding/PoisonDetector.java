package org.amaranthlock.coordination.forwarding;

import java.util.HashMap;
import java.util.HashSet;
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

    /** What was known of earlier crashes when an attempt was sent, by attempt number. */
    private final Map<Integer, KnownAtSend> knownAtSend = new HashMap<>();

    /** Attempts whose targets may have crashed, until they have been checked. */
    private final Set<Integer> unchecked = new HashSet<>();

    /** Attempts whose targets this request has crashed. */
    private final Set<Integer> crashed = new HashSet<>();

    /**
     * State at the time of sending.
     *
     * @param crashes consecutive crashes known on any host
     * @param unchecked earlier attempts that may turn out to be crashes
     */
    private record KnownAtSend(int crashes, Set<Integer> unchecked) {
        private static final KnownAtSend NOTHING = new KnownAtSend(0, Set.of());
    }

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

    /**
     * Returns whether the request may have crashed a target. Its next target is to be checked before the request is
     * sent: a connection that a dead target leaves behind looks like a crash caused by this request.
     */
    boolean isSuspect(long nowMillis) {
        return !unchecked.isEmpty() || crashHistory.consecutiveCrashes(fingerprint, nowMillis) > 0;
    }

    /** Records that an attempt is sent. */
    void recordSend(int attempt, long nowMillis) {
        knownAtSend.put(
                attempt,
                new KnownAtSend(crashHistory.consecutiveCrashes(fingerprint, nowMillis), Set.copyOf(unchecked)));
    }

    /** Schedules a check of the target of an attempt that ended before any response or event. */
    void onAttemptLost(Attempt attempt, String cause) {
        if (CRASH_CAUSES.contains(cause)) {
            unchecked.add(attempt.number());
            port.checkCrash(attempt, CRASH_CHECK_DELAY_MILLIS);
        }
    }

    /** Records that the target of a lost attempt accepts connections, that is, that it did not crash. */
    void recordReachable(Attempt attempt) {
        unchecked.remove(attempt.number());
    }

    /**
     * Records that the target of a lost attempt does not accept connections, that is, that it crashed. If targets of
     * its failure domain that did not execute this request are unreachable too, the request did not cause the crash.
     *
     * @return whether the crash is attributed to the request
     */
    boolean recordUnreachable(Attempt attempt, long nowMillis) {
        unchecked.remove(attempt.number());
        crashHistory.recordUnreachable(fingerprint, attempt.target().id(), nowMillis);
        boolean causedByRequest = !loadBalancer.isDomainFailing(
                attempt.target().failureDomain(), crashHistory.unreachableTargets(fingerprint, nowMillis), nowMillis);
        if (causedByRequest) {
            KnownAtSend known = knownAtSend.getOrDefault(attempt.number(), KnownAtSend.NOTHING);
            int crashedSince =
                    (int) known.unchecked().stream().filter(crashed::contains).count();
            crashed.add(attempt.number());
            crashHistory.recordCrash(fingerprint, known.crashes() + crashedSince, nowMillis);
        }
        return causedByRequest;
    }

    /** Records that a target sent a response or an event for the request. */
    void recordResponse(long nowMillis) {
        crashHistory.recordResponse(fingerprint, nowMillis);
    }
}
