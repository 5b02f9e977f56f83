package org.amaranthlock.coordination.forwarding;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.amaranthlock.coordination.brittle.BrittleReport;
import org.amaranthlock.coordination.targetlimit.LimitReport;
import org.amaranthlock.model.ServiceName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests requests at a host that has no path to the targets while other hosts have one. */
class RelayedRequestTest extends AbstractForwardedRequestTest {
    private static final String NO_PATH = "no-path";

    RelayedRequestTest() {
        port.acceptsHandOver = true;
        report("host-2", Set.of(), 0);
        report("host-3", Set.of(), 0);
    }

    // Guards against a host that rejects requests although another host could serve them.
    @Test
    void requestIsHandedOverWhenNoTargetCanBeReached() {
        ForwardedRequest request = start(RouteKind.NON_IDEMPOTENT);
        for (int attempt = 1; attempt <= 6; attempt++) {
            assertThat(port.handedOver).isEmpty();
            request.onNotSent(attempt, "connect", attempt);
        }
        assertThat(port.handedOver).hasSize(1);
        assertThat(port.rejections).isEmpty();
        assertThat(port.handedOver.getFirst().deadlineMillis()).isEqualTo(TIMEOUT_MILLIS);
    }

    @Test
    void nextRequestIsHandedOverAtOnce() {
        cutAll(0);
        start(RouteKind.NON_IDEMPOTENT);
        assertThat(port.sent).isEmpty();
        assertThat(port.handedOver).hasSize(1);
    }

    // Guards against an order that runs twice: at a target, and at one that another host chooses.
    @Test
    void orderThatMayHaveRunIsNotHandedOver() {
        ForwardedRequest request = start(RouteKind.NON_IDEMPOTENT);
        cutAll(1);
        request.onAttemptLost(1, "closed", 2);
        assertThat(port.handedOver).isEmpty();
        assertThat(port.rejections.getFirst().status()).isEqualTo(502);
    }

    @Test
    void requestIsNotHandedOverIfNoOtherHostHasPath() {
        cutAll(0);
        report("host-2", Set.of(EntryTargets.SERVICE), 0);
        report("host-3", Set.of(EntryTargets.SERVICE), 0);
        start(RouteKind.NON_IDEMPOTENT);
        assertThat(port.handedOver).isEmpty();
    }

    @Test
    void responseOfOtherHostReachesClient() {
        RelayedRequest request = relay(RouteKind.NON_IDEMPOTENT);
        request.onResponse(1, response(200, true, false), 100);
        assertThat(port.responses).hasSize(1);
        assertThat(port.finalDecisionCount()).isEqualTo(1);
    }

    // Guards against an answer that is none, which a host of an earlier build passes on as it read it from a target.
    @ParameterizedTest
    @ValueSource(ints = {0, 99, 199, 600, 2_000})
    void responseOfOtherHostWithoutAStatusDoesNotReachClient(int status) {
        RelayedRequest order = relay(RouteKind.NON_IDEMPOTENT);
        order.onResponse(1, response(status, true, true), 100);
        assertThat(port.responses).isEmpty();
        assertThat(port.rejections.getFirst().status()).isEqualTo(502);
    }

    @Test
    void rejectionForReasonOfOneHostLeadsToNextHost() {
        RelayedRequest request = relay(RouteKind.NON_IDEMPOTENT);
        request.onRejected(1, Rejection.retryLater(300, NO_PATH), true, 10);
        assertThat(port.relayed).hasSize(2);
        assertThat(port.relayed.get(1).host()).isNotEqualTo(port.relayed.get(0).host());
        request.onRejected(2, Rejection.retryLater(300, NO_PATH), true, 20);
        assertThat(port.rejections.getFirst().status()).isEqualTo(503);
    }

    // Guards against asking one host after the other although the limit of the targets is that of the fleet.
    @Test
    void rejectionForReasonOfFleetIsFinal() {
        RelayedRequest request = relay(RouteKind.NON_IDEMPOTENT);
        Rejection rejection = Rejection.retryLater(1_700, "target-limit");
        request.onRejected(1, rejection, false, 10);
        assertThat(port.relayed).hasSize(1);
        assertThat(port.rejections).containsExactly(rejection);
    }

    // Guards against an order that two hosts send to targets.
    @Test
    void orderIsNotPassedToSecondHostAfterFirstOneIsLost() {
        RelayedRequest request = relay(RouteKind.NON_IDEMPOTENT);
        request.onLost(1, "link-closed", 10);
        assertThat(port.relayed).hasSize(1);
        assertThat(port.rejections.getFirst().status()).isEqualTo(502);
    }

    @Test
    void orderThatWasNotSentIsPassedToSecondHost() {
        RelayedRequest request = relay(RouteKind.NON_IDEMPOTENT);
        request.onNotSent(1, "not-connected", 10);
        assertThat(port.relayed).hasSize(2);
    }

    @Test
    void lookupIsPassedToSecondHostAfterFirstOneIsLost() {
        RelayedRequest request = relay(RouteKind.IDEMPOTENT);
        request.onLost(1, "link-closed", 10);
        assertThat(port.relayed).hasSize(2);
        assertThat(port.relayed.get(1).executionsLeft()).isEqualTo(MAX_ATTEMPTS - 1);
    }

