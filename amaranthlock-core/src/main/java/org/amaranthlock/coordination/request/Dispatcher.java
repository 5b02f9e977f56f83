package org.amaranthlock.coordination.request;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.coordination.poison.PoisonRegistry;
import org.amaranthlock.coordination.poison.PoisonRegistry.PoisonState;
import org.amaranthlock.coordination.routing.SelectionContext;
import org.amaranthlock.coordination.routing.TargetSelector.AttemptResult;
import org.amaranthlock.model.AttemptId;
import org.amaranthlock.model.Capability;
import org.amaranthlock.model.FailureDomain;
import org.amaranthlock.model.RequestSpec;
import org.amaranthlock.model.Target;
import org.amaranthlock.model.TargetId;

/** Chooses targets for the attempts of this router and tracks running attempts, resume prefills and lost attempts. */
final class Dispatcher {
    /** Maximum number of concurrent resume prefills per target; more would delay each other and the running streams. */
    static final int MAX_RESUME_PREFILLS_PER_TARGET = 4;

    /** Time in which losses on several targets of one failure domain count as a single failure of the domain. */
    static final long DOMAIN_LOSS_WINDOW_MILLIS = 2000;

    /** Time after the loss of an attempt in which a refused connection is attributed to a crash of the target. */
    private static final long CRASH_WINDOW_MILLIS = 5000;

    /** Longest time for a new connection to show whether the target of a lost suspect request has crashed. */
    private static final long CRASH_DETECTION_MILLIS = 200;

    private final RequestDependencies dependencies;
    private final Map<AttemptId, RunningAttempt> runningAttempts = new LinkedHashMap<>();
    private final List<LostAttempt> lostAttempts = new ArrayList<>();

    Dispatcher(RequestDependencies dependencies) {
        this.dependencies = dependencies;
    }

    PoisonState poisonState(RequestSpec spec, long now) {
        return dependencies.poison().state(spec, now);
    }

    /** Chooses a target that satisfies the constraints of a request, or returns empty if none is available now. */
    Optional<Target> chooseTarget(
            RequestSpec spec,
            Set<TargetId> excluded,
            Optional<Target> lostTarget,
            String version,
            int resumedTokens,
            long now) {
        Set<TargetId> ineligible = new HashSet<>(excluded);
        for (RunningAttempt other : runningAttempts.values()) {
            if (other.exclusive) {
                ineligible.add(other.target.id());
            }
        }
        if (resumedTokens > 0) {
            excludeUnfitForResume(spec, version, ineligible);
        }
        boolean exclusive = poisonState(spec, now) == PoisonState.SUSPECT;
        if (exclusive && isAwaitingCrashDetection(spec, now)) {
            return Optional.empty();
        }
        Optional<FailureDomain> avoidedDomain =
                lostTarget.filter(target -> isDomainFailing(target, now)).map(Target::failureDomain);
        SelectionContext context = new SelectionContext(ineligible, avoidedDomain, version, resumedTokens, exclusive);
        return dependencies.selector().select(spec, context, now).filter(target -> !ineligible.contains(target.id()));
    }

    private void excludeUnfitForResume(RequestSpec spec, String version, Set<TargetId> ineligible) {
        for (Target target : dependencies.targets().targets(spec.service())) {
            boolean fit = target.supports(Capability.RESUME) && target.version().equals(version);
            if (!fit || countResumePrefills(target.id()) >= MAX_RESUME_PREFILLS_PER_TARGET) {
                ineligible.add(target.id());
            }
        }
    }

    private long countResumePrefills(TargetId target) {
        return runningAttempts.values().stream()
                .filter(attempt ->
                        attempt.resumePrefillPending && attempt.target.id().equals(target))
                .count();
    }

    private boolean isDomainFailing(Target target, long now) {
        return lostAttempts.stream()
                .anyMatch(loss -> !loss.target.id().equals(target.id())
                        && loss.target.failureDomain().equals(target.failureDomain())
                        && now - loss.lostAtMillis <= DOMAIN_LOSS_WINDOW_MILLIS);
    }

    /** Records that an attempt is sent to a target. */
    void recordStart(AttemptId attempt, RequestSpec spec, Target target, int resumedTokens, long now) {
        boolean exclusive = poisonState(spec, now) == PoisonState.SUSPECT;
        runningAttempts.put(attempt, new RunningAttempt(spec, target, now, exclusive, resumedTokens > 0));
        dependencies.selector().onAttemptStarted(attempt, spec, target, resumedTokens, now);
    }

    /** Records received tokens; a service response counts as one token. */
    void recordTokens(AttemptId attempt, int tokens, long now) {
        RunningAttempt entry = runningAttempts.get(attempt);
        if (entry != null) {
            entry.resumePrefillPending = false;
        }
        dependencies.selector().onTokens(attempt, tokens, now);
    }

