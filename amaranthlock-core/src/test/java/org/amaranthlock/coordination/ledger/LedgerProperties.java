package org.amaranthlock.coordination.ledger;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.amaranthlock.coordination.OperatorCommand.OutcomeShown;
import org.amaranthlock.coordination.OperatorEvent;
import org.amaranthlock.coordination.RequestEvent.ClaimDecided;
import org.amaranthlock.coordination.ledger.LedgerFixture.RouterNode;
import org.amaranthlock.model.ExecutionStatus;
import org.amaranthlock.model.HostId;
import org.amaranthlock.model.OutcomeRecord;
import org.amaranthlock.model.RequestId;
import org.amaranthlock.model.RequestSpec;
import org.amaranthlock.model.ServiceResponse;
import org.amaranthlock.protocol.peer.ClaimResult;
import org.amaranthlock.protocol.peer.PeerMessage.FinalOutcome;
import org.amaranthlock.simulation.ClusterSimulation;

class LedgerProperties {
    private static final int ROUTERS = 4;

    /** Step of a randomized simulation: a claim, a fault or a recovery. */
    enum SimulationStep {
        CLAIM,
        CLAIM_ON_ALL_ROUTERS,
        DIVERGENT_VIEW,
        ALIGN_VIEWS,
        PAUSE,
        RESTART,
        OUTAGE,
        RECOVERY,
        NETWORK_PARTITION,
        NETWORK_RECOVERY,
        SECOND_OUTCOME,
        WAIT
    }

    /** Guards against requests that are executed twice, grants that are not in the log, and lost outcome records. */
    @Property(seed = "41", tries = 300)
    void eachKeyRunsAtMostOnceAndAcknowledgedOutcomesAreDurable(
            @ForAll long seed, @ForAll @Size(min = 5, max = 40) List<SimulationStep> steps) {
        ClusterSimulation simulation = new ClusterSimulation(seed);
        LedgerFixture fixture = new LedgerFixture(simulation, ROUTERS);
        simulation.platform().setFaults(0.25, 0.3);
        simulation.setNetworkFaults(0.05, 0.15, 60);
        for (SimulationStep step : steps) {
            applyStep(simulation, fixture, step);
            simulation.advance(simulation.random().nextLong(400));
        }
        simulation.platform().setDown(false);
        simulation.platform().setFaults(0, 0);
        simulation.setNetworkFaults(0, 0, 12);
        simulation.setReachability((from, to) -> true);
        fixture.alignViews();
        simulation.advance(30_000);

        fixture.assertNothingExecutedTwice();
        fixture.assertLogIsConsistent();
        for (RouterNode node : fixture.running()) {
            assertThat(node.undecidedClaims()).isEqualTo(0);
            assertThat(node.client.pendingOutcomeCount()).isEqualTo(0);
        }
        assertThat(fixture.firstOutcomes().keySet()).containsAtLeastElementsIn(fixture.durableRequests());
        restartAll(simulation, fixture);
        assertOutcomesReadable(simulation, fixture, List.copyOf(fixture.durableRequests()));
    }

    private static void applyStep(ClusterSimulation simulation, LedgerFixture fixture, SimulationStep step) {
        int number = simulation.random().nextInt(ROUTERS);
        RouterNode node = fixture.node(number);
        switch (step) {
            case CLAIM -> claim(simulation, fixture, node);
            case CLAIM_ON_ALL_ROUTERS -> fixture.running().forEach(each -> claim(simulation, fixture, each));
            case DIVERGENT_VIEW -> {
                List<Integer> hidden = new ArrayList<>(List.of(0, 1, 2, 3));
                hidden.remove(simulation.random().nextInt(ROUTERS));
                fixture.hideMembers(node, hidden);
            }
            case ALIGN_VIEWS -> fixture.alignViews();
            case PAUSE -> {
                if (!node.router.paused()) {
                    node.router.pause(simulation.random().nextLong(5_000));
                }
            }
            case RESTART -> {
                node.router.kill();
                fixture.start(number);
                fixture.alignViews();
            }
            case OUTAGE -> simulation.platform().setDown(true);
            case RECOVERY -> simulation.platform().setDown(false);
            case NETWORK_PARTITION ->
                simulation.setReachability((from, to) -> from.region().equals(to.region()));
            case NETWORK_RECOVERY -> simulation.setReachability((from, to) -> true);
            case SECOND_OUTCOME -> secondOutcome(simulation, fixture, node);
            default -> simulation.advance(2_000);
        }
    }

