package org.amaranthlock.coordination.forwarding;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.IntStream;
import org.amaranthlock.coordination.promptpart.RequestParts;
import org.amaranthlock.model.PromptPartId;
import org.amaranthlock.model.TargetId;
import org.junit.jupiter.api.Test;

/** Tests of requests that may crash their targets. */
class ForwardedRequestCrashTest extends AbstractForwardedRequestTest {
    private static final List<PromptPartId> PARTS = List.of(new PromptPartId("shared"), new PromptPartId("crashing"));

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

    // Load pattern: most engines of a domain die, and the streams of all hosts look for another one at the same moment.
    // Guards against streams that all choose the same engine because they are counted only after its check.
    @Test
    void countsLoadOnTargetWhileItIsChecked() {
        ForwardedRequest request = start(RouteKind.STREAMING);
        port.requestWithRespondingTargets = null;
        request.onAttemptLost(1, "unreachable", 10);
        EntryTarget next = port.checked.getLast();
        assertThat(inFlight().keySet()).containsExactly(next.id());
        request.onTargetChecked(next, true, 20);
        assertThat(inFlight().get(next.id()).requests()).isEqualTo(1);
        request.onClientDisconnected(30);
        assertThat(inFlight()).isEmpty();
    }

    @Test
    void countsNoLoadAfterCheckedRequestWasCompleted() {
        ForwardedRequest request = start(RouteKind.STREAMING);
        port.requestWithRespondingTargets = null;
        request.onAttemptLost(1, "unreachable", 10);
        request.onClientDisconnected(20);
        assertThat(inFlight()).isEmpty();
    }

    private Map<TargetId, InFlightLoad> inFlight() {
        Map<TargetId, InFlightLoad> requests = new HashMap<>();
        loadBalancer.loadReport("host-1", _ -> true, Map.of(), 0, 40).inFlight().forEach((id, load) -> {
            if (load.requests() > 0) { // backups are no requests
                requests.put(id, load);
            }
        });
        return requests;
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

    // Guards against a crashing request that goes to the next engine before the first crash is known.
    @Test
    void waitsUntilTheTargetOfALostAttemptHasBeenProbed() {
        ForwardedRequest request = startWithPart();
        Attempt lost = port.lastSent();
        request.onAttemptLost(1, "closed", 10);
        assertThat(port.sent).hasSize(1);
        assertThat(port.lostTargetsProbed).containsExactly(lost);
        request.onLostTargetProbed(lost, true, 30);
        request.onTimer(40);
        assertThat(port.sent).hasSize(2);
    }

    @Test
    void rejectsRequestWhosePartCrashedThreeTargets() {
        RequestParts other = promptPartGuard.request(PARTS);
        other.recordSend(1, 0);
        other.recordCrash(1, 0);
        ForwardedRequest request = startWithPart();
        request.onTimer(80);
        for (int attempt = 1; attempt <= 2; attempt++) {
            Attempt lost = port.lastSent();
            long lostAtMillis = attempt * 1_000;
            request.onAttemptLost(attempt, "closed", lostAtMillis);
            request.onLostTargetProbed(lost, false, lostAtMillis + 20);
            request.onTimer(lostAtMillis + 40); // claims the part
            request.onTimer(lostAtMillis + 140);
        }
        assertThat(port.sent).hasSize(2);
        assertThat(port.rejections.getFirst().status()).isEqualTo(502);
        assertThat(port.rejections.getFirst().reason()).isEqualTo("crashing-prompt-part");
    }

    // Guards against a refusal that claims more or less than is true: such a request was not executed.
    @Test
    void rejectsFurtherRequestWithTheSamePartAsNotExecuted() {
        RequestParts earlier = promptPartGuard.request(PARTS);
        for (int attempt = 1; attempt <= 3; attempt++) {
            earlier.recordSend(attempt, attempt);
            earlier.recordCrash(attempt, attempt);
        }
        startWithPart();
        assertThat(port.sent).isEmpty();
        assertThat(port.rejections.getFirst().status()).isEqualTo(503);
        assertThat(port.rejections.getFirst().retryAfterMillis()).isPresent();
    }

    // Load pattern: several requests with the part are in flight when the first of them crashes its engine.
    @Test
    void withdrawsAttemptWhosePartCrashedAnotherTarget() {
        ForwardedRequest request = startWithPart();
        RequestParts other = promptPartGuard.request(PARTS);
        other.recordSend(1, 10);
        other.recordCrash(1, 20);
        request.onTimer(60);
        assertThat(port.cancelled).isEmpty();
        request.onTimer(120);
        assertThat(port.cancelled).hasSize(1);
        assertThat(port.sent).hasSize(1);
        request.onTimer(210);
        assertThat(port.sent).hasSize(2);
    }

    @Test
    void doesNotWithdrawStreamThatHasBegun() {
        ForwardedRequest request = startWithPart();
        request.onStreamOpened(1, response(200, true, false), 5);
        request.onEvents(1, events(0), 10);
        RequestParts other = promptPartGuard.request(PARTS);
        other.recordSend(1, 15);
        other.recordCrash(1, 20);
        request.onTimer(200);
        assertThat(port.cancelled).isEmpty();
    }

    private ForwardedRequest startWithPart() {
        RequestAttributes attributes = new RequestAttributes(
                "r", OptionalLong.of(60_000), Optional.empty(), Optional.empty(), 0, Optional.empty(), PARTS, 7);
        ForwardedRequest request = create(attributes, RouteKind.STREAMING, port);
        port.requestWithRespondingTargets = request;
        request.start(0);
        return request;
    }
}
