package org.amaranthlock.coordination.membership;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.amaranthlock.coordination.TargetCommand;
import org.amaranthlock.coordination.TargetEvent;
import org.amaranthlock.model.FailureDomain;
import org.amaranthlock.model.Region;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.Target;
import org.amaranthlock.model.TargetId;
import org.amaranthlock.protocol.objectapi.HostEntry;
import org.amaranthlock.protocol.objectapi.ObjectApiValue.ConfigurationEntry;
import org.amaranthlock.protocol.objectapi.ObjectApiValue.ConfigurationVersion;
import org.amaranthlock.simulation.ClusterSimulation;
import org.amaranthlock.simulation.MembershipFixture;
import org.amaranthlock.simulation.MembershipFixture.RouterComponents;

class DefaultTargetDirectoryProperties {
    private static final TargetId DRAINING_TARGET = new TargetId("t3");

    /** Guards against new work on a draining target, even from routers that cannot read the host list themselves. */
    @Property(seed = "31", tries = 20)
    void drainingTargetIsUnavailableOnEveryRouterWithinFiveSeconds(
            @ForAll long seed, @ForAll @IntRange(max = 29) int isolatedRouter, @ForAll boolean wholeDomain) {
        ClusterSimulation simulation = new ClusterSimulation(seed);
        MembershipFixture fixture = start(simulation, 30, 6);
        simulation.platform().setReachability(host -> {
            int number = Integer.parseInt(host.value().substring(1, host.value().indexOf('-')));
            return wholeDomain ? number % 3 != isolatedRouter % 3 : number != isolatedRouter;
        });

        simulation.platform().setHosts(hostList(6, true));
        simulation.advance(5_000);

        for (RouterComponents components : fixture.runningComponents()) {
            assertWithMessage("%s", components.router().member().host())
                    .that(components.directory().unavailableReason(DRAINING_TARGET))
                    .hasValue("leaving");
        }
    }

    /** Guards against a drain notice of a target that affects only the router that received it. */
    @Property(seed = "32", tries = 20)
    void drainNoticeOfATargetReachesAllRoutersWithinFiveSeconds(
            @ForAll long seed, @ForAll @IntRange(max = 29) int observer) {
        ClusterSimulation simulation = new ClusterSimulation(seed);
        MembershipFixture fixture = start(simulation, 30, 6);

        fixture.components(observer).router().offer(new TargetEvent.Draining(DRAINING_TARGET));
        simulation.advance(5_000);

        for (RouterComponents components : fixture.runningComponents()) {
            assertThat(components.directory().isAvailable(DRAINING_TARGET)).isFalse();
        }
        // The host list does not confirm the notice, so it expires after 60 s.
        simulation.advance(75_000);
        for (RouterComponents components : fixture.runningComponents()) {
            assertThat(components.directory().isAvailable(DRAINING_TARGET)).isTrue();
        }
    }

    /** Guards against many simultaneously draining targets that the limited gossip cannot propagate in time. */
    @Property(seed = "33", tries = 5)
    void manyDrainingTargetsAreUnavailableOnEveryRouterWithinFiveSeconds(@ForAll long seed) {
        ClusterSimulation simulation = new ClusterSimulation(seed);
        MembershipFixture fixture = start(simulation, 30, 60);
        List<HostEntry> hosts = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            hosts.add(hostEntry("t" + i, true));
        }
        simulation.platform().setHosts(hosts);
        simulation.advance(5_000);

        for (RouterComponents components : fixture.runningComponents()) {
            for (int i = 0; i < 40; i++) {
                assertThat(components.directory().isAvailable(new TargetId("t" + i)))
                        .isFalse();
            }
        }
    }

    /** Guards against polls in bursts, and against an unreachable target that is polled without backoff or never. */
    @Property(seed = "34", tries = 5)
    void targetsArePolledEveryTwoSecondsAndUnreachableOnesWithBackoff(@ForAll long seed) {
        ClusterSimulation simulation = new ClusterSimulation(seed);
        MembershipFixture fixture = start(simulation, 3, 6);
        RouterComponents components = fixture.components(0);
        simulation.advance(10_000);
        int before = polls(components, DRAINING_TARGET);
        simulation.advance(20_000);
        assertThat(polls(components, DRAINING_TARGET) - before).isEqualTo(10);

        components.router().offer(new TargetEvent.Unreachable(DRAINING_TARGET));
        assertThat(components.directory().isAvailable(DRAINING_TARGET)).isFalse();
        int pollCount = 0;
        for (int tick = 0; tick < 400; tick++) {
            int seen = polls(components, DRAINING_TARGET);
            simulation.advance(50);
            if (polls(components, DRAINING_TARGET) > seen) {
                pollCount++;
                components.router().offer(new TargetEvent.Unreachable(DRAINING_TARGET));
            }
        }
        // Intervals of 250 ms, 500 ms, 1 s, 2 s and then 4 s result in 8 polls within 20 s.
        assertThat(pollCount).isIn(List.of(7, 8, 9));

        components.router().offer(new TargetEvent.Reachable(DRAINING_TARGET));
        assertThat(components.directory().isAvailable(DRAINING_TARGET)).isTrue();
    }

    /** Guards against a full mesh of routers and targets, and against a subset whose targets are all in one region. */
    @Property(seed = "35", tries = 5)
    void subsetHolds24TargetsWithFourInOtherRegions(@ForAll long seed) {
        ClusterSimulation simulation = new ClusterSimulation(seed);
        MembershipFixture fixture = start(simulation, 6, 120);

        for (RouterComponents components : fixture.runningComponents()) {
            List<Target> subset = components.directory().targets(new ServiceName("engines"));
            assertThat(subset).hasSize(24);
            long sameRegion = subset.stream()
                    .filter(target ->
                            target.region().equals(components.router().member().region()))
                    .count();
            assertThat(sameRegion).isEqualTo(20);
        }
        assertThat(fixture.components(0).directory().allTargets())
                .isNotEqualTo(fixture.components(3).directory().allTargets());
    }

    private static int polls(RouterComponents components, TargetId id) {
        return (int) components.router().commands(TargetCommand.Poll.class).stream()
                .filter(poll -> poll.target().id().equals(id))
                .count();
    }

    private static MembershipFixture start(ClusterSimulation simulation, int routers, int targets) {
        for (int i = 0; i < targets; i++) {
            int domain = i % 3;
            String text = "service = \"engines\"\naddress = \"10.9.0." + i + ":8000\"\nregion = \"region-" + domain
                    + "\"\nfailure-domain = \"domain-" + domain + "\"\nslots = 8\n";
            write(simulation, "target", "t" + i, text);
        }
        simulation.platform().setHosts(hostList(targets, false));
        MembershipFixture fixture = new MembershipFixture(simulation);
        fixture.startAll(routers);
        simulation.advance(10_000);
        return fixture;
    }

    private static void write(ClusterSimulation simulation, String kind, String name, String text) {
        ConfigurationVersion version =
                new ConfigurationVersion(0, Optional.of(text), "operator", kind + name, simulation.now());
        simulation
                .platform()
                .put("config/" + kind + "/" + name, new ConfigurationEntry(kind, name, version, List.of()));
    }

    private static List<HostEntry> hostList(int targets, boolean leaving) {
        List<HostEntry> hosts = new ArrayList<>();
        for (int i = 0; i < targets; i++) {
            hosts.add(hostEntry("t" + i, leaving && i == 3));
        }
        return hosts;
    }

    private static HostEntry hostEntry(String name, boolean leaving) {
        return new HostEntry(name, "target", "10.9.0.1:8000", new Region("r"), new FailureDomain("d"), leaving);
    }
}
