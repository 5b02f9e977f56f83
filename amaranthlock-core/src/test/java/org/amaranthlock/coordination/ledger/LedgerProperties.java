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

    /** Something that happens to the routers between claims. */
    enum Disturbance {
        CLAIM,
        CLAIMS,
        OTHER_VIEW,
        AGREE,
        PAUSE,
        REPLACE,
        OUTAGE,
        RECOVERY,
        SPLIT,
        HEAL,
        SECOND_OUTCOME,
        WAIT
    }

    /** Guards against orders that run twice, grants that are not in the log, and outcome records that are lost. */
    @Property(seed = "41", tries = 300)
    void eachKeyRunsAtMostOnceAndAcknowledgedOutcomesLast(
            @ForAll long seed, @ForAll @Size(min = 5, max = 40) List<Disturbance> disturbances) {
        ClusterSimulation simulation = new ClusterSimulation(seed);
        LedgerFixture fixture = new LedgerFixture(simulation, ROUTERS);
        simulation.platform().setFaults(0.25, 0.3);
        simulation.setNetworkFaults(0.05, 0.15, 60);
        for (Disturbance disturbance : disturbances) {
            disturb(simulation, fixture, disturbance);
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
        assertThat(fixture.firstOutcomes().keySet()).containsAtLeastElementsIn(fixture.durable());
        replaceAll(simulation, fixture);
        assertReadable(simulation, fixture, List.copyOf(fixture.durable()));
    }

    private static void disturb(ClusterSimulation simulation, LedgerFixture fixture, Disturbance disturbance) {
        int number = simulation.random().nextInt(ROUTERS);
        RouterNode node = fixture.node(number);
        switch (disturbance) {
            case CLAIM -> claim(simulation, fixture, node);
            case CLAIMS -> fixture.running().forEach(each -> claim(simulation, fixture, each));
            case OTHER_VIEW -> {
                List<Integer> hidden = new ArrayList<>(List.of(0, 1, 2, 3));
                hidden.remove(simulation.random().nextInt(ROUTERS));
                fixture.hideMembers(node, hidden);
            }
            case AGREE -> fixture.alignViews();
            case PAUSE -> {
                if (!node.router.paused()) {
                    node.router.pause(simulation.random().nextLong(5_000));
                }
            }
            case REPLACE -> {
                node.router.kill();
                fixture.start(number);
                fixture.alignViews();
            }
            case OUTAGE -> simulation.platform().setDown(true);
            case RECOVERY -> simulation.platform().setDown(false);
            case SPLIT -> simulation.setReachability((from, to) -> from.region().equals(to.region()));
            case HEAL -> simulation.setReachability((from, to) -> true);
            case SECOND_OUTCOME -> secondOutcome(simulation, fixture, node);
            default -> simulation.advance(2_000);
        }
    }

    private static void claim(ClusterSimulation simulation, LedgerFixture fixture, RouterNode node) {
        if (!node.router.paused()) {
            node.claim(fixture.request("key-" + simulation.random().nextInt(3), 7));
        }
    }

    /** Closes a request that another router has closed already, as a keeper may do. */
    private static void secondOutcome(ClusterSimulation simulation, LedgerFixture fixture, RouterNode node) {
        RequestSpec spec = fixture.request("generation", 7);
        RouterNode other = fixture.node(simulation.random().nextInt(ROUTERS));
        if (!node.router.paused() && !other.router.paused()) {
            node.close(spec, ExecutionStatus.RAN);
            simulation.advance(simulation.random().nextLong(3_000));
            other.close(spec, ExecutionStatus.UNKNOWN);
        }
    }

    private static void replaceAll(ClusterSimulation simulation, LedgerFixture fixture) {
        for (int number = 0; number < ROUTERS; number++) {
            fixture.node(number).router.kill();
            fixture.start(number);
        }
        fixture.alignViews();
        simulation.advance(1_000);
    }

    private static void assertReadable(ClusterSimulation simulation, LedgerFixture fixture, List<RequestId> requests) {
        RouterNode reader = fixture.node(simulation.random().nextInt(ROUTERS));
        for (int call = 0; call < requests.size(); call++) {
            reader.router.offer(new OperatorEvent.ShowOutcome(call, requests.get(call)));
        }
        simulation.advance(5_000);
        List<OutcomeShown> shown = reader.router.commands(OutcomeShown.class);
        assertThat(shown).hasSize(requests.size());
        for (OutcomeShown answer : shown) {
            RequestId request = requests.get((int) answer.call());
            assertWithMessage("record of %s", request)
                    .that(answer.record())
                    .hasValue(fixture.firstOutcomes().get(request));
        }
    }

    /** Guards against a repeat of an order that is granted again, refused without need or confused with another. */
    @Property(seed = "42", tries = 20)
    void repeatsGetTheRecordedOutcome(@ForAll long seed) {
        ClusterSimulation simulation = new ClusterSimulation(seed);
        LedgerFixture fixture = new LedgerFixture(simulation, ROUTERS);
        RouterNode first = fixture.node(0);
        RouterNode second = fixture.node(1);
        RequestSpec order = fixture.request("order", 7);
        first.router.execute(first.client.requestClaim(order, simulation.now()));
        simulation.advance(1_000);
        assertThat(verdict(first, order)).isInstanceOf(ClaimResult.Granted.class);
        first.router.execute(first.client.requestClaim(order, simulation.now()));

        RequestSpec early = fixture.request("order", 7);
        RequestSpec other = fixture.request("order", 8);
        second.router.execute(second.client.requestClaim(early, simulation.now()));
        second.router.execute(second.client.requestClaim(other, simulation.now()));
        simulation.advance(1_000);
        assertThat(verdict(second, early)).isInstanceOf(ClaimResult.Held.class);
        assertThat(verdict(second, other)).isInstanceOf(ClaimResult.KeyReused.class);
        List<ClaimDecided> repeated = first.router.raisedEvents(ClaimDecided.class);
        assertThat(repeated).hasSize(2);
        assertThat(repeated.get(1)).isEqualTo(repeated.get(0));

        OutcomeRecord record = LedgerFixture.record(
                order, ExecutionStatus.RAN, first.router.member().host());
        first.router.execute(first.client.submitOutcome(new FinalOutcome(record, Optional.empty()), simulation.now()));
        simulation.advance(2_000);
        replaceAll(simulation, fixture);
        RouterNode third = fixture.node(2);
        RequestSpec late = fixture.request("order", 7);
        RequestSpec lateOther = fixture.request("order", 8);
        third.router.execute(third.client.requestClaim(late, simulation.now()));
        third.router.execute(third.client.requestClaim(lateOther, simulation.now()));
        simulation.advance(1_500);
        assertClosed(verdict(third, late), record);
        assertThat(verdict(third, lateOther)).isInstanceOf(ClaimResult.KeyReused.class);
        int partition = LedgerPartitions.ofKey(order.ledgerKey());
        assertThat(fixture.lastOwner(partition))
                .isEqualTo(third.view
                        .rendezvousOrder(LedgerKeys.owner(partition))
                        .getFirst()
                        .host());
    }

    private static ClaimResult verdict(RouterNode node, RequestSpec spec) {
        return node.router.raisedEvents(ClaimDecided.class).stream()
                .filter(event -> event.request().equals(spec.id()))
                .map(ClaimDecided::result)
                .findFirst()
                .orElseThrow();
    }

    /** Guards against claims that are refused although their write took effect. */
    @Property(seed = "46", tries = 30)
    void lostAnswersAreSettledByReadingThePositionBack(@ForAll long seed) {
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
            assertThat(verdict(fixture.node(i % ROUTERS), orders.get(i))).isInstanceOf(ClaimResult.Granted.class);
        }
    }

    /** Guards against a key that stays held by a grant which came after the client had given up. */
    @Property(seed = "47", tries = 20)
    void grantThatComesTooLateIsClosedAsNotRun(@ForAll long seed) {
        ClusterSimulation simulation = new ClusterSimulation(seed);
        LedgerFixture fixture = new LedgerFixture(simulation, ROUTERS);
        RequestSpec order = fixture.request("order", 7);
        int partition = LedgerPartitions.ofKey(order.ledgerKey());
        HostId preferred = fixture.node(0)
                .view
                .rendezvousOrder(LedgerKeys.owner(partition))
                .getFirst()
                .host();
        RouterNode owner = fixture.running().stream()
                .filter(node -> node.view.self().host().equals(preferred))
                .findFirst()
                .orElseThrow();
        RouterNode asking = fixture.running().stream()
                .filter(node -> node != owner)
                .findFirst()
                .orElseThrow();
        asking.close(fixture.request(fillerKey(partition), 7), ExecutionStatus.RAN);
        simulation.advance(2_000);
        long before = fixture.highestPosition(partition).orElseThrow();

        asking.router.execute(asking.client.requestClaim(order, simulation.now()));
        while (fixture.highestPosition(partition).orElseThrow() == before) {
            simulation.advance(1);
        }
        owner.router.pause(3_000);
        simulation.advance(6_000);

        assertThat(verdict(asking, order)).isInstanceOf(ClaimResult.Unavailable.class);
        assertThat(fixture.firstOutcomes().get(order.id()).executionStatus()).isEqualTo(ExecutionStatus.NOT_RUN);
    }

    /** Guards against claims that fail because a message was lost or the client's view is outdated. */
    @Property(seed = "48", tries = 20)
    void claimReachesThePresentOwnerInSpiteOfLossAndAnOutdatedView(
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
        assertThat(verdict(node, lost)).isInstanceOf(ClaimResult.Granted.class);

        List<Integer> hidden = new ArrayList<>();
        for (int other = 0; other < ROUTERS; other++) {
            HostId owner = node.view
                    .rendezvousOrder(LedgerKeys.owner(LedgerPartitions.ofKey(misdirected.ledgerKey())))
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
        assertThat(verdict(node, misdirected)).isInstanceOf(ClaimResult.Granted.class);
    }

    /** Guards against orders that wait for a platform that is down instead of being refused at once. */
    @Property(seed = "43", tries = 20)
    void claimsAreRefusedDuringAnOutageAndOutcomesWait(@ForAll long seed) {
        ClusterSimulation simulation = new ClusterSimulation(seed);
        LedgerFixture fixture = new LedgerFixture(simulation, ROUTERS);
        simulation.platform().setDown(true);
        for (int i = 0; i < 20; i++) {
            RouterNode node = fixture.node(i % ROUTERS);
            RequestSpec spec = fixture.request("key-" + i, 7);
            node.claim(spec);
            simulation.advance(200);
            assertThat(verdict(node, spec)).isInstanceOf(ClaimResult.Unavailable.class);
        }
        simulation.advance(20_000);
        int waiting = fixture.running().stream()
                .mapToInt(node -> node.client.pendingOutcomeCount())
                .sum();
        assertThat(waiting).isEqualTo(20);

        simulation.platform().setDown(false);
        simulation.advance(10_000);

        assertThat(fixture.firstOutcomes()).hasSize(20);
        assertThat(fixture.durable()).hasSize(20);
    }

    /** Guards against a takeover that loses claims or outcomes which only a snapshot holds, and against long reads. */
    @Property(seed = "44", tries = 3)
    void newOwnerContinuesFromSnapshotAndLog(@ForAll long seed, @ForAll @IntRange(min = 1, max = 200) int more) {
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
        while (simulation.platform().object(LedgerKeys.snapshot(partition)).isEmpty()) {
            assertThat(fixture.highestPosition(partition).orElse(0)).isLessThan(1_500);
            node.close(fixture.request(filler, 7), ExecutionStatus.RAN);
            simulation.advance(600);
        }
        for (int i = 0; i < more; i++) {
            node.close(fixture.request(filler, 7), ExecutionStatus.RAN);
            simulation.advance(600);
        }

        replaceAll(simulation, fixture);
        RequestSpec repeat = fixture.request("order", 7);
        RequestSpec reused = fixture.request("order", 8);
        RouterNode later = fixture.node(1);
        later.router.execute(later.client.requestClaim(repeat, simulation.now()));
        later.router.execute(later.client.requestClaim(reused, simulation.now()));
        List<RequestSpec> repeats = new ArrayList<>();
        large.forEach(
                spec -> repeats.add(fixture.request(spec.key().orElseThrow().value(), 7)));
        repeats.forEach(spec -> later.router.execute(later.client.requestClaim(spec, simulation.now())));
        simulation.advance(1_500);
        for (RequestSpec spec : repeats) {
            ClaimResult.Closed closed = (ClaimResult.Closed) verdict(later, spec);
            assertThat(closed.response()).hasValue(response);
        }

        assertClosed(verdict(later, repeat), record);
        assertThat(verdict(later, reused)).isInstanceOf(ClaimResult.KeyReused.class);
    }

    private static String fillerKey(int partition) {
        int i = 0;
        while (LedgerPartitions.ofKey("account/filler-" + i) != partition) {
            i++;
        }
        return "filler-" + i;
    }

    /** Guards against more writes than the platform can take. */
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

        assertThat(fixture.highestPosition(partition).orElseThrow()).isAtMost(10 + 3 * 30 + 1);
    }

    private static void assertClosed(ClaimResult verdict, OutcomeRecord record) {
        assertThat(verdict).isInstanceOf(ClaimResult.Closed.class);
        ClaimResult.Closed closed = (ClaimResult.Closed) verdict;
        assertThat(closed.record()).isEqualTo(record);
        assertThat(closed.response()).isEqualTo(Optional.empty());
    }
}
