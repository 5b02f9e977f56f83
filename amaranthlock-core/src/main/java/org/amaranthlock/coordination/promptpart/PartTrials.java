package org.amaranthlock.coordination.promptpart;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;
import org.amaranthlock.model.PromptPartId;

/**
 * Trials of suspect parts: one request at a time over all hosts is sent with a suspect part.
 *
 * <p>A host claims the parts of a request, which the other hosts hear of, and sends it some time later unless another
 * host tries one of the parts or has claimed it too and has the lower name. No host coordinates this; hosts that do not
 * hear of one another may try a part at the same time. Not thread-safe.
 */
final class PartTrials {
    /** Time in which the other hosts hear of a claim, in milliseconds. */
    static final long CLAIM_MILLIS = 80;

    /** Time for which a trial keeps others from being tried, in milliseconds; its engine may have a long queue. */
    static final long TRIAL_MILLIS = 6_000;

    /** Time after which the trials of a host that no longer reports are ended, in milliseconds. */
    private static final long REPORT_MILLIS = 5_000;

    private final String localHost;
    private final Map<RequestParts, LocalTrial> localTrials = new HashMap<>();
    private final Map<String, RemoteTrials> remoteTrials = new HashMap<>();
    private boolean changed;

    /**
     * Trial of a request of this host.
     *
     * @param sentAtMillis time at which the request was first sent; empty while its parts are only claimed
     */
    private record LocalTrial(Set<PromptPartId> parts, long claimedAtMillis, OptionalLong sentAtMillis) {
        private boolean sent() {
            return sentAtMillis.isPresent();
        }

        /** Returns whether no other request with these parts is tried meanwhile. */
        private boolean isExclusive(long nowMillis) {
            return !sent() || nowMillis - sentAtMillis.getAsLong() < TRIAL_MILLIS;
        }
    }

    private record RemoteTrials(Set<PromptPartId> claimed, Set<PromptPartId> tried, long atMillis) {}

    PartTrials(String localHost) {
        this.localHost = Objects.requireNonNull(localHost, "local host");
    }

    /** Decides whether a request may be sent with these suspect parts, and claims them if nobody else tries them. */
    TrialDecision decide(RequestParts request, Set<PromptPartId> suspects, long pollMillis, long nowMillis) {
        remoteTrials.values().removeIf(remote -> nowMillis - remote.atMillis() >= REPORT_MILLIS);
        LocalTrial trial = localTrials.get(request);
        if (trial == null || !trial.parts().containsAll(suspects)) {
            return claim(request, suspects, pollMillis, nowMillis);
        }
        long claimedForMillis = nowMillis - trial.claimedAtMillis();
        if (!trial.sent() && claimedForMillis < CLAIM_MILLIS) {
            return new TrialDecision.Wait(CLAIM_MILLIS - claimedForMillis);
        }
        if (!trial.sent() && isLostToOtherHost(suspects)) {
            release(request);
            return new TrialDecision.Wait(pollMillis);
        }
        if (!trial.sent()) {
            localTrials.put(
                    request, new LocalTrial(trial.parts(), trial.claimedAtMillis(), OptionalLong.of(nowMillis)));
            changed = true;
        }
        return new TrialDecision.Granted();
    }

    /** Returns whether a request has been sent as the trial of its suspect parts. */
    boolean isTried(RequestParts request) {
        LocalTrial trial = localTrials.get(request);
        return trial != null && trial.sent();
    }

    /** Ends the trial of a request, if it has one. */
    void release(RequestParts request) {
        changed |= localTrials.remove(request) != null;
    }

    void updateRemote(PromptPartReport report, long nowMillis) {
        remoteTrials.put(report.host(), new RemoteTrials(report.claimed(), report.tried(), nowMillis));
    }

    boolean hasChanged() {
        return changed;
    }

    void markReported() {
        changed = false;
    }

    /** Has the trials of this host reported again, if it has any. */
    void repeat() {
        changed |= !localTrials.isEmpty();
    }

    /** Returns the parts that requests of this host are about to try. */
    Set<PromptPartId> claimedParts() {
        return partsOf(trial -> !trial.sent());
    }

    /** Returns the parts that requests of this host try, while no other request with them is to be tried. */
    Set<PromptPartId> triedParts(long nowMillis) {
        return partsOf(trial -> trial.sent() && trial.isExclusive(nowMillis));
    }

    private Set<PromptPartId> partsOf(Predicate<LocalTrial> matching) {
        Set<PromptPartId> parts = new HashSet<>();
        localTrials.values().stream().filter(matching).forEach(trial -> parts.addAll(trial.parts()));
        return parts;
    }

    private TrialDecision claim(RequestParts request, Set<PromptPartId> suspects, long pollMillis, long nowMillis) {
        localTrials.remove(request);
        if (isTaken(suspects, nowMillis)) {
            return new TrialDecision.Wait(pollMillis);
        }
        localTrials.put(request, new LocalTrial(Set.copyOf(suspects), nowMillis, OptionalLong.empty()));
        changed = true;
        return new TrialDecision.Wait(CLAIM_MILLIS);
    }

    private boolean isTaken(Set<PromptPartId> suspects, long nowMillis) {
        return localTrials.values().stream()
                        .anyMatch(trial -> trial.isExclusive(nowMillis) && intersect(trial.parts(), suspects))
                || remoteTrials.values().stream()
                        .anyMatch(
                                remote -> intersect(remote.tried(), suspects) || intersect(remote.claimed(), suspects));
    }

    private boolean isLostToOtherHost(Set<PromptPartId> suspects) {
        return remoteTrials.entrySet().stream()
                .anyMatch(remote -> intersect(remote.getValue().tried(), suspects)
                        || (intersect(remote.getValue().claimed(), suspects)
                                && remote.getKey().compareTo(localHost) < 0));
    }

    private static boolean intersect(Set<PromptPartId> one, Set<PromptPartId> other) {
        return other.stream().anyMatch(one::contains);
    }
}
