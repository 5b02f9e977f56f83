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

/** Chooses targets for all attempts of this router and notes which attempts run, waste a prefill or were lost. */
final class Dispatcher {
    /** Resumes whose prefill runs at a target at the same time; more would delay each other and the running streams. */
    static final int MAX_RESUME_PREFILLS_PER_TARGET = 4;

    /** Time in which losses of targets of one failure domain count as one event. */
    static final long DOMAIN_LOSS_WINDOW_MILLIS = 2000;

    /** Time in which a refused connection after the loss of an attempt still counts as a death of the target. */
    private static final long CRASH_WINDOW_MILLIS = 5000;

    /** Longest time for a new connection to tell whether a target that lost a suspect has died. */
    private static final long CRASH_DETECTION_MILLIS = 200;

    private final RequestDependencies dependencies;
    private final Map<AttemptId, RunningAttempt> runningAttempts = new LinkedHashMap<>();
    private final List<LostAttempt> recordLoss = new ArrayList<>();

    Dispatcher(RequestDependencies services) {
        this.dependencies = services;
    }

    PoisonState poisonState(RequestSpec spec, long now) {
        return dependencies.poison().state(spec, now);
    }

    /** Chooses a target under the conditions of a request; empty if none is available now. */
    Optional<Target> chooseTarget(
            RequestSpec spec,
            Set<TargetId> excluded,
            Optional<Target> lostTarget,
            String version,
            int resumedTokens,
            long now) {
        Set<TargetId> barred = new HashSet<>(excluded);
        for (RunningAttempt other : runningAttempts.values()) {
            if (other.exclusive) {
                barred.add(other.target.id());
            }
        }
        if (resumedTokens > 0) {
            excludeUnfitForResume(spec, version, barred);
        }
        boolean alone = poisonState(spec, now) == PoisonState.SUSPECT;
        if (alone && isAwaitingCrashDetection(spec, now)) {
            return Optional.empty();
        }
        Optional<FailureDomain> avoided =
                lostTarget.filter(target -> isDomainFailing(target, now)).map(Target::failureDomain);
        SelectionContext context = new SelectionContext(barred, avoided, version, resumedTokens, alone);
        return dependencies.selector().select(spec, context, now).filter(target -> !barred.contains(target.id()));
    }

    private void excludeUnfitForResume(RequestSpec spec, String version, Set<TargetId> barred) {
        for (Target target : dependencies.targets().targets(spec.service())) {
            boolean fit = target.supports(Capability.RESUME) && target.version().equals(version);
            if (!fit || countResumePrefills(target.id()) >= MAX_RESUME_PREFILLS_PER_TARGET) {
                barred.add(target.id());
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
        return recordLoss.stream()
                .anyMatch(loss -> !loss.target.id().equals(target.id())
                        && loss.target.failureDomain().equals(target.failureDomain())
                        && now - loss.lostAtMillis <= DOMAIN_LOSS_WINDOW_MILLIS);
    }

    /** Notes that an attempt is sent to a target. */
    void recordStart(AttemptId attempt, RequestSpec spec, Target target, int resumedTokens, long now) {
        boolean alone = poisonState(spec, now) == PoisonState.SUSPECT;
        runningAttempts.put(attempt, new RunningAttempt(spec, target, now, alone, resumedTokens > 0));
        dependencies.selector().onAttemptStarted(attempt, spec, target, resumedTokens, now);
    }

    /** Notes tokens, or an answer as one token. */
    void recordTokens(AttemptId attempt, int tokens, long now) {
        RunningAttempt entry = runningAttempts.get(attempt);
        if (entry != null) {
            entry.resumePrefillPending = false;
        }
        dependencies.selector().onTokens(attempt, tokens, now);
    }

    /** Notes the end of an attempt that was not lost. */
    void recordEnd(AttemptId attempt, AttemptResult result, long now) {
        if (runningAttempts.remove(attempt) != null) {
            dependencies.selector().onAttemptFinished(attempt, result, now);
        }
    }

    /** Notes that the connection of an attempt was lost or its stream stalled. */
    void recordLoss(AttemptId attempt, long now) {
        RunningAttempt entry = runningAttempts.remove(attempt);
        if (entry != null) {
            recordLoss.add(
                    new LostAttempt(entry.spec, entry.target, now - entry.startedAtMillis, now, entry.crashCounted));
            dependencies.selector().onAttemptFinished(attempt, AttemptResult.FAILED, now);
        }
    }

    /** A suspect waits until it is known whether the loss was a death, which would condemn it. */
    private boolean isAwaitingCrashDetection(RequestSpec spec, long now) {
        return recordLoss.stream()
                .anyMatch(loss -> loss.spec.id().equals(spec.id())
                        && !loss.crashCounted
                        && !loss.targetSurvived
                        && now - loss.lostAtMillis < CRASH_DETECTION_MILLIS);
    }

    /** Notes that a target lives, so the losses there were no deaths. */
    void onTargetReachable(TargetId target) {
        recordLoss.stream().filter(loss -> loss.target.id().equals(target)).forEach(loss -> loss.targetSurvived = true);
    }

    /** Counts the death of a target against the requests that ran there, each attempt at most once. */
    void onTargetUnreachable(TargetId target, long now, List<Command> out) {
        List<PoisonRegistry.RunningRequest> victims = new ArrayList<>();
        for (RunningAttempt entry : runningAttempts.values()) {
            if (entry.target.id().equals(target) && !entry.crashCounted) {
                entry.crashCounted = true;
                victims.add(new PoisonRegistry.RunningRequest(entry.spec, now - entry.startedAtMillis));
            }
        }
        for (LostAttempt loss : recordLoss) {
            if (loss.target.id().equals(target) && !loss.crashCounted) {
                loss.crashCounted = true;
                victims.add(new PoisonRegistry.RunningRequest(loss.spec, loss.runtimeMillis));
            }
        }
        if (!victims.isEmpty()) {
            recordTargetCrash(target, victims, now, out);
        }
    }

    private void recordTargetCrash(
            TargetId target, List<PoisonRegistry.RunningRequest> victims, long now, List<Command> out) {
        List<PoisonState> before =
                victims.stream().map(victim -> poisonState(victim.spec(), now)).toList();
        dependencies.poison().recordTargetCrash(target, victims, now);
        for (int i = 0; i < victims.size(); i++) {
            RequestSpec spec = victims.get(i).spec();
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

    /** Forgets losses that no longer matter. */
    void tick(long now) {
        Iterator<LostAttempt> losses = recordLoss.iterator();
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

        RunningAttempt(RequestSpec spec, Target target, long startedAtMillis, boolean alone, boolean prefill) {
            this.spec = spec;
            this.target = target;
            this.startedAtMillis = startedAtMillis;
            this.exclusive = alone;
            this.resumePrefillPending = prefill;
        }
    }

    private static final class LostAttempt {
        private final RequestSpec spec;
        private final Target target;
        private final long runtimeMillis;
        private final long lostAtMillis;
        private boolean crashCounted;
        private boolean targetSurvived;

        LostAttempt(RequestSpec spec, Target target, long ranMillis, long atMillis, boolean counted) {
            this.spec = spec;
            this.target = target;
            this.runtimeMillis = ranMillis;
            this.lostAtMillis = atMillis;
            this.crashCounted = counted;
        }
    }
}
