package org.amaranthlock.coordination.membership;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.amaranthlock.coordination.Event;
import org.amaranthlock.coordination.OperatorEvent;
import org.amaranthlock.model.HostId;
import org.amaranthlock.protocol.peer.MemberUpdate;
import org.amaranthlock.protocol.peer.PeerMessage.Ping;
import org.amaranthlock.protocol.peer.RouterState;
import org.amaranthlock.simulation.ClusterSimulation;
import org.amaranthlock.simulation.MembershipFixture;
import org.amaranthlock.simulation.MembershipFixture.RouterComponents;

class DefaultMembershipProperties {
    /** Guards against a dead router that remains the owner of requests and partitions, and against false deaths. */
    @Property(seed = "11", tries = 30)
    void deathIsDetectedByAllOfNineRoutersWithinSixSeconds(@ForAll long seed, @ForAll @IntRange(max = 8) int victim) {
        deathIsDetected(seed, 9, victim);
    }

    /** Guards against failure detection that becomes slower as the number of routers grows. */
    @Property(seed = "12", tries = 8)
    void deathIsDetectedByAllOfSixtyRoutersWithinSixSeconds(@ForAll long seed, @ForAll @IntRange(max = 59) int victim) {
        deathIsDetected(seed, 60, victim);
    }

    private static void deathIsDetected(long seed, int count, int victim) {
        ClusterSimulation simulation = new ClusterSimulation(seed);
        MembershipFixture fixture = new MembershipFixture(simulation);
        fixture.startAll(count);
        simulation.advance(10_000);
        assertLiveMembersEverywhere(fixture, count);
        HostId host = fixture.components(victim).router().member().host();

        fixture.components(victim).router().kill();
        simulation.advance(6_000);

        for (RouterComponents components : fixture.runningComponents()) {
            assertThat(components.membership().isDead(host)).isTrue();
        }
        assertLiveMembersEverywhere(fixture, count - 1);
    }

    /** Guards against false deaths caused by occasional message loss, which would move partitions needlessly. */
    @Property(seed = "13", tries = 100)
    void occasionalMessageLossRemovesNoRouter(@ForAll long seed) {
        ClusterSimulation simulation = new ClusterSimulation(seed);
        MembershipFixture fixture = new MembershipFixture(simulation);
        fixture.startAll(9);
        simulation.advance(10_000);
        simulation.setNetworkFaults(0.05, 0.05, 60);

        for (int second = 0; second < 30; second++) {
            simulation.advance(1_000);
            assertLiveMembersEverywhere(fixture, 9);
        }
    }

    /** Guards against a router that is suspected because one other router cannot reach it. */
    @Property(seed = "19", tries = 10)
    void brokenLinkBetweenTwoRoutersRaisesNoSuspicion(@ForAll long seed) {
        ClusterSimulation simulation = new ClusterSimulation(seed);
        MembershipFixture fixture = new MembershipFixture(simulation);
        fixture.startAll(9);
        simulation.advance(10_000);
        List<MemberUpdate> suspicions = new ArrayList<>();
        fixture.runningComponents()
                .forEach(components -> components.router().addComponent((event, now) -> {
                    if (event instanceof Event.PeerReceived received && received.message() instanceof Ping ping) {
                        ping.gossip().members().stream()
                                .filter(update -> update.state() == RouterState.SUSPECT)
                                .forEach(suspicions::add);
                    }
                    return List.of();
                }));
        RouterMember one = fixture.components(4).router().member();
        RouterMember other = fixture.components(5).router().member();
        simulation.setReachability(
                (from, to) -> !(from.equals(one) && to.equals(other)) && !(from.equals(other) && to.equals(one)));

        simulation.advance(30_000);

        assertThat(suspicions).isEmpty();
        assertLiveMembersEverywhere(fixture, 9);
    }

    /** Guards against a router that by chance is not probed for a long time, so that its death is detected late. */
    @Property(seed = "20", tries = 3)
    void everyRouterIsProbedAboutOncePerSecond(@ForAll long seed) {
        ClusterSimulation simulation = new ClusterSimulation(seed);
        MembershipFixture fixture = new MembershipFixture(simulation);
        fixture.startAll(60);
        simulation.advance(12_000);
        Map<HostId, Long> probedAt = new HashMap<>();
        List<Long> gaps = new ArrayList<>();
        fixture.runningComponents()
                .forEach(components -> components.router().addComponent((event, now) -> {
                    if (event instanceof Event.PeerReceived received && received.message() instanceof Ping) {
                        Long last = probedAt.put(components.router().member().host(), now);
                        gaps.add(last == null ? 0 : now - last);
                    }
                    return List.of();
                }));
        simulation.advance(30_000);

        assertThat(probedAt).hasSize(60);
        assertThat(Collections.max(gaps)).isAtMost(1_100);
    }

    /** Guards against departures, suspicions and deaths that propagate only as fast as the probes are sent. */
    @Property(seed = "21", tries = 5)
    void leavingRouterIsKnownToSixtyRoutersWithinOneSecond(@ForAll long seed) {
        ClusterSimulation simulation = new ClusterSimulation(seed);
        MembershipFixture fixture = new MembershipFixture(simulation);
        fixture.startAll(60);
        simulation.advance(12_000);

        fixture.components(7).router().offer(new OperatorEvent.Drain(1));
        simulation.advance(1_000);

        assertLiveMembersEverywhere(fixture, 59);
    }

