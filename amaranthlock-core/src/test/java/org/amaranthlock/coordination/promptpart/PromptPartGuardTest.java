package org.amaranthlock.coordination.promptpart;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import org.amaranthlock.model.PromptPartId;
import org.junit.jupiter.api.Test;

class PromptPartGuardTest {
    private static final PromptPartId SHARED = new PromptPartId("shared");
    private static final PromptPartId CRASHING = new PromptPartId("crashing");
    private static final TrialDecision GRANTED = new TrialDecision.Granted();

    private final PromptPartGuard guard = new PromptPartGuard("host-1", PromptPartListener.none());
    private long nowMillis = 1_000;

    @Test
    void requestsWithoutSuspectPartAreSentAtOnce() {
        assertThat(decide(guard.request(List.of(SHARED)))).isEqualTo(GRANTED);
        assertThat(decide(guard.request(List.of()))).isEqualTo(GRANTED);
    }

    @Test
    void requestsWithSuspectPartAreTriedOneAtATime() {
        crash(SHARED, CRASHING);
        RequestParts first = guard.request(List.of(SHARED, CRASHING));
        RequestParts second = guard.request(List.of(SHARED, CRASHING));
        assertThat(decide(first)).isEqualTo(new TrialDecision.Wait(PartTrials.CLAIM_MILLIS));
        nowMillis += PartTrials.CLAIM_MILLIS;
        assertThat(decide(first)).isEqualTo(GRANTED);
        assertThat(decide(second)).isInstanceOf(TrialDecision.Wait.class);
        first.recordBegun(nowMillis);
        assertThat(decide(second)).isEqualTo(GRANTED);
    }

    @Test
    void requestsAreRejectedAfterThreeConsecutiveCrashes() {
        crash(SHARED, CRASHING);
        crash(SHARED, CRASHING);
        assertThat(decide(guard.request(List.of(SHARED, CRASHING)))).isInstanceOf(TrialDecision.Wait.class);
        crash(SHARED, CRASHING);
        assertThat(decide(guard.request(List.of(SHARED, CRASHING)))).isInstanceOf(TrialDecision.Rejected.class);
    }

    // Guards against shutting out sound requests that share a part with all the requests that crashed targets.
    @Test
    void requestWithoutTheOtherPartsOfCrashedOnesIsTriedAndClearsItsPart() {
        for (int i = 0; i < 3; i++) {
            crash(SHARED, CRASHING);
        }
        RequestParts sound = guard.request(List.of(SHARED));
        assertThat(decide(sound)).isEqualTo(new TrialDecision.Wait(PartTrials.CLAIM_MILLIS));
        nowMillis += PartTrials.CLAIM_MILLIS;
        assertThat(decide(sound)).isEqualTo(GRANTED);
        sound.recordBegun(nowMillis);
        assertThat(decide(guard.request(List.of(SHARED)))).isEqualTo(GRANTED);
        assertThat(decide(guard.request(List.of(SHARED, CRASHING)))).isInstanceOf(TrialDecision.Rejected.class);
        assertThat(decide(guard.request(List.of(CRASHING)))).isInstanceOf(TrialDecision.Rejected.class);
    }

    // Guards against the reverse: the part that all requests share is the one that crashes targets.
    @Test
    void sharedPartIsBlamedOnceItCrashesTargetsWithoutTheOthers() {
        for (int i = 0; i < 3; i++) {
            crash(SHARED, CRASHING);
        }
        crash(SHARED);
        assertThat(decide(guard.request(List.of(SHARED)))).isInstanceOf(TrialDecision.Rejected.class);
    }