    /** Records the end of an attempt that was not lost. */
    void recordEnd(AttemptId attempt, AttemptResult result, long now) {
        if (runningAttempts.remove(attempt) != null) {
            dependencies.selector().onAttemptFinished(attempt, result, now);
        }
    }

    /** Records that the connection of an attempt was lost or its stream stalled. */
    void recordLoss(AttemptId attempt, long now) {
        RunningAttempt entry = runningAttempts.remove(attempt);
        if (entry != null) {
            lostAttempts.add(
                    new LostAttempt(entry.spec, entry.target, now - entry.startedAtMillis, now, entry.crashCounted));
            dependencies.selector().onAttemptFinished(attempt, AttemptResult.FAILED, now);
        }
    }

    /**
     * Returns whether a suspect request must wait because it is not yet known whether its lost target has crashed.
     *
     * <p>A crash makes the request poison.
     */
    private boolean isAwaitingCrashDetection(RequestSpec spec, long now) {
        return lostAttempts.stream()
                .anyMatch(loss -> loss.spec.id().equals(spec.id())
                        && !loss.crashCounted
                        && !loss.targetSurvived
                        && now - loss.lostAtMillis < CRASH_DETECTION_MILLIS);
    }

    /** Records that a target is reachable, so the attempts lost there were not lost in a crash. */
    void onTargetReachable(TargetId target) {
        lostAttempts.stream()
                .filter(loss -> loss.target.id().equals(target))
                .forEach(loss -> loss.targetSurvived = true);
    }

    /** Records the crash of a target for the requests that ran there; each attempt is counted at most once. */
    void onTargetUnreachable(TargetId target, long now, List<Command> out) {
        List<PoisonRegistry.RunningRequest> requestsAtCrash = new ArrayList<>();
        for (RunningAttempt entry : runningAttempts.values()) {
            if (entry.target.id().equals(target) && !entry.crashCounted) {
                entry.crashCounted = true;
                requestsAtCrash.add(new PoisonRegistry.RunningRequest(entry.spec, now - entry.startedAtMillis));
            }
        }
        for (LostAttempt loss : lostAttempts) {
            if (loss.target.id().equals(target) && !loss.crashCounted) {
                loss.crashCounted = true;
                requestsAtCrash.add(new PoisonRegistry.RunningRequest(loss.spec, loss.runtimeMillis));
            }
        }
        if (!requestsAtCrash.isEmpty()) {
            recordTargetCrash(target, requestsAtCrash, now, out);
        }
    }

    private void recordTargetCrash(
            TargetId target, List<PoisonRegistry.RunningRequest> requestsAtCrash, long now, List<Command> out) {
        List<PoisonState> before = requestsAtCrash.stream()
                .map(request -> poisonState(request.spec(), now))
                .toList();
        dependencies.poison().recordTargetCrash(target, requestsAtCrash, now);
        for (int i = 0; i < requestsAtCrash.size(); i++) {
            RequestSpec spec = requestsAtCrash.get(i).spec();
            PoisonState after = poisonState(spec, now);
            if (after == before.get(i)) {
                continue;
            }
            if (after == PoisonState.SUSPECT) {
                out.add(RequestTrace.poisonSuspected(spec.id(), target));
            } else if (after == PoisonState.POISON) {
                out.add(RequestTrace.poisonConfirmed(spec.id(), target));
            }
        }
    }

    /** Removes losses that are too old to be attributed to a crash. */
    void tick(long now) {
        Iterator<LostAttempt> losses = lostAttempts.iterator();
        while (losses.hasNext()) {
            if (now - losses.next().lostAtMillis > CRASH_WINDOW_MILLIS) {
                losses.remove();
            }
        }
    }

    private static final class RunningAttempt {
        private final RequestSpec spec;
        private final Target target;
        private final long startedAtMillis;
        private final boolean exclusive;
        private boolean resumePrefillPending;
        private boolean crashCounted;

        RunningAttempt(
                RequestSpec spec,
                Target target,
                long startedAtMillis,
                boolean exclusive,
                boolean resumePrefillPending) {
            this.spec = spec;
            this.target = target;
            this.startedAtMillis = startedAtMillis;
            this.exclusive = exclusive;
            this.resumePrefillPending = resumePrefillPending;
        }
    }

    private static final class LostAttempt {
        private final RequestSpec spec;
        private final Target target;
        private final long runtimeMillis;
        private final long lostAtMillis;
        private boolean crashCounted;
        private boolean targetSurvived;

        LostAttempt(RequestSpec spec, Target target, long runtimeMillis, long lostAtMillis, boolean crashCounted) {
            this.spec = spec;
            this.target = target;
            this.runtimeMillis = runtimeMillis;
            this.lostAtMillis = lostAtMillis;
            this.crashCounted = crashCounted;
        }
    }
}