    @Test
    void streamResumesAtSecondHostAfterLastEvent() {
        RelayedRequest request = relay(RouteKind.STREAMING);
        request.onStreamOpened(1, response(200, true, false), Optional.of(V1));
        request.onEvents(1, events(0, 1, 2), 100);
        request.onLost(1, "link-closed", 200);
        assertThat(port.relayed.get(1).lastEventId()).isEqualTo(Optional.of(2L));
        assertThat(port.relayed.get(1).streamVersion()).isEqualTo(Optional.of(V1));
        request.onStreamOpened(2, response(200, true, false), Optional.of(V1));
        request.onEvents(2, events(2, 3), 300);
        request.onStreamEnded(2, 400);
        assertThat(port.events.toString()).isEqualTo("0;1;2;3;");
        assertThat(port.heads).hasSize(1);
        assertThat(port.streamEnded).isTrue();
    }

    // Guards against a stream that is broken off with time left because the hosts that had a path are lost too.
    @Test
    void streamThatNoOtherHostServesGoesBackToItsOwnHost() {
        RelayedRequest request = relay(RouteKind.STREAMING);
        request.onStreamOpened(1, response(200, true, false), Optional.of(V1));
        request.onEvents(1, events(0, 1), 100);
        request.onLost(1, "link-closed", 200);
        request.onNotSent(2, "not-connected", 210);
        assertThat(port.takenBack).containsExactly(1);
        assertThat(port.aborted).isFalse();
        assertThat(port.finalDecisionCount()).isEqualTo(0);
    }

    @Test
    void streamWithoutAttemptsLeftIsBrokenOff() {
        RelayedRequest request = relay(RouteKind.STREAMING, MAX_ATTEMPTS - 1);
        request.onStreamOpened(1, response(200, true, false), Optional.of(V1));
        request.onEvents(1, events(0, 1), 100);
        request.onLost(1, "link-closed", 200);
        assertThat(port.takenBack).isEmpty();
        assertThat(port.aborted).isTrue();
    }

    // Guards against a stream that is bound to a version of which its client got no event.
    @Test
    void streamWithoutEventsIsNotBoundToVersion() {
        RelayedRequest request = relay(RouteKind.STREAMING);
        request.onStreamOpened(1, response(200, true, false), Optional.of(V1));
        request.onLost(1, "link-closed", 200);
        assertThat(port.relayed.get(1).streamVersion()).isEmpty();
    }

    // Guards against a stream that another host continues at another version.
    @Test
    void requestIsHandedOverWithVersionOfItsStream() {
        registerVersions("v1", "v1");
        ForwardedRequest request = startStream();
        request.onEvents(1, events(0, 1), 100);
        loadBalancer.recordUnreachable(EntryTargets.ofVersion("t0", "a", "v1"), 110);
        loadBalancer.recordUnreachable(EntryTargets.ofVersion("t1", "b", "v1"), 110);
        request.onAttemptLost(1, "closed", 1_200);
        assertThat(port.handedOver.getFirst().streamVersion()).isEqualTo(Optional.of(V1));
    }

    // Guards against targets that work for a client that has left.
    @Test
    void requestIsCancelledAtOtherHostWhenClientLeaves() {
        RelayedRequest request = relay(RouteKind.STREAMING);
        request.onClientDisconnected(50);
        assertThat(port.relaysCancelled).hasSize(1);
        request.onStreamEnded(1, 60);
        assertThat(port.streamEnded).isFalse();
        assertThat(port.finalDecisionCount()).isEqualTo(1);
    }

    @Test
    void requestIsAnsweredAtItsDeadline() {
        RelayedRequest request = relay(RouteKind.NON_IDEMPOTENT);
        report(port.relayed.getFirst().host(), Set.of(), TIMEOUT_MILLIS);
        request.onTimer(TIMEOUT_MILLIS);
        assertThat(port.relaysCancelled).hasSize(1);
        assertThat(port.rejections.getFirst().status()).isEqualTo(504);
    }

    // Guards against lookups that wait for a host that is frozen or cut off itself.
    @Test
    void lookupLeavesHostThatDoesNotReport() {
        RelayedRequest request = relay(RouteKind.IDEMPOTENT);
        String first = port.relayed.getFirst().host();
        report(first.equals("host-2") ? "host-3" : "host-2", Set.of(), 2_900);
        request.onTimer(3_000);
        assertThat(port.relayed).hasSize(2);
        assertThat(port.relaysCancelled).hasSize(1);
    }

    private RelayedRequest relay(RouteKind kind) {
        return relay(kind, 0);
    }

    private RelayedRequest relay(RouteKind kind, int executions) {
        RelayStart handedOver =
                new RelayStart(new StreamProgress(port, -1), Optional.empty(), executions, 0, TIMEOUT_MILLIS);
        RelayedRequest request = new RelayedRequest(
                requestAttributes(), route(kind), EntryTargets.SERVICE, loadBalancer, handedOver, port);
        request.start(0);
        return request;
    }

    private void report(String host, Set<ServiceName> cutServices, long nowMillis) {
        HostLoadReport report = new HostLoadReport(
                host, Map.of(), Set.of(), Map.of(), 0, cutServices, BrittleReport.EMPTY, LimitReport.EMPTY);
        loadBalancer.updateRemote(report, nowMillis);
    }

    private void cutAll(long nowMillis) {
        for (int i = 0; i < 6; i++) {
            loadBalancer.recordUnreachable(EntryTargets.ready("t" + i, i % 2 == 0 ? "a" : "b"), nowMillis);
        }
    }
}