    /** Guards against two halves of a cluster that stay separate after a network partition has healed. */
    @Property(seed = "14", tries = 10)
    void membershipMergesAfterAPartitionHeals(@ForAll long seed) {
        ClusterSimulation simulation = new ClusterSimulation(seed);
        MembershipFixture fixture = new MembershipFixture(simulation);
        fixture.startAll(9);
        simulation.advance(10_000);
        simulation.setReachability((from, to) ->
                from.region().value().equals("region-0") == to.region().value().equals("region-0"));
        simulation.advance(15_000);
        assertThat(fixture.components(0).membership().liveMembers()).hasSize(3);
        assertThat(fixture.components(1).membership().liveMembers()).hasSize(6);

        simulation.setReachability((from, to) -> true);
        simulation.advance(15_000);

        assertLiveMembersEverywhere(fixture, 9);
    }

    /** Guards against a router that declares its peers dead after its own process was paused. */
    @Property(seed = "15", tries = 20)
    void pausedRouterRejoinsAndDeclaresNoOtherRouterDead(@ForAll long seed) {
        ClusterSimulation simulation = new ClusterSimulation(seed);
        MembershipFixture fixture = new MembershipFixture(simulation);
        fixture.startAll(9);
        simulation.advance(10_000);

        HostId suspected = fixture.components(7).router().member().host();
        MembershipView paused = fixture.components(4).membership();
        List<Long> falseDeaths = new ArrayList<>();
        fixture.components(4).router().addComponent((event, now) -> {
            if (paused.isDead(suspected)) {
                falseDeaths.add(now);
            }
            return List.of();
        });
        fixture.components(7).router().pause(1_200);
        simulation.advance(1_150);
        fixture.components(4).router().pause(20_000);
        simulation.advance(10_000);
        assertThat(fixture.components(0).membership().isDead(paused.self().host()))
                .isTrue();
        simulation.advance(20_000);

        assertThat(falseDeaths).isEmpty();
        assertLiveMembersEverywhere(fixture, 9);
    }

    /** Guards against mistaking a restarted router for its predecessor, and against counting a leaving one as live. */
    @Property(seed = "16", tries = 10)
    void restartedRouterIsANewMemberAndLeavingRouterIsNotLive(@ForAll long seed) {
        ClusterSimulation simulation = new ClusterSimulation(seed);
        MembershipFixture fixture = new MembershipFixture(simulation);
        fixture.startAll(9);
        simulation.advance(10_000);
        HostId before = fixture.components(3).router().member().host();
        fixture.components(3).router().kill();
        fixture.start(3, 1);
        HostId leaving = fixture.components(5).router().member().host();
        fixture.components(5).router().offer(new OperatorEvent.Drain(1));

        simulation.advance(6_000);

        for (RouterComponents components : fixture.runningComponents()) {
            MembershipView view = components.membership();
            assertThat(view.isDead(before)).isTrue();
            assertThat(view.member(fixture.components(3).router().member().host()))
                    .isPresent();
            assertThat(view.member(leaving)).isPresent();
            assertThat(view.liveMembers())
                    .doesNotContain(fixture.components(5).router().member());
            assertThat(view.liveMembers()).hasSize(8);
        }
    }

    /** Guards against control traffic per router that grows with the number of routers. */
    @Property(seed = "17", tries = 3)
    void messagesPerRouterDoNotGrowWithTheNumberOfRouters(@ForAll long seed) {
        double small = messagesPerRouterPerSecond(seed, 9);
        double large = messagesPerRouterPerSecond(seed, 60);

        assertThat(large).isAtMost(small * 1.1);
    }

    private static double messagesPerRouterPerSecond(long seed, int count) {
        ClusterSimulation simulation = new ClusterSimulation(seed);
        MembershipFixture fixture = new MembershipFixture(simulation);
        fixture.startAll(count);
        simulation.advance(20_000);
        long before = messagesSent(fixture);
        simulation.advance(20_000);
        return (messagesSent(fixture) - before) / (20.0 * count);
    }

    private static long messagesSent(MembershipFixture fixture) {
        return fixture.runningComponents().stream()
                .mapToLong(components -> components.router().messagesSent())
                .sum();
    }

    /** Guards against routers with the same view that disagree on the owner of a key. */
    @Property(seed = "18", tries = 5)
    void rendezvousOrderIsTheSameOnAllRoutersAndMovesOnlyTheKeysOfALostRouter(@ForAll long seed) {
        ClusterSimulation simulation = new ClusterSimulation(seed);
        MembershipFixture fixture = new MembershipFixture(simulation);
        fixture.startAll(9);
        simulation.advance(10_000);
        List<HostId> owners = new ArrayList<>();
        for (int key = 0; key < 64; key++) {
            List<RouterMember> order = fixture.components(0).membership().rendezvousOrder("ledger/" + key);
            for (RouterComponents components : fixture.runningComponents()) {
                assertThat(components.membership().rendezvousOrder("ledger/" + key))
                        .isEqualTo(order);
            }
            owners.add(order.getFirst().host());
        }
        HostId lost = fixture.components(2).router().member().host();
        fixture.components(2).router().kill();
        simulation.advance(6_000);

        for (int key = 0; key < 64; key++) {
            HostId owner = fixture.components(0)
                    .membership()
                    .rendezvousOrder("ledger/" + key)
                    .getFirst()
                    .host();
            if (!owners.get(key).equals(lost)) {
                assertThat(owner).isEqualTo(owners.get(key));
            }
        }
    }

    private static void assertLiveMembersEverywhere(MembershipFixture fixture, int count) {
        for (RouterComponents components : fixture.runningComponents()) {
            assertWithMessage("view of %s", components.router().member().host())
                    .that(components.membership().liveMembers())
                    .hasSize(count);
        }
    }
}