    // Guards against taking the failure of a failure domain, whose targets crash at once, for crashes by a part.
    @Test
    void crashesOfTargetsThatRanRequestsAtTheSameTimeCountOnce() {
        List<RequestParts> running = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            RequestParts request = guard.request(List.of(SHARED));
            request.recordSend(1, nowMillis);
            running.add(request);
        }
        nowMillis += 500;
        running.forEach(request -> request.recordCrash(1, nowMillis));
        assertThat(decide(guard.request(List.of(SHARED)))).isInstanceOf(TrialDecision.Wait.class);
    }

    // Guards against requests of a common part that wait because one target crashed for another reason.
    @Test
    void oneCrashDoesNotMakeRequestsWaitWhosePartWasSoundLately() {
        guard.request(List.of(SHARED)).recordBegun(nowMillis);
        crash(SHARED);
        assertThat(decide(guard.request(List.of(SHARED)))).isEqualTo(GRANTED);
        crash(SHARED);
        assertThat(decide(guard.request(List.of(SHARED)))).isInstanceOf(TrialDecision.Wait.class);
    }

    @Test
    void partThatWasSoundLatelyIsNotSuspectBesideOneThatWasNot() {
        guard.request(List.of(SHARED)).recordBegun(nowMillis);
        for (int i = 0; i < 3; i++) {
            crash(SHARED, CRASHING);
        }
        assertThat(decide(guard.request(List.of(SHARED)))).isEqualTo(GRANTED);
        assertThat(decide(guard.request(List.of(CRASHING)))).isInstanceOf(TrialDecision.Rejected.class);
    }

    // Guards against a stream that is lost because its prompt holds a suspect part, although its answer has begun.
    @Test
    void requestWhoseAnswerHasBegunIsSentAtOnce() {
        RequestParts begun = guard.request(List.of(CRASHING));
        begun.recordBegun(nowMillis);
        for (int i = 0; i < 3; i++) {
            crash(CRASHING);
        }
        assertThat(decide(begun)).isEqualTo(GRANTED);
    }

    @Test
    void rejectedPartIsTriedAgainAfterMinutesByOneRequest() {
        for (int i = 0; i < 3; i++) {
            crash(CRASHING);
        }
        nowMillis += 310_000;
        RequestParts trial = guard.request(List.of(CRASHING));
        decide(trial);
        nowMillis += PartTrials.CLAIM_MILLIS;
        assertThat(decide(trial)).isEqualTo(GRANTED);
        trial.recordSend(1, nowMillis);
        trial.recordCrash(1, nowMillis);
        assertThat(decide(guard.request(List.of(CRASHING)))).isInstanceOf(TrialDecision.Rejected.class);
        nowMillis += 310_000;
        assertThat(decide(guard.request(List.of(CRASHING)))).isInstanceOf(TrialDecision.Rejected.class);
    }

    @Test
    void suspicionEndsAfterAMinuteWithoutCrash() {
        crash(CRASHING);
        nowMillis += 60_000;
        assertThat(decide(guard.request(List.of(CRASHING)))).isEqualTo(GRANTED);
    }

    @Test
    void otherHostsHearOfCrashesAnswersAndTrials() {
        PromptPartGuard other = new PromptPartGuard("host-2", PromptPartListener.none());
        for (int i = 0; i < 3; i++) {
            crash(SHARED, CRASHING);
            report(guard, other);
        }
        assertThat(other.request(List.of(SHARED, CRASHING)).decide(nowMillis))
                .isInstanceOf(TrialDecision.Rejected.class);
        RequestParts trial = guard.request(List.of(SHARED));
        decide(trial);
        report(guard, other);
        assertThat(other.request(List.of(SHARED)).decide(nowMillis)).isInstanceOf(TrialDecision.Wait.class);
        nowMillis += PartTrials.CLAIM_MILLIS;
        trial.recordBegun(nowMillis);
        report(guard, other);
        assertThat(other.request(List.of(SHARED)).decide(nowMillis)).isEqualTo(GRANTED);
    }

    // Two hosts may claim a part before they hear of one another.
    @Test
    void hostWithTheLowerNameKeepsItsClaim() {
        PromptPartGuard other = new PromptPartGuard("host-2", PromptPartListener.none());
        crash(CRASHING);
        report(guard, other);
        RequestParts here = guard.request(List.of(CRASHING));
        RequestParts there = other.request(List.of(CRASHING));
        decide(here);
        there.decide(nowMillis);
        report(guard, other);
        report(other, guard);
        nowMillis += PartTrials.CLAIM_MILLIS;
        assertThat(there.decide(nowMillis)).isInstanceOf(TrialDecision.Wait.class);
        assertThat(decide(here)).isEqualTo(GRANTED);
    }

    // Guards against a trial that blocks all others because its host has ended.
    @Test
    void trialsOfHostThatNoLongerReportsEnd() {
        crash(CRASHING);
        guard.updateRemote(new PromptPartReport("host-0", List.of(), Set.of(), Set.of(CRASHING)), nowMillis);
        assertThat(decide(guard.request(List.of(CRASHING)))).isInstanceOf(TrialDecision.Wait.class);
        nowMillis += 5_000;
        RequestParts request = guard.request(List.of(CRASHING));
        decide(request);
        nowMillis += PartTrials.CLAIM_MILLIS;
        assertThat(decide(request)).isEqualTo(GRANTED);
    }

    // Guards against sound requests that wait for one which waits itself in the queue of an overloaded engine.
    @Test
    void trialThatTakesLongLetsAnotherRequestBeTried() {
        PromptPartGuard other = new PromptPartGuard("host-2", PromptPartListener.none());
        crash(CRASHING);
        report(guard, other);
        RequestParts slow = guard.request(List.of(CRASHING));
        decide(slow);
        nowMillis += PartTrials.CLAIM_MILLIS;
        assertThat(decide(slow)).isEqualTo(GRANTED);
        report(guard, other);
        nowMillis += PartTrials.TRIAL_MILLIS;
        guard.repeatTrials();
        report(guard, other);
        RequestParts next = other.request(List.of(CRASHING));
        next.decide(nowMillis);
        nowMillis += PartTrials.CLAIM_MILLIS;
        assertThat(next.decide(nowMillis)).isEqualTo(GRANTED);
    }

    // Guards against a report that was delayed and makes a part suspect again that an answer has cleared.
    @Test
    void crashBeforeTheLastAnswerIsIgnored() {
        guard.request(List.of(CRASHING)).recordBegun(nowMillis);
        PartEvidence old = new PartEvidence(CRASHING, 3, Set.of(), OptionalLong.of(200), OptionalLong.empty());
        nowMillis += 100;
        guard.updateRemote(new PromptPartReport("host-2", List.of(old), Set.of(), Set.of()), nowMillis);
        assertThat(decide(guard.request(List.of(CRASHING)))).isEqualTo(GRANTED);
    }

    @Test
    void requestIsBlamedWhoseTargetExecutesItWhenItsPartBecomesSuspect() {
        List<Long> blamedAt = new ArrayList<>();
        RequestParts same = guard.request(List.of(SHARED, CRASHING));
        same.onBlamed(blamedAt::add);
        same.recordSend(1, nowMillis);
        RequestParts sharing = guard.request(List.of(SHARED));
        sharing.onBlamed(_ -> blamedAt.add(-1L));
        sharing.recordSend(1, nowMillis);
        crash(SHARED, CRASHING);
        assertThat(blamedAt).containsExactly(nowMillis);
        assertThat(same.isBlamed(nowMillis)).isTrue();
        same.recordBegun(nowMillis);
        assertThat(same.isBlamed(nowMillis)).isFalse();
    }

    // Guards against memory that grows with the parts of all requests.
    @Test
    void remembersABoundedNumberOfParts() {
        for (int i = 0; i < 3; i++) {
            crash(CRASHING);
        }
        for (int i = 0; i < 10_000; i++) {
            nowMillis++;
            crash(new PromptPartId("part-" + i));
            guard.request(List.of(new PromptPartId("sound-" + i))).recordBegun(nowMillis);
        }
        List<PartEvidence> remembered =
                guard.fullReport(nowMillis).orElseThrow().evidence();
        assertThat(remembered.size()).isAtMost(512);
        assertThat(remembered.stream()
                        .filter(evidence -> evidence.crashes() == 3)
                        .map(PartEvidence::part))
                .containsExactly(CRASHING);
    }

    /** Lets the target of a request with these parts crash, long after the crash before. */
    private void crash(PromptPartId... parts) {
        RequestParts request = guard.request(List.of(parts));
        nowMillis += 50;
        request.recordSend(1, nowMillis);
        nowMillis += 50;
        request.recordCrash(1, nowMillis);
    }

    private TrialDecision decide(RequestParts request) {
        return request.decide(nowMillis);
    }

    private void report(PromptPartGuard from, PromptPartGuard to) {
        from.takeChanges(nowMillis).ifPresent(report -> to.updateRemote(report, nowMillis));
    }
}