    private static void claim(ClusterSimulation simulation, LedgerFixture fixture, RouterNode node) {
        if (!node.router.paused()) {
            node.claim(fixture.request("key-" + simulation.random().nextInt(3), 7));
        }
    }

    /** Closes a request that another router has already closed, as a backup router may do. */
    private static void secondOutcome(ClusterSimulation simulation, LedgerFixture fixture, RouterNode node) {
        RequestSpec spec = fixture.request("generation", 7);
        RouterNode other = fixture.node(simulation.random().nextInt(ROUTERS));
        if (!node.router.paused() && !other.router.paused()) {
            node.close(spec, ExecutionStatus.RAN);
            simulation.advance(simulation.random().nextLong(3_000));
            other.close(spec, ExecutionStatus.UNKNOWN);
        }
    }

    private static void restartAll(ClusterSimulation simulation, LedgerFixture fixture) {
        for (int number = 0; number < ROUTERS; number++) {
            fixture.node(number).router.kill();
            fixture.start(number);
        }
        fixture.alignViews();
        simulation.advance(1_000);
    }

    private static void assertOutcomesReadable(
            ClusterSimulation simulation, LedgerFixture fixture, List<RequestId> requests) {
        RouterNode reader = fixture.node(simulation.random().nextInt(ROUTERS));
        for (int call = 0; call < requests.size(); call++) {
            reader.router.offer(new OperatorEvent.ShowOutcome(call, requests.get(call)));
        }
        simulation.advance(5_000);
        List<OutcomeShown> shown = reader.router.commands(OutcomeShown.class);
        assertThat(shown).hasSize(requests.size());
        for (OutcomeShown outcomeShown : shown) {
            RequestId request = requests.get((int) outcomeShown.call());
            assertWithMessage("record of %s", request)
                    .that(outcomeShown.record())
                    .hasValue(fixture.firstOutcomes().get(request));
        }
    }

    /** Guards against a retry that is granted again, rejected unnecessarily or mistaken for a different request. */
    @Property(seed = "42", tries = 20)
    void retriesGetTheRecordedOutcome(@ForAll long seed) {
        ClusterSimulation simulation = new ClusterSimulation(seed);
        LedgerFixture fixture = new LedgerFixture(simulation, ROUTERS);
        RouterNode first = fixture.node(0);
        RouterNode second = fixture.node(1);
        RequestSpec order = fixture.request("order", 7);
        first.router.execute(first.client.requestClaim(order, simulation.now()));
        simulation.advance(1_000);
        assertThat(claimResult(first, order)).isInstanceOf(ClaimResult.Granted.class);
        first.router.execute(first.client.requestClaim(order, simulation.now()));

        RequestSpec retry = fixture.request("order", 7);
        RequestSpec reusedKey = fixture.request("order", 8);
        second.router.execute(second.client.requestClaim(retry, simulation.now()));
        second.router.execute(second.client.requestClaim(reusedKey, simulation.now()));
        simulation.advance(1_000);
        assertThat(claimResult(second, retry)).isInstanceOf(ClaimResult.Held.class);
        assertThat(claimResult(second, reusedKey)).isInstanceOf(ClaimResult.KeyReused.class);
        List<ClaimDecided> decisions = first.router.raisedEvents(ClaimDecided.class);
        assertThat(decisions).hasSize(2);
        assertThat(decisions.get(1)).isEqualTo(decisions.get(0));

        OutcomeRecord record = LedgerFixture.record(
                order, ExecutionStatus.RAN, first.router.member().host());
        first.router.execute(first.client.submitOutcome(new FinalOutcome(record, Optional.empty()), simulation.now()));
        simulation.advance(2_000);
        restartAll(simulation, fixture);
        RouterNode third = fixture.node(2);
        RequestSpec lateRetry = fixture.request("order", 7);
        RequestSpec lateReusedKey = fixture.request("order", 8);
        third.router.execute(third.client.requestClaim(lateRetry, simulation.now()));
        third.router.execute(third.client.requestClaim(lateReusedKey, simulation.now()));
        simulation.advance(1_500);
        assertClosed(claimResult(third, lateRetry), record);
        assertThat(claimResult(third, lateReusedKey)).isInstanceOf(ClaimResult.KeyReused.class);
        int partition = LedgerPartitions.ofKey(order.ledgerKey());
        assertThat(fixture.lastOwner(partition))
                .isEqualTo(third.view
                        .rendezvousOrder(LedgerKeys.rendezvousKey(partition))
                        .getFirst()
                        .host());
    }

