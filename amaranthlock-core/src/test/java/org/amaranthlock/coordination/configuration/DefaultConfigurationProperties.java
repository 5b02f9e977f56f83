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

    /** Something that happens to the fleet between two changes. */
    enum Disturbance {
        CHANGE,
        DELETE,
        RACE,
        OUTAGE,
        RECOVERY,
        RESTART,
        SPLIT,
        HEAL,
        PAUSE
    }

    /** Guards against lost changes, double winners, and revisions that go back under faults of any order. */
    @Property(seed = "21", tries = 40)
    void acceptedChangesAreNeverLostAndRevisionsNeverGoBack(
            @ForAll long seed, @ForAll @Size(min = 5, max = 25) List<Disturbance> disturbances) {
        ClusterSimulation simulation = new ClusterSimulation(seed);
        MembershipFixture fixture = start(simulation, 6);
        simulation.platform().setFaults(0.2, 0.3);
        simulation.setNetworkFaults(0.05, 0.1, 80);
        Map<String, Long> revisions = new HashMap<>();
        long call = 0;
        for (Disturbance disturbance : disturbances) {
            RouterComponents chosen =
                    fixture.runningComponents().get(simulation.random().nextInt(6));
            switch (disturbance) {
                case CHANGE -> put(chosen, ++call, presentRevision(chosen), Optional.of(PROFILE));
                case DELETE -> put(chosen, ++call, presentRevision(chosen), Optional.empty());
                case RACE -> {
                    RouterComponents other =
                            fixture.runningComponents().get(simulation.random().nextInt(6));
                    long expected = presentRevision(chosen);
                    put(chosen, ++call, expected, Optional.of(PROFILE));
                    put(other, ++call, expected, Optional.of(PROFILE));
                }
                case OUTAGE -> simulation.platform().setDown(true);
                case RECOVERY -> simulation.platform().setDown(false);
                case RESTART -> restart(simulation, fixture, chosen, revisions);
                case SPLIT ->
                    simulation.setReachability((from, to) -> from.region().equals(to.region()));
                case HEAL -> simulation.setReachability((from, to) -> true);
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
        for (RouterComponents parts : fixture.runningComponents()) {
            assertThat(parts.configuration().isReady()).isTrue();
            assertThat(presentRevision(parts)).isEqualTo(last);
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

    /** Checks that the accepted calls are as many as the versions that they claim, each under its own revision. */
    private static void assertEachAcceptedChangeWasWrittenOnce(
            ClusterSimulation simulation, MembershipFixture fixture) {
        Map<Long, Long> callOfRevision = new HashMap<>();
        for (var router : fixture.allRouters()) {
            for (ConfigurationAccepted accepted : router.commands(ConfigurationAccepted.class)) {
                Long other = callOfRevision.put(accepted.entry().revision(), accepted.call());
                assertWithMessage("call that won revision %s", accepted.entry().revision())
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

    /** Guards against two operators who both believe that their change won, also when answers are lost. */
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
                .mapToLong(parts ->
                        parts.router().commands(ConfigurationAccepted.class).size())
                .sum();
        List<Failed> failed = new ArrayList<>();
        fixture.runningComponents()
                .forEach(parts -> failed.addAll(parts.router().commands(Failed.class)));
        assertThat(accepted).isEqualTo(1);
        assertThat(failed).hasSize(1);
        assertThat(failed.getFirst().code()).isEqualTo(ErrorCode.VERSION_CONFLICT);
        long revision =
                simulation.platform().object("config/profile/x").orElseThrow().revision();
        assertThat(failed.getFirst().detail()).contains("has revision " + revision);
    }

    /** Guards against changes that take longer than 3 s to be in force everywhere while a path exists. */
    @Property(seed = "23", tries = 30)
    void acceptedChangeIsInForceEverywhereWithinThreeSeconds(
            @ForAll long seed, @ForAll boolean platformDiesAtOnce, @ForAll boolean peersSplit) {
        ClusterSimulation simulation = new ClusterSimulation(seed);
        MembershipFixture fixture = start(simulation, 60);
        if (peersSplit && !platformDiesAtOnce) {
            simulation.setReachability((from, to) -> from.region().equals(to.region()));
        } else {
            simulation.setNetworkFaults(0.2, 0.1, 60);
        }

        RouterComponents writer = fixture.components(simulation.random().nextInt(60));
        if (platformDiesAtOnce) {
            HostId host = writer.router().member().host();
            simulation.platform().setReachability(host::equals);
        }
        put(writer, 1, 0, Optional.of(PROFILE));
        long deadline = simulation.now() + 1_000;
        while (writer.router().commands(ConfigurationAccepted.class).isEmpty() && simulation.now() < deadline) {
            simulation.advance(1);
        }
        simulation.platform().setDown(platformDiesAtOnce);
        long revision = writer.router()
                .commands(ConfigurationAccepted.class)
                .getFirst()
                .entry()
                .revision();
        simulation.advance(3_000);

        for (RouterComponents parts : fixture.runningComponents()) {
            assertThat(presentRevision(parts)).isEqualTo(revision);
        }
    }

    /** Guards against a router that takes work before it knows the configuration that its peers have. */
    @Property(seed = "24", tries = 20)
    void startingRouterIsReadyOnlyWithThePeersRevisionAlsoDuringAnOutage(@ForAll long seed) {
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
        RouterComponents joined = fixture.start(7, 0);
        for (int step = 0; step < 200 && !joined.configuration().isReady(); step++) {
            simulation.advance(50);
        }

        assertThat(joined.configuration().isReady()).isTrue();
        assertThat(joined.configuration().entry("profile", "p1499")).isPresent();
        assertThat(joined.configuration().revision())
                .isEqualTo(fixture.components(0).configuration().revision());
    }

    /** Guards against references to entries that do not exist, which would take a service out of force. */
    @Property(seed = "25", tries = 1)
    void danglingReferencesAreRefusedBeforeTheWrite() {
        ClusterSimulation simulation = new ClusterSimulation(1);
        MembershipFixture fixture = start(simulation, 3);
        RouterComponents parts = fixture.components(0);
        String service = ConfigurationParserTest.SERVICE;

        parts.router().offer(new PutConfiguration(1, "service", "desk", 0, Optional.of(service), "o", "c1"));
        parts.router().offer(new PutConfiguration(2, "profile", "orders", 0, Optional.of(PROFILE), "o", "c2"));
        simulation.advance(1_000);
        parts.router().offer(new PutConfiguration(3, "service", "desk", 0, Optional.of(service), "o", "c3"));
        simulation.advance(1_000);
        long revision =
                parts.configuration().entry("profile", "orders").orElseThrow().revision();
        parts.router().offer(new PutConfiguration(4, "profile", "orders", revision, Optional.empty(), "o", "c4"));
        simulation.advance(1_000);

        List<Failed> failed = parts.router().commands(Failed.class);
        assertThat(failed.stream().map(OperatorCommand::call)).containsExactly(1L, 4L);
        assertThat(failed.getFirst().detail()).contains("there is no profile \"orders\"");
        assertThat(parts.configuration().service(new ServiceName("desk"))).isPresent();
    }

    private static MembershipFixture start(ClusterSimulation simulation, int count) {
        MembershipFixture fixture = new MembershipFixture(simulation);
        fixture.startAll(count);
        simulation.advance(10_000);
        return fixture;
    }

    private static long presentRevision(RouterComponents parts) {
        return parts.configuration()
                .entry("profile", "x")
                .map(ConfigurationEntry::revision)
                .orElse(0L);
    }

    private static void put(RouterComponents parts, long call, long expected, Optional<String> text) {
        parts.router().offer(new PutConfiguration(call, "profile", "x", expected, text, "operator", "change-" + call));
    }

    private static void assertMonotonic(MembershipFixture fixture, Map<String, Long> revisions) {
        for (RouterComponents parts : fixture.runningComponents()) {
            String host = parts.router().member().host().value();
            assertNotLower(revisions, host + "/entry", presentRevision(parts));
            assertNotLower(revisions, host + "/view", parts.configuration().revision());
        }
    }

    private static void assertNotLower(Map<String, Long> revisions, String key, long revision) {
        assertThat(revision).isAtLeast(revisions.getOrDefault(key, 0L));
        revisions.put(key, revision);
    }
}
