package org.amaranthlock.coordination.forwarding;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.amaranthlock.coordination.promptpart.RequestParts;
import org.amaranthlock.coordination.promptpart.TrialDecision;

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

    /** Causes of a lost attempt after which a target that refuses connections counts as crashed by a prompt part. */
    private static final Set<String> BROKEN_CONNECTION_CAUSES = Set.of("closed", "SocketException");

    private static final String CRASHING_PART = "crashing-prompt-part";

    /** Interval at which a request that waits for a probe asks whether it may be sent, in milliseconds. */
    private static final long PROBE_MILLIS = 20;

    /** Time in which the other hosts can say that a suspect part is sound, before an attempt is withdrawn. */
    private static final long WITHDRAWAL_DELAY_MILLIS = 100;

    private static final long NEVER = Long.MAX_VALUE;

    private final long fingerprint;
    private final RequestParts parts;
    private final CrashHistory crashHistory;
    private final TargetLoadBalancer loadBalancer;
    private final DecisionRecorder decisions;
    private final ForwardingPort port;

    /** What was known of earlier crashes when an attempt was sent, by attempt number. */
    private final Map<Integer, KnownAtSend> knownAtSend = new HashMap<>();

    /** Attempts whose targets may have crashed, until they have been checked. */
    private final Set<Integer> unchecked = new HashSet<>();

    /** Attempts whose targets may have crashed because of a part of the prompt, until they have been probed. */
    private final Set<Integer> unprobed = new HashSet<>();

    /** Time at which the current attempt is withdrawn if its target is then still likely to crash. */
    private long withdrawalMillis = NEVER;

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

    PoisonDetector(
            RequestAttributes attributes, ForwardingState state, DecisionRecorder decisions, ForwardingPort port) {
        boolean partsTried = state.mechanisms().uses(Mechanism.PROMPT_PART_TRIALS);
        this.fingerprint = attributes.fingerprint();
        this.parts = state.promptPartGuard().request(partsTried ? attributes.sharedPromptParts() : List.of());
        this.crashHistory = state.crashHistory();
        this.loadBalancer = state.loadBalancer();
        this.decisions = Objects.requireNonNull(decisions, "decisions");
        this.port = Objects.requireNonNull(port, "port");
        parts.onBlamed(this::scheduleWithdrawal);
    }

    /**
     * Decides whether the request is sent.
     *
     * @param begun whether a target has begun to answer it, which shows that no part of its prompt crashes targets
     * @param mayHaveRun whether a target may have executed it
     */
    SendDecision decide(boolean begun, boolean mayHaveRun, long nowMillis) {
        if (crashHistory.isPoison(fingerprint, nowMillis)) {
            return new SendDecision.Reject(Rejection.of(502, "crashes-targets"));
        }
        if (begun) {
            return new SendDecision.Send();
        }
        if (!unprobed.isEmpty()) {
            return new SendDecision.Wait(PROBE_MILLIS);
        }
        return switch (parts.decide(nowMillis)) {
            case TrialDecision.Granted _ -> new SendDecision.Send();
            case TrialDecision.Wait wait -> new SendDecision.Wait(wait.millis());
            case TrialDecision.Rejected rejected ->
                new SendDecision.Reject(
                        mayHaveRun
                                ? Rejection.of(502, CRASHING_PART)
                                : Rejection.retryLater(rejected.retryAfterMillis(), CRASHING_PART));
        };
    }

    /** Returns when {@link #shouldWithdraw} is to be asked next. */
    long withdrawalMillis() {
        return withdrawalMillis;
    }

    /**
     * Returns whether the current attempt is to be withdrawn because its target is likely to crash under it, as a target
     * did under a request with the same part. It was sent before this was known.
     */
    boolean shouldWithdraw(long nowMillis) {
        if (nowMillis < withdrawalMillis) {
            return false;
        }
        withdrawalMillis = NEVER;
        return parts.isBlamed(nowMillis);
    }

    /** Records that the current attempt has ended. */
    void recordAttemptEnded() {
        withdrawalMillis = NEVER;
        parts.recordEnd();
    }

    /** Lets other requests with the same suspect parts be tried. */
    void release() {
        parts.release();
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
        parts.recordSend(attempt, nowMillis);
    }

    /** Schedules a check of the target of an attempt that ended before any response or event. */
    void onAttemptLost(Attempt attempt, String cause) {
        if (CRASH_CAUSES.contains(cause)) {
            unchecked.add(attempt.number());
            port.checkCrash(attempt, CRASH_CHECK_DELAY_MILLIS);
        }
        if (BROKEN_CONNECTION_CAUSES.contains(cause) && !parts.isEmpty()) {
            unprobed.add(attempt.number());
            port.probeLostTarget(attempt);
        }
    }

    /** Records whether the target of a lost attempt accepts connections right after the loss. */
    void recordProbe(Attempt attempt, boolean reachable, long nowMillis) {
        unprobed.remove(attempt.number());
        if (!reachable) {
            parts.recordCrash(attempt.number(), nowMillis);
        }
        decisions.record(reachable ? "target-alive" : "target-crashed", attempt, "after-loss", 0, nowMillis);
    }

    /**
     * Records whether the target of a lost attempt accepts connections some time after the loss. If it does, it did not
     * crash. If it does not, it crashed; if targets of its failure domain that did not execute this request are
     * unreachable too, the request did not cause the crash.
     */
    void recordCrashCheck(Attempt attempt, boolean reachable, long nowMillis) {
        unchecked.remove(attempt.number());
        if (!reachable) {
            boolean counted = countCrash(attempt, nowMillis);
            decisions.record(counted ? "crash-counted" : "crash-with-domain", attempt, "unreachable", 0, nowMillis);
        }
    }

    /** Records that a target has begun to answer the request. */
    void recordResponse(long nowMillis) {
        crashHistory.recordResponse(fingerprint, nowMillis);
        parts.recordBegun(nowMillis);
    }

    private void scheduleWithdrawal(long nowMillis) {
        if (withdrawalMillis == NEVER) {
            withdrawalMillis = nowMillis + WITHDRAWAL_DELAY_MILLIS;
            port.scheduleTimer(withdrawalMillis);
        }
    }

    /** Counts a crash, and returns whether it is attributed to the request. */
    private boolean countCrash(Attempt attempt, long nowMillis) {
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
}
