package org.amaranthlock.coordination.forwarding;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ForwardedRequestTest {
    private static final long TIMEOUT_MILLIS = 25_000;
    private static final long GOAL_MILLIS = 4_500;
    private static final int MAX_ATTEMPTS = 3;

    private final RecordingPort port = new RecordingPort();
    private final TargetLoadBalancer picker = EntryTargets.picker(1);
    private final CrashHistory crashes = new CrashHistory();
    private final FleetRetryBudget budget =
            new FleetRetryBudget(new RetryBudgetLimits(0.8, 40, 10_000), new RetryUsage(10_000), () -> 1);

    ForwardedRequestTest() {
        targets(6);
    }

    @Nested
    class OfANonIdempotentRoute {
        // Guards against running an order twice after its target broke off.
        @Test
        void isNotSentAgainAfterItsTargetBrokeOff() {
            ForwardedRequest request = start(RouteKind.NON_IDEMPOTENT);
            request.onAttemptLost(1, "closed", 10);
            assertThat(port.sent).hasSize(1);
            assertThat(port.rejections.getFirst().status()).isEqualTo(502);
        }

        // Guards against a promise "not run" for an order that may be running.
        @Test
        void isNotCalledNotRunWhenItsTimeIsOver() {
            ForwardedRequest request = start(RouteKind.NON_IDEMPOTENT);
            request.onTimer(TIMEOUT_MILLIS);
            assertThat(port.rejections.getFirst().status()).isEqualTo(504);
            assertThat(port.cancelled).hasSize(1);
        }

        @Test
        void goesToAnotherTargetIfTheFirstDidNotRunIt() {
            ForwardedRequest request = start(RouteKind.NON_IDEMPOTENT);
            request.onResponse(1, answer(503, true, true), 10);
            assertThat(port.sent).hasSize(2);
            assertThat(port.sent.get(1).target()).isNotEqualTo(port.sent.get(0).target());
        }

        @Test
        void goesToAnotherTargetIfNoByteWasSent() {
            ForwardedRequest request = start(RouteKind.NON_IDEMPOTENT);
            request.onNotSent(1, "connect", 10);
            assertThat(port.sent).hasSize(2);
        }

        @Test
        void passesOnTheFailureOfItsTarget() {
            ForwardedRequest request = start(RouteKind.NON_IDEMPOTENT);
            request.onResponse(1, answer(500, true, false), 10);
            assertThat(port.responses.getFirst().status()).isEqualTo(500);
            assertThat(port.sent).hasSize(1);
        }

        // Guards against a 503 of a target that ran the order, which the client would take for a promise.
        @Test
        void isNotCalledNotRunOnTheWordOfAStatusAlone() {
            for (int status : new int[] {408, 429, 503}) {
                RecordingPort own = new RecordingPort();
                ForwardedRequest request = new ForwardedRequest(
                        call(),
                        route(RouteKind.NON_IDEMPOTENT),
                        engines(),
                        Optional.empty(),
                        picker,
                        budget,
                        crashes,
                        own);
                request.start(0);
                request.onResponse(1, answer(status, true, false), 10);
                assertThat(own.responses).isEmpty();
                assertThat(own.rejections.getFirst().status()).isEqualTo(502);
            }
        }

        @Test
        void waitsForASlowTargetUntilItsTimeIsOver() {
            ForwardedRequest request = start(RouteKind.NON_IDEMPOTENT);
            request.onTimer(TIMEOUT_MILLIS - 1);
            assertThat(port.cancelled).isEmpty();
        }
    }

    @Nested
    class OfAnIdempotentRoute {
        @Test
        void goesToAnotherTargetAfterAFailure() {
            ForwardedRequest request = start(RouteKind.IDEMPOTENT);
            request.onResponse(1, answer(500, true, false), 10);
            request.onResponse(2, answer(200, true, false), 20);
            assertThat(port.responses.getFirst().status()).isEqualTo(200);
        }

        @Test
        void runsOnNoMoreTargetsThanItsRouteAllows() {
            ForwardedRequest request = start(RouteKind.IDEMPOTENT);
            IntStream.rangeClosed(1, MAX_ATTEMPTS).forEach(attempt -> request.onAttemptLost(attempt, "closed", 10));
            assertThat(port.sent).hasSize(MAX_ATTEMPTS);
            assertThat(port.rejections).hasSize(1);
        }

        // Guards against a success that no target vouches for.
        @Test
        void doesNotPassOnASuccessWithoutAStamp() {
            ForwardedRequest request = start(RouteKind.IDEMPOTENT);
            request.onResponse(1, answer(200, false, false), 10);
            assertThat(port.responses).isEmpty();
            assertThat(port.sent).hasSize(2);
        }

        @Test
        void goesElsewhereIfItsTargetDoesNotAnswer() {
            ForwardedRequest request = start(RouteKind.IDEMPOTENT);
            request.onTimer(port.wakeAtMillis);
            assertThat(port.cancelled).hasSize(1);
            assertThat(port.sent).hasSize(2);
        }

        @Test
        void ignoresTheLateAnswerOfAnAttemptThatWasGivenUp() {
            ForwardedRequest request = start(RouteKind.IDEMPOTENT);
            request.onAttemptLost(1, "closed", 10);
            request.onResponse(1, answer(200, true, false), 20);
            assertThat(port.responses).isEmpty();
        }

        // Guards against a client that waits although nothing can serve it.
        @Test
        void isRefusedAtOnceAsNotRunIfThereIsNoTarget() {
            targets(0);
            start(RouteKind.IDEMPOTENT);
            assertThat(port.rejections.getFirst().status()).isEqualTo(503);
            assertThat(port.rejections.getFirst().retryAfterMillis().isPresent())
                    .isTrue();
        }

        @Test
        void isNotRetriedOnceTheBudgetIsExhausted() {
            LongStream.range(0, 21).forEach(i -> budget.tryAcquire(0));
            ForwardedRequest request = start(RouteKind.IDEMPOTENT);
            request.onAttemptLost(1, "closed", 10);
            assertThat(port.sent).hasSize(1);
            assertThat(port.rejections.getFirst().status()).isEqualTo(502);
        }
    }

    @Nested
    class OfAStream {
        @Test
        void goesOnBehindTheLastEventOfALostEngine() {
            ForwardedRequest request = startStream();
            request.onEvents(1, events(0, 1, 2), 100);
            request.onAttemptLost(1, "unreachable", 400);
            assertThat(port.lastSent().lastEventId()).hasValue(2L);
            request.onStreamOpened(2, answer(200, true, false), 450);
            request.onEvents(2, events(3, 4), 500);
            request.onStreamEnded(2, 510);
            assertThat(port.events.toString()).isEqualTo("0;1;2;3;4;");
            assertThat(port.streamEnded).isTrue();
            assertThat(port.heads).hasSize(1);
        }

        // Guards against the head and stamp of an engine that sent none of the events.
        @Test
        void hasTheHeadOfTheFirstEngineThatSentEvents() {
            ForwardedRequest request = startStream();
            request.onAttemptLost(1, "unreachable", 400);
            TargetResponse second = answer(200, true, false);
            request.onStreamOpened(2, second, 450);
            request.onEvents(2, events(0), 500);
            assertThat(port.heads).containsExactly(second);
        }

        // Guards against tokens that are delivered twice after a resumption.
        @Test
        void dropsEventsThatTheClientHas() {
            ForwardedRequest request = startStream();
            request.onEvents(1, events(0, 1, 2), 100);
            request.onAttemptLost(1, "unreachable", 400);
            request.onEvents(2, events(1, 2, 3), 500);
            assertThat(port.events.toString()).isEqualTo("0;1;2;3;");
        }

        // Guards against a hole in an answer that looks complete.
        @Test
        void goesElsewhereIfAnEventIsMissing() {
            ForwardedRequest request = startStream();
            request.onEvents(1, events(0, 1, 5), 100);
            assertThat(port.events.toString()).isEqualTo("0;1;");
            assertThat(port.sent).hasSize(2);
            assertThat(port.lastSent().lastEventId()).hasValue(1L);
        }

        @Test
        void goesOnFromTheCopyOfARunWhoseEngineIsUnreachable() {
            ForwardedRequest request = startStream();
            EntryTarget holder = port.sent.getFirst().backupTarget().orElseThrow();
            assertThat(holder.failureDomain())
                    .isNotEqualTo(port.sent.getFirst().target().failureDomain());
            request.onEvents(1, events(0), 100);
            request.onAttemptLost(1, "unreachable", 400);
            assertThat(port.lastSent().target()).isEqualTo(holder);
            assertThat(port.lastSent().resumeFrom().isPresent()).isTrue();
        }

        // Guards against resends that all ask for copies which do not exist.
        @Test
        void doesNotAskForACopyOfAnAttemptThatMadeNoEvent() {
            ForwardedRequest request = startStream();
            request.onAttemptLost(1, "unreachable", 400);
            assertThat(port.lastSent().resumeFrom().isPresent()).isFalse();
        }

        @Test
        void asksForACopyOnlyOnce() {
            ForwardedRequest request = startStream();
            request.onEvents(1, events(0), 100);
            request.onAttemptLost(1, "unreachable", 400);
            request.onResponse(2, answer(503, true, true), 450);
            assertThat(port.lastSent().resumeFrom().isPresent()).isFalse();
        }

        // Guards against reading a prompt again that lies in the cache of an engine that only lost its answer.
        @Test
        void goesBackOnceToAnEngineThatBrokeOff() {
            ForwardedRequest request = startStream();
            request.onEvents(1, events(0), 100);
            request.onAttemptLost(1, "closed", 200);
            assertThat(port.lastSent().target()).isEqualTo(port.sent.getFirst().target());
            assertThat(port.lastSent().resumeFrom().isPresent()).isFalse();
            request.onNotSent(2, "connect", 210);
            assertThat(port.lastSent().resumeFrom().isPresent()).isTrue();
        }

        @Test
        void isSentElsewhereWhenAProbeFindsItsEngineDead() {
            ForwardedRequest request = startStream();
            request.onEvents(1, events(0), 100);
            request.onTimer(port.wakeAtMillis);
            assertThat(port.probed).hasSize(1);
            request.onProbeResult(1, false, 550);
            assertThat(port.cancelled).hasSize(1);
            assertThat(port.sent).hasSize(2);
        }

        // Guards against giving up a living stream because a probe was lost while events arrived.
        @Test
        void staysIfEventsArrivedAfterTheProbe() {
            ForwardedRequest request = startStream();
            request.onEvents(1, events(0), 100);
            request.onTimer(port.wakeAtMillis);
            request.onEvents(1, events(1), 400);
            request.onProbeResult(1, false, 550);
            assertThat(port.sent).hasSize(1);
        }

        @Test
        void isSentAgainIfItsEngineMadeEventsThatDidNotArrive() {
            ForwardedRequest request = startStream();
            request.onTimer(1_900);
            assertThat(port.reportRequests).hasSize(1);
            request.onEngineReport(1, Optional.of(new EngineReport(0, Map.of("r", 12L))), 1_950);
            assertThat(port.sent).hasSize(2);
        }

        // An engine lists a request only once its prompt has been read.
        @Test
        void waitsIfTheReportDoesNotListIt() {
            ForwardedRequest request = startStream();
            request.onTimer(1_900);
            request.onEngineReport(1, Optional.of(new EngineReport(0, Map.of())), 1_950);
            assertThat(port.sent).hasSize(1);
        }

        // Guards against cutting off a prompt that is being read: reading it again costs more than waiting.
        @Test
        void waitsBeyondItsGoalForTheFirstEventOfALivingEngine() {
            ForwardedRequest request = startStream();
            request.onTimer(GOAL_MILLIS);
            assertThat(port.sent).hasSize(1);
        }

        @Test
        void looksForAnEngineAgainIfNoneIsLeftInMidStream() {
            ForwardedRequest request = startStream();
            request.onEvents(1, events(0), 100);
            targets(0);
            request.onAttemptLost(1, "unreachable", 400);
            assertThat(port.aborted).isFalse();
            targets(6);
            request.onTimer(port.wakeAtMillis);
            assertThat(port.sent).hasSize(2);
        }

        // Guards against an incomplete answer that looks complete.
        @Test
        void isBrokenOffRecognizablyWhenItsTimeIsOver() {
            ForwardedRequest request = startStream();
            request.onEvents(1, events(0), 100);
            request.onTimer(TIMEOUT_MILLIS);
            assertThat(port.aborted).isTrue();
            assertThat(port.streamEnded).isFalse();
        }

        // Guards against engines that work for clients who have left.
        @Test
        void isCancelledAtItsEngineWhenTheClientLeaves() {
            ForwardedRequest request = startStream();
            request.onClientDisconnected(100);
            assertThat(port.cancelled).hasSize(1);
            assertThat(request.completed()).isTrue();
        }

        // Guards against a stream that is given up because dead engines used up the budget of repeats.
        @Test
        void connectionsThatFailDoNotDrawOnTheBudget() {
            LongStream.range(0, 20).forEach(i -> budget.tryAcquire(0));
            ForwardedRequest request = start(RouteKind.STREAMING);
            IntStream.rangeClosed(1, 4).forEach(attempt -> request.onNotSent(attempt, "connect", 10));
            assertThat(port.sent).hasSize(5);
            assertThat(port.rejections).isEmpty();
        }

        @Test
        void startsBehindTheEventThatTheClientNames() {
            ForwardedRequest request = new ForwardedRequest(
                    new RequestAttributes("r", OptionalLong.empty(), Optional.of(12L), 0, 0),
                    route(RouteKind.STREAMING),
                    engines(),
                    Optional.empty(),
                    picker,
                    budget,
                    crashes,
                    port);
            request.start(0);
            assertThat(port.lastSent().lastEventId()).hasValue(12L);
        }
    }

    // Guards against a request that crashes each target it reaches.
    @Test
    void isNotSentAnyMoreOnceItHasCrashedThreeTargets() {
        ForwardedRequest request = start(RouteKind.IDEMPOTENT);
        IntStream.range(0, 3).forEach(i -> crashes.recordCrash(call().fingerprint(), i, 5));
        request.onAttemptLost(1, "closed", 10);
        assertThat(port.crashChecks).hasSize(1);
        assertThat(port.sent).hasSize(1);
        assertThat(port.rejections.getFirst().reason()).isEqualTo("crashes-targets");
    }

    // Load pattern: most engines of a domain die at once. Guards against condemning the requests that they were
    // reading.
    @Test
    void isNotSuspectedWhenItsTargetCrashedWithItsDomain() {
        ForwardedRequest request = start(RouteKind.IDEMPOTENT);
        Attempt lost = port.lastSent();
        request.onAttemptLost(1, "closed", 10);
        request.onCrashCheckResult(lost, false, 20);
        assertThat(crashes.localCrashes(30)).containsExactly(call().fingerprint(), 1);
        picker.recordUnreachable(
                EntryTargets.ready("t8", lost.target().failureDomain().value()), 40);
        picker.recordUnreachable(
                EntryTargets.ready("t9", lost.target().failureDomain().value()), 40);
        request.onCrashCheckResult(lost, false, 50);
        assertThat(crashes.localCrashes(60)).containsExactly(call().fingerprint(), 1);
    }

    // Load pattern: failure domains die one after the other. Guards against a long stream whose copy died before its
    // engine.
    @Test
    void hasItsRunCopiedElsewhereWhenTheEngineWithItsCopyDies() {
        ForwardedRequest request = startStream();
        Attempt first = port.lastSent();
        EntryTarget holder = first.backupTarget().orElseThrow();
        request.onEvents(1, events(0, 1), 1_000);
        assertThat(port.copiesRequested).isEmpty();
        picker.recordUnreachable(holder, 1_500);
        request.onEvents(1, events(2), 1_600);
        EntryTarget other = port.copiesRequested.getFirst();
        assertThat(other).isNotEqualTo(holder);
        request.onCopyCompleted(first, other, Optional.of("copy-7"), 1_700);
        request.onAttemptLost(1, "closed", 2_000);
        request.onNotSent(2, "connect", 2_010);
        Attempt resumed = port.lastSent();
        assertThat(resumed.target()).isEqualTo(other);
        assertThat(resumed.resumeFrom())
                .hasValue(new KvCacheCopy(other, first.target().authority(), "copy-7"));
        assertThat(port.copiesFreed).isEmpty();
    }

    // Guards against copies that take the memory of an engine for seconds after their stream has ended.
    @Test
    void freesTheCopyThatItHadMadeWhenItEnds() {
        ForwardedRequest request = startStream();
        Attempt first = port.lastSent();
        picker.recordUnreachable(first.backupTarget().orElseThrow(), 500);
        request.onEvents(1, events(0, 1), 1_100);
        request.onCopyCompleted(first, port.copiesRequested.getFirst(), Optional.of("copy-7"), 1_200);
        request.onStreamEnded(1, 1_500);
        assertThat(port.copiesFreed).hasSize(1);
    }

    @Test
    void readsItsPromptAgainIfNoEngineMadeACopy() {
        ForwardedRequest request = startStream();
        Attempt first = port.lastSent();
        picker.recordUnreachable(first.backupTarget().orElseThrow(), 500);
        request.onEvents(1, events(0, 1), 1_100);
        request.onCopyCompleted(first, port.copiesRequested.getFirst(), Optional.empty(), 1_200);
        request.onAttemptLost(1, "unreachable", 1_300);
        assertThat(port.lastSent().resumeFrom()).isEmpty();
    }

    // Load pattern: a peak fills all engines. Guards against prompts that wait, are given up and are read again
    // elsewhere
    // until nothing is on time.
    @Test
    void isRefusedAtOnceWithATimeToComeBackWhenAllEnginesAreOverloaded() {
        fillEngines();
        startStream();
        assertThat(port.sent).isEmpty();
        assertThat(port.rejections.getFirst().status()).isEqualTo(503);
        assertThat(port.rejections.getFirst().retryAfterMillis().isPresent()).isTrue();
    }

    @Test
    void staysWithItsSlowEngineWhenNoOtherCouldBeginAtOnce() {
        ForwardedRequest request = startStream();
        fillEngines();
        request.onTimer(3 * GOAL_MILLIS);
        assertThat(port.sent).hasSize(1);
    }

    // Guards against a request that crashes one engine of a domain after the other and so looks like a dying domain.
    @Test
    void isSuspectedAlthoughTheTargetsThatItCrashedShareADomain() {
        ForwardedRequest request = start(RouteKind.IDEMPOTENT);
        for (int attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
            Attempt lost = port.lastSent();
            picker.recordUnreachable(lost.target(), attempt);
            request.onAttemptLost(attempt, "closed", attempt);
            request.onCrashCheckResult(lost, false, 10 * attempt);
        }
        assertThat(crashes.isPoison(call().fingerprint(), 100)).isTrue();
    }

    // Guards against counting an engine that died in mid-stream as crashed by the stream.
    @Test
    void isNotSuspectedIfItsRunHadBegunWell() {
        ForwardedRequest request = startStream();
        request.onEvents(1, events(0), 100);
        request.onAttemptLost(1, "closed", 200);
        assertThat(port.crashChecks).isEmpty();
    }

    @Test
    void endsInExactlyOneDecision() {
        for (RouteKind kind : RouteKind.values()) {
            RecordingPort own = new RecordingPort();
            ForwardedRequest request = new ForwardedRequest(
                    call(), route(kind), engines(), Optional.empty(), picker, budget, crashes, own);
            request.start(0);
            request.onResponse(1, answer(404, true, false), 10);
            request.onAttemptLost(1, "closed", 20);
            request.onClientDisconnected(30);
            request.onTimer(TIMEOUT_MILLIS);
            assertThat(own.finalDecisions()).isEqualTo(1);
        }
    }

    @Test
    void tellsItsTargetTheTimeThatIsLeftAtEachSend() {
        ForwardedRequest request = start(RouteKind.IDEMPOTENT);
        request.onAttemptLost(1, "closed", 300);
        assertThat(port.sent.get(0).timeLeftMillis()).isEqualTo(TIMEOUT_MILLIS);
        assertThat(port.sent.get(1).timeLeftMillis()).isEqualTo(TIMEOUT_MILLIS - 300);
    }

    private ForwardedRequest startStream() {
        ForwardedRequest request = start(RouteKind.STREAMING);
        request.onStreamOpened(1, answer(200, true, false), 50);
        return request;
    }

    private ForwardedRequest start(RouteKind kind) {
        ForwardedRequest request =
                new ForwardedRequest(call(), route(kind), engines(), Optional.empty(), picker, budget, crashes, port);
        request.start(0);
        return request;
    }

    private void fillEngines() {
        for (int i = 0; i < 6; i++) {
            EntryTarget engine = EntryTargets.ready("t" + i, i % 2 == 0 ? "a" : "b");
            IntStream.range(0, 3).forEach(_ -> picker.addLoad(engine, InFlightLoad.prefilling(0)));
        }
    }

    private void targets(int count) {
        List<EntryTarget> targets = IntStream.range(0, count)
                .mapToObj(i -> EntryTargets.ready("t" + i, i % 2 == 0 ? "a" : "b"))
                .toList();
        picker.update(new TargetTable(targets));
    }

    private static RequestAttributes call() {
        return new RequestAttributes("r", OptionalLong.of(60_000), Optional.empty(), 0, 0);
    }

    private static Route route(RouteKind kind) {
        return new Route(
                "route",
                "h",
                "/p/",
                kind,
                TIMEOUT_MILLIS,
                GOAL_MILLIS,
                MAX_ATTEMPTS,
                1,
                true,
                true,
                List.of(new WeightedService(EntryTargets.SERVICE, 1)));
    }

    private static ServiceDefinition engines() {
        return new ServiceDefinition(EntryTargets.SERVICE, 100, true, 0, true, true);
    }

    private static TargetResponse answer(int status, boolean stamped, boolean notRun) {
        return new TargetResponse(status, List.of(), stamped, notRun, new byte[0]);
    }

    private static List<StreamEvent> events(long... ids) {
        return LongStream.of(ids)
                .mapToObj(id -> new StreamEvent(id, (id + ";").getBytes(StandardCharsets.US_ASCII)))
                .toList();
    }
}
