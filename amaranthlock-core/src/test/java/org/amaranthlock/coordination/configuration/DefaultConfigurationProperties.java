package org.amaranthlock.coordination.configuration;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.amaranthlock.coordination.OperatorCommand;
import org.amaranthlock.coordination.OperatorCommand.ConfigurationAccepted;
import org.amaranthlock.coordination.OperatorCommand.Failed;
import org.amaranthlock.coordination.OperatorEvent.PutConfiguration;
import org.amaranthlock.model.ErrorCode;
import org.amaranthlock.model.HostId;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.protocol.objectapi.ObjectApiValue.ConfigurationEntry;
import org.amaranthlock.protocol.objectapi.ObjectApiValue.ConfigurationVersion;
import org.amaranthlock.protocol.objectapi.VersionedObject;
import org.amaranthlock.simulation.ClusterSimulation;
import org.amaranthlock.simulation.MembershipFixture;
import org.amaranthlock.simulation.MembershipFixture.RouterComponents;

class DefaultConfigurationProperties {
    private static final String PROFILE = ConfigurationParserTest.PROFILE;

    /** Configuration change or fault that is applied to the cluster in a step of the test. */
    enum ClusterEvent {
        CHANGE,
        DELETE,
        CONCURRENT_CHANGES,
        OUTAGE,
        RECOVERY,
        RESTART,
        NETWORK_PARTITION,
        NETWORK_RECOVERY,
        PAUSE
    }

    /** Guards against lost changes, two calls accepted for one write, and decreasing revisions under any faults. */
    @Property(seed = "21", tries = 40)
    void acceptedChangesAreNeverLostAndRevisionsNeverDecrease(
            @ForAll long seed, @ForAll @Size(min = 5, max = 25) List<ClusterEvent> clusterEvents) {
        ClusterSimulation simulation = new ClusterSimulation(seed);
        MembershipFixture fixture = start(simulation, 6);
        simulation.platform().setFaults(0.2, 0.3);
        simulation.setNetworkFaults(0.05, 0.1, 80);
        Map<String, Long> revisions = new HashMap<>();
        long call = 0;
        for (ClusterEvent clusterEvent : clusterEvents) {
            RouterComponents chosen =
                    fixture.runningComponents().get(simulation.random().nextInt(6));
            switch (clusterEvent) {
                case CHANGE -> put(chosen, ++call, currentRevision(chosen), Optional.of(PROFILE));
                case DELETE -> put(chosen, ++call, currentRevision(chosen), Optional.empty());
                case CONCURRENT_CHANGES -> {
                    RouterComponents other =
                            fixture.runningComponents().get(simulation.random().nextInt(6));
                    long expected = currentRevision(chosen);
                    put(chosen, ++call, expected, Optional.of(PROFILE));
                    put(other, ++call, expected, Optional.of(PROFILE));
                }
                case OUTAGE -> simulation.platform().setDown(true);
                case RECOVERY -> simulation.platform().setDown(false);
                case RESTART -> restart(simulation, fixture, chosen, revisions);
                case NETWORK_PARTITION ->
                    simulation.setReachability((from, to) -> from.region().equals(to.region()));
                case NETWORK_RECOVERY -> simulation.setReachability((from, to) -> true);
                default -> chosen.router().pause(simulation.random().nextLong(4_000));
            }
            for (int step = 0; step < 10; step++) {
                simulation.advance(200);
                assertMonotonic(fixture, revisions);
            }
        }
        simulation.platform().setDown(false);
        simulation.platform().setFaults(0, 0);
        simulation.setReachability((from, to) -> true);
        simulation.advance(30_000);
        assertMonotonic(fixture, revisions);
        assertEachAcceptedChangeWasWrittenOnce(simulation, fixture);
        long last = simulation
                .platform()
                .object("config/profile/x")
                .map(VersionedObject::revision)
                .orElse(0L);
        for (RouterComponents components : fixture.runningComponents()) {
            assertThat(components.configuration().isReady()).isTrue();
            assertThat(currentRevision(components)).isEqualTo(last);
        }
    }

