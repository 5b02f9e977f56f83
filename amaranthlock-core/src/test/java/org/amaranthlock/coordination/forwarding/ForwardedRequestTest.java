package org.amaranthlock.coordination.forwarding;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.amaranthlock.coordination.estimate.PrefillEstimates;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ForwardedRequestTest {
    private static final long TIMEOUT_MILLIS = 25_000;
    private static final long GOAL_MILLIS = 4_500;
    private static final int MAX_ATTEMPTS = 3;
    private static final PromptPart PROMPT = new PromptPart("a1", 8_000);

    private final RecordingPort port = new RecordingPort();
    private final TargetLoadBalancer loadBalancer = EntryTargets.loadBalancer(1);
    private final CrashHistory crashHistory = new CrashHistory();
    private final PrefillEstimates prefillEstimates = new PrefillEstimates();
    private final FleetRetryBudget retryBudget =
            new FleetRetryBudget(new RetryBudgetLimits(0.8, 40, 10_000), new RetryUsage(10_000), () -> 1);

    ForwardedRequestTest() {
        registerTargets(6);
    }

    @Nested
    class NonIdempotentRoute {
        // Guards against executing a request twice after its target closed the connection.
        @Test
        void doesNotRetryAfterConnectionLoss() {
            ForwardedRequest request = start(RouteKind.NON_IDEMPOTENT);
            request.onAttemptLost(1, "closed", 10);
            assertThat(port.sent).hasSize(1);
            assertThat(port.rejections.getFirst().status()).isEqualTo(502);
        }

        // Guards against reporting "not run" for a request that may be executing.
        @Test
        void doesNotClaimNotRunAfterTimeout() {
            ForwardedRequest request = start(RouteKind.NON_IDEMPOTENT);
            request.onTimer(TIMEOUT_MILLIS);
            assertThat(port.rejections.getFirst().status()).isEqualTo(504);
            assertThat(port.cancelled).hasSize(1);
        }

        @Test
        void retriesOnAnotherTargetAfterNotRunResponse() {
            ForwardedRequest request = start(RouteKind.NON_IDEMPOTENT);
            request.onResponse(1, response(503, true, true), 10);
            assertThat(port.sent).hasSize(2);
            assertThat(port.sent.get(1).target()).isNotEqualTo(port.sent.get(0).target());
        }

        @Test
        void retriesOnAnotherTargetWhenNothingWasSent() {
            ForwardedRequest request = start(RouteKind.NON_IDEMPOTENT);
            request.onNotSent(1, "connect", 10);
            assertThat(port.sent).hasSize(2);
        }

        @Test
        void forwardsServerErrorOfTarget() {
            ForwardedRequest request = start(RouteKind.NON_IDEMPOTENT);
            request.onResponse(1, response(500, true, false), 10);
            assertThat(port.responses.getFirst().status()).isEqualTo(500);
            assertThat(port.sent).hasSize(1);
        }

        // Guards against forwarding a 503 of a target that executed the request: the client would read it as "not run".
        @Test
        void doesNotClaimNotRunBasedOnStatusAlone() {
            for (int status : new int[] {408, 429, 503}) {
                RecordingPort newPort = new RecordingPort();
                ForwardedRequest request = new ForwardedRequest(
                        requestAttributes(),
                        route(RouteKind.NON_IDEMPOTENT),
                        engineService(),
                        Optional.empty(),
                        loadBalancer,
                        retryBudget,
                        crashHistory,
                        prefillEstimates,
                        Mechanisms.ALL,
                        newPort);
                request.start(0);
                request.onResponse(1, response(status, true, false), 10);
                assertThat(newPort.responses).isEmpty();
                assertThat(newPort.rejections.getFirst().status()).isEqualTo(502);
            }
        }

        @Test
        void waitsForSlowTargetUntilDeadline() {
            ForwardedRequest request = start(RouteKind.NON_IDEMPOTENT);
            request.onTimer(TIMEOUT_MILLIS - 1);
            assertThat(port.cancelled).isEmpty();
        }
    }

    @Nested
    class IdempotentRoute {
        @Test
        void retriesOnAnotherTargetAfterServerError() {
            ForwardedRequest request = start(RouteKind.IDEMPOTENT);
            request.onResponse(1, response(500, true, false), 10);
            request.onResponse(2, response(200, true, false), 20);
            assertThat(port.responses.getFirst().status()).isEqualTo(200);
        }

        @Test
        void limitsAttemptsToMaximumOfRoute() {
            ForwardedRequest request = start(RouteKind.IDEMPOTENT);
            IntStream.rangeClosed(1, MAX_ATTEMPTS).forEach(attempt -> request.onAttemptLost(attempt, "closed", 10));
            assertThat(port.sent).hasSize(MAX_ATTEMPTS);
            assertThat(port.rejections).hasSize(1);
        }

        // Guards against forwarding a success response whose body its target has not confirmed by its stamp.
        @Test
        void doesNotForwardSuccessWithoutServerStamp() {
            ForwardedRequest request = start(RouteKind.IDEMPOTENT);
            request.onResponse(1, response(200, false, false), 10);
            assertThat(port.responses).isEmpty();
            assertThat(port.sent).hasSize(2);
        }

        @Test
        void retriesOnAnotherTargetAfterResponseTimeout() {
            ForwardedRequest request = start(RouteKind.IDEMPOTENT);
            request.onTimer(port.timerAtMillis);
            assertThat(port.cancelled).hasSize(1);
            assertThat(port.sent).hasSize(2);
        }

        @Test
        void ignoresLateResponseOfAbandonedAttempt() {
            ForwardedRequest request = start(RouteKind.IDEMPOTENT);
            request.onAttemptLost(1, "closed", 10);
            request.onResponse(1, response(200, true, false), 20);
            assertThat(port.responses).isEmpty();
        }

        // Guards against clients that wait although no target can serve them.
        @Test
        void rejectsImmediatelyAsNotRunWithoutTargets() {
            registerTargets(0);
            start(RouteKind.IDEMPOTENT);
            assertThat(port.rejections.getFirst().status()).isEqualTo(503);
            assertThat(port.rejections.getFirst().retryAfterMillis().isPresent())
                    .isTrue();
        }

        @Test
        void doesNotRetryWhenBudgetIsExhausted() {
            LongStream.range(0, 21).forEach(i -> retryBudget.tryAcquire(0));
            ForwardedRequest request = start(RouteKind.IDEMPOTENT);
            request.onAttemptLost(1, "closed", 10);
            assertThat(port.sent).hasSize(1);
            assertThat(port.rejections.getFirst().status()).isEqualTo(502);
        }
    }

    @Nested
    class StreamingRoute {
        @Test
        void resumesAfterLastEventOfLostEngine() {
            ForwardedRequest request = startStream();
            request.onEvents(1, events(0, 1, 2), 100);
            request.onAttemptLost(1, "unreachable", 400);
            assertThat(port.lastSent().lastEventId()).hasValue(2L);
            request.onStreamOpened(2, response(200, true, false), 450);
            request.onEvents(2, events(3, 4), 500);
            request.onStreamEnded(2, 510);
            assertThat(port.events.toString()).isEqualTo("0;1;2;3;4;");
            assertThat(port.streamEnded).isTrue();
            assertThat(port.heads).hasSize(1);
        }

        // Guards against forwarding the head and server stamp of an engine that sent none of the events.
        @Test
        void usesResponseHeadOfFirstEngineThatSentEvents() {
            ForwardedRequest request = startStream();
            request.onAttemptLost(1, "unreachable", 400);
            TargetResponse second = response(200, true, false);
            request.onStreamOpened(2, second, 450);
            request.onEvents(2, events(0), 500);
            assertThat(port.heads).containsExactly(second);
        }

        // Guards against tokens that are delivered twice after a stream is resumed.
        @Test
        void dropsEventsAlreadyDelivered() {
            ForwardedRequest request = startStream();
            request.onEvents(1, events(0, 1, 2), 100);
            request.onAttemptLost(1, "unreachable", 400);
            request.onEvents(2, events(1, 2, 3), 500);
            assertThat(port.events.toString()).isEqualTo("0;1;2;3;");
        }

        // Guards against a gap in a response that looks complete.
        @Test
        void resumesOnAnotherEngineWhenEventIsMissing() {
            ForwardedRequest request = startStream();
            request.onEvents(1, events(0, 1, 5), 100);
            assertThat(port.events.toString()).isEqualTo("0;1;");
            assertThat(port.sent).hasSize(2);
            assertThat(port.lastSent().lastEventId()).hasValue(1L);
        }

        @Test
        void resumesFromKvCacheBackupWhenEngineIsUnreachable() {
            ForwardedRequest request = startStream();
            EntryTarget backup = port.sent.getFirst().backupTarget().orElseThrow();
            assertThat(backup.failureDomain())
                    .isNotEqualTo(port.sent.getFirst().target().failureDomain());
            request.onEvents(1, events(0), 100);
            request.onAttemptLost(1, "unreachable", 400);
            assertThat(port.lastSent().target()).isEqualTo(backup);
            assertThat(port.lastSent().resumeFrom().isPresent()).isTrue();
        }

        // Guards against retries that ask for KV cache copies which do not exist.
        @Test
        void doesNotResumeFromBackupBeforeFirstEvent() {
            ForwardedRequest request = startStream();
            request.onAttemptLost(1, "unreachable", 400);
            assertThat(port.lastSent().resumeFrom().isPresent()).isFalse();
        }

        @Test
        void resumesFromKvCacheBackupOnlyOnce() {
            ForwardedRequest request = startStream();
            request.onEvents(1, events(0), 100);
            request.onAttemptLost(1, "unreachable", 400);
            request.onResponse(2, response(503, true, true), 450);
            assertThat(port.lastSent().resumeFrom().isPresent()).isFalse();
        }

        // Guards against prefilling a prompt again that is still in the KV cache of an engine that only lost its
        // connection.
        @Test
        void retriesOnceOnEngineThatClosedTheConnection() {
            ForwardedRequest request = startStream();
            request.onEvents(1, events(0), 100);
            request.onAttemptLost(1, "closed", 200);
            assertThat(port.lastSent().target()).isEqualTo(port.sent.getFirst().target());
            assertThat(port.lastSent().resumeFrom().isPresent()).isFalse();
            request.onNotSent(2, "connect", 210);
            assertThat(port.lastSent().resumeFrom().isPresent()).isTrue();
        }

        @Test
        void resumesOnAnotherEngineWhenProbeFails() {
            ForwardedRequest request = startStream();
            request.onEvents(1, events(0), 100);
            request.onTimer(port.timerAtMillis);
            assertThat(port.probed).hasSize(1);
            request.onProbeResult(1, false, 550);
            assertThat(port.cancelled).hasSize(1);
            assertThat(port.sent).hasSize(2);
        }

        // Guards against abandoning an active stream because a probe failed while events arrived.
        @Test
        void ignoresFailedProbeWhenEventsArrivedSince() {
            ForwardedRequest request = startStream();
            request.onEvents(1, events(0), 100);
            request.onTimer(port.timerAtMillis);
            request.onEvents(1, events(1), 400);
            request.onProbeResult(1, false, 550);
            assertThat(port.sent).hasSize(1);
        }

        @Test
        void retriesWhenReportedEventsDidNotArrive() {
            ForwardedRequest request = startStream();
            request.onTimer(1_900);
            assertThat(port.reportRequests).hasSize(1);
            request.onEngineReport(1, Optional.of(new EngineReport(0, Map.of("r", 12L))), 1_950);
            assertThat(port.sent).hasSize(2);
        }

        // An engine lists a request only once its prompt has been prefilled.
        @Test
        void keepsWaitingWhenEngineReportDoesNotListRequest() {
            ForwardedRequest request = startStream();
            request.onTimer(1_900);
            request.onEngineReport(1, Optional.of(new EngineReport(0, Map.of())), 1_950);
            assertThat(port.sent).hasSize(1);
        }

        // Guards against abandoning a request during prefill: prefilling its prompt again costs more than waiting.
        @Test
        void waitsForFirstEventBeyondLatencyGoal() {
            ForwardedRequest request = startStream();
            request.onTimer(GOAL_MILLIS);
            assertThat(port.sent).hasSize(1);
        }

        @Test
        void retriesEngineSelectionWhenNoneIsLeftMidStream() {
            ForwardedRequest request = startStream();
            request.onEvents(1, events(0), 100);
            registerTargets(0);
            request.onAttemptLost(1, "unreachable", 400);
            assertThat(port.aborted).isFalse();
            registerTargets(6);
            request.onTimer(port.timerAtMillis);
            assertThat(port.sent).hasSize(2);
        }

        // Guards against an incomplete response that looks complete.
        @Test
        void abortsStreamOnTimeout() {
            ForwardedRequest request = startStream();
            request.onEvents(1, events(0), 100);
            request.onTimer(TIMEOUT_MILLIS);
            assertThat(port.aborted).isTrue();
            assertThat(port.streamEnded).isFalse();
        }

        // Guards against engines that generate for clients that have disconnected.
        @Test
        void cancelsAttemptWhenClientDisconnects() {
            ForwardedRequest request = startStream();
            request.onClientDisconnected(100);
            assertThat(port.cancelled).hasSize(1);
            assertThat(request.isCompleted()).isTrue();
        }

        // Guards against a stream that fails because connections to failed engines exhausted the retry budget.
        @Test
        void failedConnectionsDoNotConsumeRetryBudget() {
            LongStream.range(0, 20).forEach(i -> retryBudget.tryAcquire(0));
            ForwardedRequest request = start(RouteKind.STREAMING);
            IntStream.rangeClosed(1, 4).forEach(attempt -> request.onNotSent(attempt, "connect", 10));
            assertThat(port.sent).hasSize(5);
            assertThat(port.rejections).isEmpty();
        }

        @Test
        void startsAfterLastEventIdOfClient() {
            ForwardedRequest request = new ForwardedRequest(
                    new RequestAttributes("r", OptionalLong.empty(), Optional.of(12L), 0, Optional.empty(), 0),
                    route(RouteKind.STREAMING),
                    engineService(),
                    Optional.empty(),
                    loadBalancer,
                    retryBudget,
                    crashHistory,
                    prefillEstimates,
                    Mechanisms.ALL,
                    port);
            request.start(0);
            assertThat(port.lastSent().lastEventId()).hasValue(12L);
        }

        // Load pattern: all hosts are killed and restart, and the clients resume their streams at once. Guards against
        // prompts that are prefilled again although an engine still holds them.
        @Test
        void resumesStreamOfClientOnEngineThatHoldsItsPrompt() {
            ForwardedRequest request = startResumed();
            assertThat(port.located).containsExactly(PROMPT);
            assertThat(port.sent).isEmpty();
            EntryTarget holder = EntryTargets.ready("t4", "a");
            request.onPromptLocated(Optional.of(holder), 40);
            assertThat(port.lastSent().target()).isEqualTo(holder);
            assertThat(port.lastSent().lastEventId()).hasValue(12L);
        }

        @Test
        void resumesStreamOfClientOnAnyEngineIfNoneHoldsItsPrompt() {
            ForwardedRequest request = startResumed();
            request.onPromptLocated(Optional.empty(), 40);
            assertThat(port.sent).hasSize(1);
            request.onPromptLocated(Optional.empty(), 50);
            assertThat(port.sent).hasSize(1);
        }

        // Load pattern: clients notice only seconds later that all hosts lost power, and come back shortly before their
        // deadlines. Guards against prompts that are prefilled although their streams cannot start in time.
        @Test
        void rejectsStreamAtOnceIfItsPromptCannotBePrefilledInTime() {
            IntStream.range(0, 8)
                    .forEach(_ -> prefillEstimates.recordFirstEvent(EntryTargets.SERVICE, PROMPT.tokens(), 1_000));
            ForwardedRequest late = startResumed(900);
            late.onPromptLocated(Optional.empty(), 40);
            assertThat(port.sent).isEmpty();
            assertThat(port.rejections.getFirst().status()).isEqualTo(503);
        }

        @Test
        void sendsStreamShortlyBeforeItsDeadlineToEngineThatHoldsItsPrompt() {
            IntStream.range(0, 8)
                    .forEach(_ -> prefillEstimates.recordFirstEvent(EntryTargets.SERVICE, PROMPT.tokens(), 1_000));
            startResumed(900).onPromptLocated(Optional.of(EntryTargets.ready("t4", "a")), 40);
            assertThat(port.sent).hasSize(1);
        }

        @Test
        void learnsPrefillTimeFromFirstEventOfPrefilledPromptOnly() {
            for (int i = 0; i < 8; i++) {
                RecordingPort newPort = new RecordingPort();
                ForwardedRequest request = startResumed(TIMEOUT_MILLIS, newPort);
                request.onPromptLocated(i == 0 ? Optional.of(EntryTargets.ready("t4", "a")) : Optional.empty(), 0);
                request.onEvents(1, events(13), 1_000);
            }
            assertThat(prefillEstimates
                            .minPrefillMillis(EntryTargets.SERVICE, PROMPT.tokens())
                            .isPresent())
                    .isFalse();
        }

        @Test
        void ignoresLocatedPromptAfterClientDisconnected() {
            ForwardedRequest request = startResumed();
            request.onClientDisconnected(20);
            request.onPromptLocated(Optional.empty(), 40);
            assertThat(port.sent).isEmpty();
        }

        private ForwardedRequest startResumed() {
            return startResumed(TIMEOUT_MILLIS);
        }

        private ForwardedRequest startResumed(long timeLeftMillis) {
            return startResumed(timeLeftMillis, port);
        }

        private ForwardedRequest startResumed(long timeLeftMillis, RecordingPort recordingPort) {
            ForwardedRequest request = new ForwardedRequest(
                    new RequestAttributes(
                            "r", OptionalLong.of(timeLeftMillis), Optional.of(12L), 0, Optional.of(PROMPT), 0),
                    route(RouteKind.STREAMING),
                    engineService(),
                    Optional.empty(),
                    loadBalancer,
                    retryBudget,
                    crashHistory,
                    prefillEstimates,
                    Mechanisms.ALL,
                    recordingPort);
            request.start(0);
            return request;
        }
    }

    // Guards against a request that crashes each target it reaches.
    @Test
    void rejectsRequestThatCrashedThreeTargets() {
        ForwardedRequest request = start(RouteKind.IDEMPOTENT);
        IntStream.range(0, 3)
                .forEach(i -> crashHistory.recordCrash(requestAttributes().fingerprint(), i, 5));
        request.onAttemptLost(1, "closed", 10);
        assertThat(port.crashChecks).hasSize(1);
        assertThat(port.sent).hasSize(1);
        assertThat(port.rejections.getFirst().reason()).isEqualTo("crashes-targets");
    }

    // Most engines of a domain fail at once. Guards against treating the requests that they were prefilling as poison.
    @Test
    void doesNotCountCrashDuringDomainFailure() {
        ForwardedRequest request = start(RouteKind.IDEMPOTENT);
        Attempt lost = port.lastSent();
        request.onAttemptLost(1, "closed", 10);
        request.onCrashCheckResult(lost, false, 20);
        assertThat(crashHistory.localCrashes(30))
                .containsExactly(requestAttributes().fingerprint(), 1);
        loadBalancer.recordUnreachable(
                EntryTargets.ready("t8", lost.target().failureDomain().value()), 40);
        loadBalancer.recordUnreachable(
                EntryTargets.ready("t9", lost.target().failureDomain().value()), 40);
        request.onCrashCheckResult(lost, false, 50);
        assertThat(crashHistory.localCrashes(60))
                .containsExactly(requestAttributes().fingerprint(), 1);
    }

    // Failure domains fail one after the other. Guards against a long stream that lost its KV cache backup before its
    // engine fails.
    @Test
    void copiesKvCacheToAnotherEngineWhenBackupEngineFails() {
        ForwardedRequest request = startStream();
        Attempt first = port.lastSent();
        EntryTarget backup = first.backupTarget().orElseThrow();
        request.onEvents(1, events(0, 1), 1_000);
        assertThat(port.copiesRequested).isEmpty();
        loadBalancer.recordUnreachable(backup, 1_500);
        request.onEvents(1, events(2), 1_600);
        EntryTarget other = port.copiesRequested.getFirst();
        assertThat(other).isNotEqualTo(backup);
        request.onCopyCompleted(first, other, Optional.of("copy-7"), 1_700);
        request.onAttemptLost(1, "closed", 2_000);
        request.onNotSent(2, "connect", 2_010);
        Attempt resumed = port.lastSent();
        assertThat(resumed.target()).isEqualTo(other);
        assertThat(resumed.resumeFrom())
                .hasValue(new KvCacheCopy(other, first.target().authority(), "copy-7"));
        assertThat(port.copiesFreed).isEmpty();
    }

    // Guards against KV cache copies that occupy memory of an engine for seconds after their stream has ended.
    @Test
    void freesRequestedKvCacheCopyWhenStreamEnds() {
        ForwardedRequest request = startStream();
        Attempt first = port.lastSent();
        loadBalancer.recordUnreachable(first.backupTarget().orElseThrow(), 500);
        request.onEvents(1, events(0, 1), 1_100);
        request.onCopyCompleted(first, port.copiesRequested.getFirst(), Optional.of("copy-7"), 1_200);
        request.onStreamEnded(1, 1_500);
        assertThat(port.copiesFreed).hasSize(1);
    }

    @Test
    void prefillsAgainWhenNoKvCacheCopyWasMade() {
        ForwardedRequest request = startStream();
        Attempt first = port.lastSent();
        loadBalancer.recordUnreachable(first.backupTarget().orElseThrow(), 500);
        request.onEvents(1, events(0, 1), 1_100);
        request.onCopyCompleted(first, port.copiesRequested.getFirst(), Optional.empty(), 1_200);
        request.onAttemptLost(1, "unreachable", 1_300);
        assertThat(port.lastSent().resumeFrom()).isEmpty();
    }

    // Load pattern: the domain of a backup engine fails, then that of the stream's own engine. The last transfer fails
    // because the engine is dying. Guards against discarding the copy that the transfer before it made.
    @Test
    void resumesFromEarlierCopyWhenLastTransferFails() {
        ForwardedRequest request = startStream();
        Attempt first = port.lastSent();
        loadBalancer.recordUnreachable(first.backupTarget().orElseThrow(), 500);
        request.onEvents(1, events(0, 1), 1_100);
        EntryTarget other = port.copiesRequested.getFirst();
        request.onCopyCompleted(first, other, Optional.of("copy-7"), 1_200);
        request.onEvents(1, events(2), 2_200);
        request.onCopyCompleted(first, other, Optional.empty(), 2_210);
        request.onAttemptLost(1, "unreachable", 2_220);
        assertThat(port.lastSent().resumeFrom())
                .hasValue(new KvCacheCopy(other, first.target().authority(), "copy-7"));
    }

    // A peak fills all engines. Guards against prompts that wait, are abandoned and are prefilled again on other
    // engines until no request completes in time.
    @Test
    void rejectsImmediatelyWithRetryAfterWhenAllEnginesAreOverloaded() {
        fillEngines();
        startStream();
        assertThat(port.sent).isEmpty();
        assertThat(port.rejections.getFirst().status()).isEqualTo(503);
        assertThat(port.rejections.getFirst().retryAfterMillis().isPresent()).isTrue();
    }

    @Test
    void keepsSlowEngineWhenNoOtherHasSpareCapacity() {
        ForwardedRequest request = startStream();
        fillEngines();
        request.onTimer(3 * GOAL_MILLIS);
        assertThat(port.sent).hasSize(1);
    }

    // Guards against mistaking a request that crashes the engines of a domain one after the other for a domain failure.
    @Test
    void countsCrashesOfTargetsInTheSameDomain() {
        ForwardedRequest request = start(RouteKind.IDEMPOTENT);
        for (int attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
            Attempt lost = port.lastSent();
            loadBalancer.recordUnreachable(lost.target(), attempt);
            request.onAttemptLost(attempt, "closed", attempt);
            request.onCrashCheckResult(lost, false, 10 * attempt);
        }
        assertThat(crashHistory.isPoison(requestAttributes().fingerprint(), 100))
                .isTrue();
    }

    // Load pattern: all targets of a service are killed, and equal requests walk from one dead target to the next,
    // whose
    // connections still open. Guards against refusing these requests for minutes after the targets are back.
    @Test
    void sendsRequestThatMayHaveCrashedTargetOnlyToTargetsThatRespond() {
        ForwardedRequest request = start(RouteKind.IDEMPOTENT);
        port.requestWithRespondingTargets = null;
        Attempt lost = port.lastSent();
        request.onAttemptLost(1, "closed", 10);
        for (int i = 0; i < 6; i++) {
            request.onTargetChecked(port.checked.getLast(), false, 20 + i);
        }
        assertThat(port.sent).hasSize(1);
        assertThat(port.rejections.getFirst().status()).isEqualTo(502);
        request.onCrashCheckResult(lost, false, 600);
        assertThat(crashHistory.isPoison(requestAttributes().fingerprint(), 600))
                .isFalse();
    }

    // Guards against a crash that counts twice because its check ends before the next attempt is sent.
    @Test
    void countsEachCrashOnce() {
        ForwardedRequest request = start(RouteKind.IDEMPOTENT);
        Attempt first = port.lastSent();
        request.onAttemptLost(1, "closed", 10);
        request.onCrashCheckResult(first, false, 600);
        Attempt second = port.lastSent();
        request.onAttemptLost(2, "closed", 700);
        request.onCrashCheckResult(second, false, 1_300);
        assertThat(crashHistory.localCrashes(1_400))
                .containsExactly(requestAttributes().fingerprint(), 2);
    }

    @Test
    void ignoresTargetCheckAfterClientDisconnected() {
        ForwardedRequest request = start(RouteKind.IDEMPOTENT);
        port.requestWithRespondingTargets = null;
        request.onAttemptLost(1, "closed", 10);
        request.onClientDisconnected(20);
        request.onTargetChecked(port.checked.getLast(), true, 30);
        assertThat(port.sent).hasSize(1);
    }

    // Guards against attributing the crash of an engine to a stream that it was already generating.
    @Test
    void doesNotCheckForCrashAfterFirstEvent() {
        ForwardedRequest request = startStream();
        request.onEvents(1, events(0), 100);
        request.onAttemptLost(1, "closed", 200);
        assertThat(port.crashChecks).isEmpty();
    }

    @Test
    void recordsExactlyOneFinalDecision() {
        for (RouteKind kind : RouteKind.values()) {
            RecordingPort newPort = new RecordingPort();
            ForwardedRequest request = new ForwardedRequest(
                    requestAttributes(),
                    route(kind),
                    engineService(),
                    Optional.empty(),
                    loadBalancer,
                    retryBudget,
                    crashHistory,
                    prefillEstimates,
                    Mechanisms.ALL,
                    newPort);
            request.start(0);
            request.onResponse(1, response(404, true, false), 10);
            request.onAttemptLost(1, "closed", 20);
            request.onClientDisconnected(30);
            request.onTimer(TIMEOUT_MILLIS);
            assertThat(newPort.finalDecisionCount()).isEqualTo(1);
        }
    }

    @Test
    void sendsRemainingTimeWithEachAttempt() {
        ForwardedRequest request = start(RouteKind.IDEMPOTENT);
        request.onAttemptLost(1, "closed", 300);
        assertThat(port.sent.get(0).timeLeftMillis()).isEqualTo(TIMEOUT_MILLIS);
        assertThat(port.sent.get(1).timeLeftMillis()).isEqualTo(TIMEOUT_MILLIS - 300);
    }

    private ForwardedRequest startStream() {
        ForwardedRequest request = start(RouteKind.STREAMING);
        request.onStreamOpened(1, response(200, true, false), 50);
        return request;
    }

    private ForwardedRequest start(RouteKind kind) {
        ForwardedRequest request = new ForwardedRequest(
                requestAttributes(),
                route(kind),
                engineService(),
                Optional.empty(),
                loadBalancer,
                retryBudget,
                crashHistory,
                prefillEstimates,
                Mechanisms.ALL,
                port);
        port.requestWithRespondingTargets = request;
        request.start(0);
        return request;
    }

    private void fillEngines() {
        for (int i = 0; i < 6; i++) {
            EntryTarget engine = EntryTargets.ready("t" + i, i % 2 == 0 ? "a" : "b");
            IntStream.range(0, 3).forEach(_ -> loadBalancer.addLoad(engine, InFlightLoad.prefilling(0)));
        }
    }

    private void registerTargets(int count) {
        List<EntryTarget> targets = IntStream.range(0, count)
                .mapToObj(i -> EntryTargets.ready("t" + i, i % 2 == 0 ? "a" : "b"))
                .toList();
        loadBalancer.update(new TargetTable(targets));
    }

    private static RequestAttributes requestAttributes() {
        return new RequestAttributes("r", OptionalLong.of(60_000), Optional.empty(), 0, Optional.empty(), 0);
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

    private static ServiceDefinition engineService() {
        return new ServiceDefinition(EntryTargets.SERVICE, 100, true, 0, true, true);
    }

    private static TargetResponse response(int status, boolean stamped, boolean notRun) {
        return new TargetResponse(status, List.of(), stamped, notRun, new byte[0]);
    }

    private static List<StreamEvent> events(long... ids) {
        return LongStream.of(ids)
                .mapToObj(id -> new StreamEvent(id, (id + ";").getBytes(StandardCharsets.US_ASCII)))
                .toList();
    }
}