    private static ClaimResult claimResult(RouterNode node, RequestSpec spec) {
        return node.router.raisedEvents(ClaimDecided.class).stream()
                .filter(event -> event.request().equals(spec.id()))
                .map(ClaimDecided::result)
                .findFirst()
                .orElseThrow();
    }

    /** Guards against claims that are rejected although their write took effect. */
    @Property(seed = "46", tries = 30)
    void lostResponsesAreResolvedByReadingThePositionBack(@ForAll long seed) {
        ClusterSimulation simulation = new ClusterSimulation(seed);
        LedgerFixture fixture = new LedgerFixture(simulation, ROUTERS);
        simulation.platform().setFaults(0.5, 0.5);
        List<RequestSpec> orders = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            orders.add(fixture.request("key-" + i, 7));
            fixture.node(i % ROUTERS).claim(orders.get(i));
        }
        simulation.advance(2_000);

        for (int i = 0; i < 30; i++) {
            assertThat(claimResult(fixture.node(i % ROUTERS), orders.get(i))).isInstanceOf(ClaimResult.Granted.class);
        }
    }

    /** Guards against a key that remains claimed by a grant that arrived after the client had timed out. */
    @Property(seed = "47", tries = 20)
    void lateGrantIsClosedAsNotRun(@ForAll long seed) {
        ClusterSimulation simulation = new ClusterSimulation(seed);
        LedgerFixture fixture = new LedgerFixture(simulation, ROUTERS);
        RequestSpec order = fixture.request("order", 7);
        int partition = LedgerPartitions.ofKey(order.ledgerKey());
        HostId preferred = fixture.node(0)
                .view
                .rendezvousOrder(LedgerKeys.rendezvousKey(partition))
                .getFirst()
                .host();
        RouterNode owner = fixture.running().stream()
                .filter(node -> node.view.self().host().equals(preferred))
                .findFirst()
                .orElseThrow();
        RouterNode requester = fixture.running().stream()
                .filter(node -> node != owner)
                .findFirst()
                .orElseThrow();
        requester.close(fixture.request(fillerKey(partition), 7), ExecutionStatus.RAN);
        simulation.advance(2_000);
        long before = fixture.highestPosition(partition).orElseThrow();

        requester.router.execute(requester.client.requestClaim(order, simulation.now()));
        while (fixture.highestPosition(partition).orElseThrow() == before) {
            simulation.advance(1);
        }
        owner.router.pause(3_000);
        simulation.advance(6_000);

        assertThat(claimResult(requester, order)).isInstanceOf(ClaimResult.Unavailable.class);
        assertThat(fixture.firstOutcomes().get(order.id()).executionStatus()).isEqualTo(ExecutionStatus.NOT_RUN);
    }

    /** Guards against claims that fail because a message was lost or the client's membership view is outdated. */
    @Property(seed = "48", tries = 20)
    void claimReachesTheCurrentOwnerDespiteMessageLossAndAnOutdatedView(
            @ForAll long seed, @ForAll @IntRange(max = 3) int number) {
        ClusterSimulation simulation = new ClusterSimulation(seed);
        LedgerFixture fixture = new LedgerFixture(simulation, ROUTERS);
        RouterNode node = fixture.node(number);
        RequestSpec lost = fixture.request("lost", 7);
        RequestSpec misdirected = fixture.request("misdirected", 7);
        simulation.setReachability((from, to) -> false);
        node.claim(lost);
        simulation.advance(150);
        simulation.setReachability((from, to) -> true);
        simulation.advance(1_000);
        assertThat(claimResult(node, lost)).isInstanceOf(ClaimResult.Granted.class);

        List<Integer> hidden = new ArrayList<>();
        for (int other = 0; other < ROUTERS; other++) {
            HostId owner = node.view
                    .rendezvousOrder(LedgerKeys.rendezvousKey(LedgerPartitions.ofKey(misdirected.ledgerKey())))
                    .getFirst()
                    .host();
            if (fixture.node(other).view.self().host().equals(owner) && other != number) {
                hidden.add(other);
            }
        }
        fixture.hideMembers(node, hidden);
        hidden.forEach(other -> fixture.node(other).claim(fixture.request("other", 7)));
        node.claim(misdirected);
        simulation.advance(1_000);
        assertThat(claimResult(node, misdirected)).isInstanceOf(ClaimResult.Granted.class);
    }

    /** Guards against claims that wait for an unavailable platform instead of being rejected promptly. */
    @Property(seed = "43", tries = 20)
    void claimsAreRejectedDuringAnOutageAndOutcomesStayPending(@ForAll long seed) {
        ClusterSimulation simulation = new ClusterSimulation(seed);
        LedgerFixture fixture = new LedgerFixture(simulation, ROUTERS);
        simulation.platform().setDown(true);
        for (int i = 0; i < 20; i++) {
            RouterNode node = fixture.node(i % ROUTERS);
            RequestSpec spec = fixture.request("key-" + i, 7);
            node.claim(spec);
            simulation.advance(200);
            assertThat(claimResult(node, spec)).isInstanceOf(ClaimResult.Unavailable.class);
        }
        simulation.advance(20_000);
        int pendingOutcomes = fixture.running().stream()
                .mapToInt(node -> node.client.pendingOutcomeCount())
                .sum();
        assertThat(pendingOutcomes).isEqualTo(20);

        simulation.platform().setDown(false);
        simulation.advance(10_000);

        assertThat(fixture.firstOutcomes()).hasSize(20);
        assertThat(fixture.durableRequests()).hasSize(20);
    }

    /**
     * Guards against a takeover that loses claims or outcomes stored only in a snapshot, or that takes too long to
     * read.
     */
    @Property(seed = "44", tries = 3)
    void newOwnerContinuesFromSnapshotAndLog(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 200) int outcomesAfterSnapshot) {
        ClusterSimulation simulation = new ClusterSimulation(seed);
        LedgerFixture fixture = new LedgerFixture(simulation, ROUTERS);
        simulation.platform().setFaults(0.02, 0.3);
        RouterNode node = fixture.node(0);
        RequestSpec held = fixture.request("held", 7);
        RequestSpec order = fixture.request("order", 7);
        node.router.execute(node.client.requestClaim(order, simulation.now()));
        simulation.advance(2_000);
        OutcomeRecord record = LedgerFixture.record(
                order, ExecutionStatus.RAN, node.router.member().host());
        node.router.execute(node.client.submitOutcome(new FinalOutcome(record, Optional.empty()), simulation.now()));
        node.router.execute(node.client.requestClaim(held, simulation.now()));
        simulation.advance(2_000);
        int partition = LedgerPartitions.ofKey(order.ledgerKey());
        String filler = fillerKey(partition);
        ServiceResponse response = new ServiceResponse(200, Map.of(), new byte[4_096]);
        List<RequestSpec> large = new ArrayList<>();
        for (int i = 0; large.size() < 120; i++) {
            if (LedgerPartitions.ofKey("account/large-" + i) == partition) {
                large.add(fixture.request("large-" + i, 7));
            }
        }
        large.forEach(spec -> node.router.execute(node.client.requestClaim(spec, simulation.now())));
        simulation.advance(3_000);
        for (RequestSpec spec : large) {
            OutcomeRecord ran = LedgerFixture.record(
                    spec, ExecutionStatus.RAN, node.router.member().host());
            node.router.execute(
                    node.client.submitOutcome(new FinalOutcome(ran, Optional.of(response)), simulation.now()));
        }
        while (simulation.platform().object(LedgerKeys.snapshotKey(partition)).isEmpty()) {
            assertThat(fixture.highestPosition(partition).orElse(0)).isLessThan(1_500);
            node.close(fixture.request(filler, 7), ExecutionStatus.RAN);
            simulation.advance(600);
        }
        for (int i = 0; i < outcomesAfterSnapshot; i++) {
            node.close(fixture.request(filler, 7), ExecutionStatus.RAN);
            simulation.advance(600);
        }

        restartAll(simulation, fixture);
        RequestSpec retry = fixture.request("order", 7);
        RequestSpec reused = fixture.request("order", 8);
        RouterNode later = fixture.node(1);
        later.router.execute(later.client.requestClaim(retry, simulation.now()));
        later.router.execute(later.client.requestClaim(reused, simulation.now()));
        List<RequestSpec> retries = new ArrayList<>();
        large.forEach(
                spec -> retries.add(fixture.request(spec.key().orElseThrow().value(), 7)));
        retries.forEach(spec -> later.router.execute(later.client.requestClaim(spec, simulation.now())));
        simulation.advance(1_500);
        for (RequestSpec spec : retries) {
            ClaimResult.Closed closed = (ClaimResult.Closed) claimResult(later, spec);
            assertThat(closed.response()).hasValue(response);
        }

        assertClosed(claimResult(later, retry), record);
        assertThat(claimResult(later, reused)).isInstanceOf(ClaimResult.KeyReused.class);
    }

    private static String fillerKey(int partition) {
        int i = 0;
        while (LedgerPartitions.ofKey("account/filler-" + i) != partition) {
            i++;
        }
        return "filler-" + i;
    }

    /** Guards against exceeding the write rate that the platform can sustain. */
    @Property(seed = "45", tries = 5)
    void partitionWritesAtMostThreeTimesPerSecondAfterItsBurst(@ForAll long seed) {
        ClusterSimulation simulation = new ClusterSimulation(seed);
        LedgerFixture fixture = new LedgerFixture(simulation, ROUTERS);
        int partition = LedgerPartitions.ofKey("account/" + fillerKey(5));
        for (int i = 0; i < 600; i++) {
            fixture.node(i % ROUTERS).close(fixture.request(fillerKey(5), 7), ExecutionStatus.RAN);
            fixture.node(i % ROUTERS).claim(fixture.request(fillerKey(5), 7));
            simulation.advance(50);
        }

        // A burst of 10, 3 writes/s for 30 s and a tolerance of one write.
        assertThat(fixture.highestPosition(partition).orElseThrow()).isAtMost(10 + 3 * 30 + 1);
    }

    private static void assertClosed(ClaimResult result, OutcomeRecord record) {
        assertThat(result).isInstanceOf(ClaimResult.Closed.class);
        ClaimResult.Closed closed = (ClaimResult.Closed) result;
        assertThat(closed.record()).isEqualTo(record);
        assertThat(closed.response()).isEqualTo(Optional.empty());
    }
}
