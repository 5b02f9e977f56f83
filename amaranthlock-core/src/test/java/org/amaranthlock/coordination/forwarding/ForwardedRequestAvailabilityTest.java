package org.amaranthlock.coordination.forwarding;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.amaranthlock.coordination.availability.AvailabilityStatement;
import org.amaranthlock.coordination.availability.RestStatement;
import org.junit.jupiter.api.Test;

/** Tests requests to targets that ask for a rest or say that they leave. */
class ForwardedRequestAvailabilityTest extends AbstractForwardedRequestTest {
    private static final AvailabilityStatement LEAVING = new AvailabilityStatement(true, new RestStatement.NotAsked());

    // Guards against a target that is the first choice because it turns everything away at once.
    @Test
    void requestGoesToTargetThatDoesNotRest() {
        rest("t0", 3_000);
        rest("t1", 3_000);
        registerTargets(3);
        for (int i = 0; i < 5; i++) {
            start(RouteKind.IDEMPOTENT);
            assertThat(port.lastSent().target().id().value()).isEqualTo("t2");
        }
    }

    // Guards against waiting for the deadline, and against a Retry-After that leads clients into the rest.
    @Test
    void requestIsRejectedAtOnceUntilTheSoonestEndWhileAllTargetsRest() {
        registerTargets(2);
        rest("t0", 60_000);
        rest("t1", 3_000);
        start(RouteKind.NON_IDEMPOTENT);
        assertThat(port.sent).isEmpty();
        Rejection rejection = port.rejections.getLast();
        assertThat(rejection.status()).isEqualTo(503);
        assertThat(rejection.reason()).isEqualTo("targets-rest");
        assertThat(rejection.retryAfterMillis().getAsLong()).isAtLeast(3_000L);
        assertThat(rejection.retryAfterMillis().getAsLong()).isAtMost(3_500L);
    }

    // Guards against a retry that a rest holds back although another target would take it.
    @Test
    void targetThatOnlyFailedIsNoReasonToWaitForARest() {
        registerTargets(2);
        rest("t0", 60_000);
        ForwardedRequest request = start(RouteKind.NON_IDEMPOTENT);
        request.onNotSent(1, "connect", 10);
        assertThat(port.rejections.getLast().reason()).isEqualTo("no-target");
    }

    // Guards against an attempt that was chosen before its target asked for a rest, and waited for the check of it.
    @Test
    void restIsCheckedAgainAtTheTimeOfSending() {
        registerTargets(2);
        crashHistory.recordCrash(requestAttributes().fingerprint(), 0, 0);
        ForwardedRequest request = create(requestAttributes(), RouteKind.IDEMPOTENT, port);
        request.start(10);
        EntryTarget first = port.checked.getLast();
        rest(first.id().value(), 3_000);
        request.onTargetChecked(first, true, 20);
        assertThat(port.sent).isEmpty();
        EntryTarget second = port.checked.getLast();
        assertThat(second).isNotEqualTo(first);
        request.onTargetChecked(second, true, 30);
        assertThat(port.lastSent().target()).isEqualTo(second);
    }

    // Guards against copies, reports and lists that reach a target during its rest.
    @Test
    void restingTargetGetsNoCallsOfThisHost() {
        registerTargets(2);
        rest("t0", 3_000);
        EntryTarget resting = EntryTargets.ready("t0", "a");
        assertThat(loadBalancer.acceptsCalls(resting, 10)).isFalse();
        assertThat(loadBalancer.reachableTargets(EntryTargets.SERVICE, 10)).doesNotContain(resting);
        assertThat(loadBalancer.acceptsCalls(resting, 3_000)).isTrue();
    }

    @Test
    void leavingTargetGetsNoNewRequests() {
        registerTargets(2);
        loadBalancer.availability().record(EntryTargets.ready("t0", "a").incarnation(), LEAVING, 0);
        for (int i = 0; i < 5; i++) {
            start(RouteKind.IDEMPOTENT);
            assertThat(port.lastSent().target().id().value()).isEqualTo("t1");
        }
    }

    // Guards against streams that are broken off because their target says that it leaves.
    @Test
    void streamGoesOnAtLeavingTarget() {
        registerTargets(2);
        ForwardedRequest request = startStream();
        loadBalancer.availability().record(port.lastSent().target().incarnation(), LEAVING, 60);
        request.onEvents(1, events(0, 1), 100);
        request.onTimer(1_000);
        request.onEvents(1, events(2), 1_100);
        request.onStreamEnded(1, 1_200);
        assertThat(port.sent).hasSize(1);
        assertThat(port.streamEnded).isTrue();
    }

    // Guards against a version that counts as served although its last target leaves.
    @Test
    void versionOfWhichAllTargetsLeaveIsGone() {
        registerVersions("v1", "v2");
        EntryTarget last = EntryTargets.ofVersion("t0", "a", "v1");
        loadBalancer.availability().record(last.incarnation(), LEAVING, 0);
        assertThat(loadBalancer.isVersionGone(EntryTargets.SERVICE, V1)).isTrue();
        assertThat(loadBalancer.isVersionGone(EntryTargets.SERVICE, V2)).isFalse();
    }

    private void rest(String target, long millis) {
        EntryTarget resting =
                List.of("t1").contains(target) ? EntryTargets.ready(target, "b") : EntryTargets.ready(target, "a");
        AvailabilityStatement statement = new AvailabilityStatement(false, new RestStatement.Asked(millis));
        loadBalancer.availability().record(resting.incarnation(), statement, 0);
    }
}