    private static void restart(
            ClusterSimulation simulation,
            MembershipFixture fixture,
            RouterComponents chosen,
            Map<String, Long> revisions) {
        int number = Integer.parseInt(chosen.router().member().host().value().substring(1, 2));
        chosen.router().kill();
        fixture.start(number, (int) (simulation.now() - ClusterSimulation.START_MILLIS));
        revisions.keySet().removeIf(key -> key.startsWith("r" + number + "-"));
    }

    /** Checks that each accepted call has its own revision and that these revisions were written. */
    private static void assertEachAcceptedChangeWasWrittenOnce(
            ClusterSimulation simulation, MembershipFixture fixture) {
        Map<Long, Long> callOfRevision = new HashMap<>();
        for (var router : fixture.allRouters()) {
            for (ConfigurationAccepted accepted : router.commands(ConfigurationAccepted.class)) {
                Long other = callOfRevision.put(accepted.entry().revision(), accepted.call());
                assertWithMessage(
                                "other call accepted with revision %s",
                                accepted.entry().revision())
                        .that(other)
                        .isNull();
            }
        }
        Optional<VersionedObject> stored = simulation.platform().object("config/profile/x");
        List<Long> written = new ArrayList<>();
        stored.map(VersionedObject::value).map(ConfigurationEntry.class::cast).ifPresent(entry -> {
            written.add(stored.get().revision());
            entry.history().forEach(version -> written.add(version.revision()));
        });
        if (written.size() <= ConfigurationWriter.HISTORY_LENGTH) {
            assertThat(written).containsAtLeastElementsIn(callOfRevision.keySet());
        }
    }

    /** Guards against accepting the concurrent changes of two operators, even when responses are lost. */
    @Property(seed = "22", tries = 100)
    void oneOfTwoRacingOperatorsWins(@ForAll long seed, @ForAll @IntRange(max = 200) int gapMillis) {
        ClusterSimulation simulation = new ClusterSimulation(seed);
        MembershipFixture fixture = start(simulation, 6);
        simulation.platform().setFaults(0.5, 0);

        put(fixture.components(0), 1, 0, Optional.of(PROFILE));
        simulation.advance(gapMillis);
        put(fixture.components(1), 2, 0, Optional.of(PROFILE));
        simulation.advance(11_000);

        long accepted = fixture.runningComponents().stream()
                .mapToLong(components -> components
                        .router()
                        .commands(ConfigurationAccepted.class)
                        .size())
                .sum();
        List<Failed> failed = new ArrayList<>();
        fixture.runningComponents()
                .forEach(components -> failed.addAll(components.router().commands(Failed.class)));
        assertThat(accepted).isEqualTo(1);
        assertThat(failed).hasSize(1);
        assertThat(failed.getFirst().code()).isEqualTo(ErrorCode.VERSION_CONFLICT);
        long revision =
                simulation.platform().object("config/profile/x").orElseThrow().revision();
        assertThat(failed.getFirst().detail()).contains("has revision " + revision);
    }

    /**
     * Guards against changes that take longer than 3 s to be in force on all routers while they can propagate through
     * the platform or through peers.
     */
    @Property(seed = "23", tries = 30)
    void acceptedChangeIsInForceEverywhereWithinThreeSeconds(
            @ForAll long seed, @ForAll boolean platformFailsAtOnce, @ForAll boolean networkPartitioned) {
        ClusterSimulation simulation = new ClusterSimulation(seed);
        MembershipFixture fixture = start(simulation, 60);
        if (networkPartitioned && !platformFailsAtOnce) {
            simulation.setReachability((from, to) -> from.region().equals(to.region()));
        } else {
            simulation.setNetworkFaults(0.2, 0.1, 60);
        }

        RouterComponents writer = fixture.components(simulation.random().nextInt(60));
        if (platformFailsAtOnce) {
            HostId host = writer.router().member().host();
            simulation.platform().setReachability(host::equals);
        }
        put(writer, 1, 0, Optional.of(PROFILE));
        long deadline = simulation.now() + 1_000;
        while (writer.router().commands(ConfigurationAccepted.class).isEmpty() && simulation.now() < deadline) {
            simulation.advance(1);
        }
        simulation.platform().setDown(platformFailsAtOnce);
        long revision = writer.router()
                .commands(ConfigurationAccepted.class)
                .getFirst()
                .entry()
                .revision();
        simulation.advance(3_000);

        for (RouterComponents components : fixture.runningComponents()) {
            assertThat(currentRevision(components)).isEqualTo(revision);
        }
    }

