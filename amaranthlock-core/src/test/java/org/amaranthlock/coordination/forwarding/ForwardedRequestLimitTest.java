package org.amaranthlock.coordination.forwarding;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.amaranthlock.coordination.brittle.BrittleStatement;
import org.amaranthlock.coordination.estimate.PrefillEstimates;
import org.amaranthlock.coordination.targetlimit.LimitListener;
import org.amaranthlock.coordination.targetlimit.LimitStatement;
import org.amaranthlock.coordination.targetlimit.TargetPermits;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

/** Tests requests whose targets limit the rate of requests that they take. */
class ForwardedRequestLimitTest extends AbstractForwardedRequestTest {
    private static final LimitStatement LIMIT = new LimitStatement.Named(2);

    /** Time at which a single host has its share of the limits. */
    private static final long JOINED_MILLIS = 6_000;

    private final EntryTarget first = EntryTargets.ready("t0", "a");
    private final EntryTarget second = EntryTargets.ready("t1", "b");
    private long nowMillis;
    private final TargetPermits permits = new TargetPermits(
            "host-1",
            (_, _, result) -> result.accept(Optional.empty()),
            LimitListener.none(),
            () -> nowMillis,
            RandomSource.SPLIT_MIX_64.create(1));
    private final TargetLoadBalancer limitedLoadBalancer = EntryTargets.loadBalancer(1, permits);

    // Guards against first attempts beyond the limit.
    @Test
    void requestGoesToTargetWithoutLimit() {
        register(first, second);
        for (int i = 0; i < 20; i++) {
            limit(first);
            startLimited(RouteKind.NON_IDEMPOTENT);
        }
        assertThat(port.sent.stream().map(attempt -> attempt.target().id()).distinct())
                .containsExactly(second.id());
    }

    @Test
    void requestIsRejectedAtOnceIfOnlyLimitedTargetsAreLeftWithoutRoom() {
        register(first);
        limit(first);
        startLimited(RouteKind.NON_IDEMPOTENT);
        assertThat(port.sent).isEmpty();
        assertThat(port.rejections.getFirst().status()).isEqualTo(503);
        assertThat(port.rejections.getFirst().retryAfterMillis()).isPresent();
        assertThat(port.rejections.getFirst().reason()).isEqualTo("target-limit");
    }

    @Test
    void requestsAreSentAtTheRateOfTheLimit() {
        register(first);
        limit(first);
        permits.onDirectoryRead();
        for (nowMillis = JOINED_MILLIS; nowMillis < JOINED_MILLIS + 20_000; nowMillis += 50) {
            startLimited(RouteKind.NON_IDEMPOTENT);
        }
        assertThat(port.sent.size()).isAtLeast(30);
        assertThat(port.sent.size()).isAtMost(40);
    }

    // Guards against retries beyond the limit.
    @Test
    void retryDoesNotGoToLimitedTargetWithoutPermit() {
        register(first, second);
        limit(first);
        ForwardedRequest request = startLimited(RouteKind.IDEMPOTENT);
        request.onResponse(1, response(503, false, true), 10);
        assertThat(port.sent).hasSize(1);
        assertThat(port.rejections.getFirst().reason()).isEqualTo("target-limit");
    }

    // Guards against a request that may crash targets and goes to the next one without the check, so that dead targets
    // are put down to it.
    @Test
    void suspectedRequestIsCheckedAlsoAfterPermitWasDenied() {
        register(first, second);
        limit(first);
        limitedLoadBalancer.recordFailure(second, 0);
        crashHistory.recordCrash(requestAttributes().fingerprint(), 0, 0);
        startLimited(RouteKind.IDEMPOTENT);
        assertThat(port.checked).containsExactly(second);
    }

    // Guards against resumed streams beyond the limit, which go to the engine that holds their prompt or their copy.
    @Test
    void streamIsNotResumedOnLimitedEngineWithoutPermit() {
        register(first, second);
        ForwardedRequest request = startLimited(RouteKind.STREAMING);
        EntryTarget engine = port.lastSent().target();
        request.onStreamOpened(1, response(200, true, false, statements(LIMIT)), 20);
        request.onAttemptLost(1, "closed", 100);
        assertThat(port.sent).hasSize(2);
        assertThat(port.lastSent().target()).isNotEqualTo(engine);
    }

    @Test
    void limitedEngineIsNotAskedForReports() {
        register(first);
        ForwardedRequest request = startLimited(RouteKind.STREAMING);
        request.onStreamOpened(1, response(200, true, false, statements(LIMIT)), 20);
        for (long now = 100; now < 5_000; now += 100) {
            request.onTimer(now);
        }
        assertThat(port.reportRequests).isEmpty();
        assertThat(port.probed).isNotEmpty();
    }

    // Guards against a limit that stays in force for good: the target takes requests again.
    @Test
    void limitEndsWithConfirmedResponseThatNamesNone() {
        register(first);
        ForwardedRequest request = startLimited(RouteKind.IDEMPOTENT);
        request.onResponse(1, response(200, true, false, statements(LIMIT)), 10);
        startLimited(RouteKind.IDEMPOTENT);
        assertThat(port.sent).hasSize(1);
        limitedLoadBalancer.permits().observe(first.incarnation(), first.service(), new LimitStatement.NotNamed());
        startLimited(RouteKind.IDEMPOTENT);
        assertThat(port.sent).hasSize(2);
    }

    @Test
    void responseOfAnotherTargetDoesNotEndLimit() {
        register(first);
        limit(first);
        permits.onDirectoryRead();
        nowMillis = JOINED_MILLIS + 2_000;
        while (port.sent.isEmpty()) {
            nowMillis += 50;
            ForwardedRequest request = startLimited(RouteKind.NON_IDEMPOTENT);
            request.onResponse(1, response(421, true, false), nowMillis);
        }
        assertThat(permits.isLimited(first.incarnation())).isTrue();
    }

    private static TargetStatements statements(LimitStatement limit) {
        return new TargetStatements(limit, new BrittleStatement.NotNamed());
    }

    private void register(EntryTarget... targets) {
        limitedLoadBalancer.update(new TargetTable(List.of(targets)));
    }

    private void limit(EntryTarget target) {
        permits.observe(target.incarnation(), target.service(), LIMIT);
    }

    private ForwardedRequest startLimited(RouteKind kind) {
        ForwardedRequest request = new ForwardedRequest(
                requestAttributes(),
                route(kind),
                engineService(),
                Optional.empty(),
                new ForwardingState(
                        limitedLoadBalancer,
                        crashHistory,
                        promptPartGuard,
                        new PrefillEstimates(),
                        streamVersions,
                        registeredVersions,
                        Mechanisms.ALL),
                retryBudget,
                port);
        port.requestWithRespondingTargets = request;
        request.start(nowMillis);
        return request;
    }
}