    /** Guards against a router that reports ready before it holds the configuration of its peers. */
    @Property(seed = "24", tries = 20)
    void startingRouterIsReadyOnlyWithThePeersRevisionEvenDuringAnOutage(@ForAll long seed) {
        ClusterSimulation simulation = new ClusterSimulation(seed);
        MembershipFixture fixture = start(simulation, 6);
        for (int i = 0; i < 1_500; i++) {
            String name = "p" + i;
            ConfigurationVersion version =
                    new ConfigurationVersion(0, Optional.of(PROFILE), "operator", "change-" + i, simulation.now());
            simulation
                    .platform()
                    .put("config/profile/" + name, new ConfigurationEntry("profile", name, version, List.of()));
        }
        simulation.advance(3_000);
        simulation.platform().setDown(true);
        RouterComponents startedRouter = fixture.start(7, 0);
        for (int step = 0; step < 200 && !startedRouter.configuration().isReady(); step++) {
            simulation.advance(50);
        }

        assertThat(startedRouter.configuration().isReady()).isTrue();
        assertThat(startedRouter.configuration().entry("profile", "p1499")).isPresent();
        assertThat(startedRouter.configuration().revision())
                .isEqualTo(fixture.components(0).configuration().revision());
    }

    /** Guards against references to entries that do not exist, which would disable a service. */
    @Property(seed = "25", tries = 1)
    void danglingReferencesAreRejectedBeforeTheWrite() {
        ClusterSimulation simulation = new ClusterSimulation(1);
        MembershipFixture fixture = start(simulation, 3);
        RouterComponents components = fixture.components(0);
        String service = ConfigurationParserTest.SERVICE;

        components.router().offer(new PutConfiguration(1, "service", "desk", 0, Optional.of(service), "o", "c1"));
        components.router().offer(new PutConfiguration(2, "profile", "orders", 0, Optional.of(PROFILE), "o", "c2"));
        simulation.advance(1_000);
        components.router().offer(new PutConfiguration(3, "service", "desk", 0, Optional.of(service), "o", "c3"));
        simulation.advance(1_000);
        long revision = components
                .configuration()
                .entry("profile", "orders")
                .orElseThrow()
                .revision();
        components.router().offer(new PutConfiguration(4, "profile", "orders", revision, Optional.empty(), "o", "c4"));
        simulation.advance(1_000);

        List<Failed> failed = components.router().commands(Failed.class);
        assertThat(failed.stream().map(OperatorCommand::call)).containsExactly(1L, 4L);
        assertThat(failed.getFirst().detail()).contains("there is no profile \"orders\"");
        assertThat(components.configuration().service(new ServiceName("desk"))).isPresent();
    }

    private static MembershipFixture start(ClusterSimulation simulation, int count) {
        MembershipFixture fixture = new MembershipFixture(simulation);
        fixture.startAll(count);
        simulation.advance(10_000);
        return fixture;
    }

    private static long currentRevision(RouterComponents components) {
        return components
                .configuration()
                .entry("profile", "x")
                .map(ConfigurationEntry::revision)
                .orElse(0L);
    }

    private static void put(RouterComponents components, long call, long expected, Optional<String> text) {
        components
                .router()
                .offer(new PutConfiguration(call, "profile", "x", expected, text, "operator", "change-" + call));
    }

    private static void assertMonotonic(MembershipFixture fixture, Map<String, Long> revisions) {
        for (RouterComponents components : fixture.runningComponents()) {
            String host = components.router().member().host().value();
            assertNotLower(revisions, host + "/entry", currentRevision(components));
            assertNotLower(revisions, host + "/view", components.configuration().revision());
        }
    }

    private static void assertNotLower(Map<String, Long> revisions, String key, long revision) {
        assertThat(revision).isAtLeast(revisions.getOrDefault(key, 0L));
        revisions.put(key, revision);
    }
}
