package org.amaranthlock.entry.peer;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.amaranthlock.coordination.brittle.BrittleReport;
import org.amaranthlock.coordination.contention.Backlog;
import org.amaranthlock.coordination.contention.ServiceBacklog;
import org.amaranthlock.coordination.contention.WaitingWork;
import org.amaranthlock.coordination.estimate.TargetSpeed;
import org.amaranthlock.coordination.forwarding.HostLoadReport;
import org.amaranthlock.coordination.forwarding.InFlightLoad;
import org.amaranthlock.coordination.forwarding.Rejection;
import org.amaranthlock.coordination.forwarding.TargetResponse;
import org.amaranthlock.coordination.forwarding.TargetStatements;
import org.amaranthlock.coordination.loadreport.ReportVersion;
import org.amaranthlock.coordination.promptpart.PromptPartReport;
import org.amaranthlock.coordination.region.LinkRate;
import org.amaranthlock.coordination.region.RegionReport;
import org.amaranthlock.coordination.reservation.ReservationRequest;
import org.amaranthlock.coordination.rollout.DurationBuckets;
import org.amaranthlock.coordination.rollout.RolloutEvidence;
import org.amaranthlock.coordination.rollout.RolloutGrant;
import org.amaranthlock.coordination.rollout.RolloutOrder;
import org.amaranthlock.coordination.rollout.RolloutStep;
import org.amaranthlock.coordination.rollout.RouteOutcomes;
import org.amaranthlock.coordination.targetlimit.KnownLimit;
import org.amaranthlock.coordination.targetlimit.LimitReport;
import org.amaranthlock.coordination.targetlimit.PermitDecision;
import org.amaranthlock.coordination.targetlimit.PermitRequest;
import org.amaranthlock.coordination.targetlimit.TargetIncarnation;
import org.amaranthlock.model.AccountId;
import org.amaranthlock.model.Region;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.SoftwareVersion;
import org.amaranthlock.model.TargetId;
import org.amaranthlock.platform.ClientRequest;
import org.amaranthlock.platform.ObjectVersion;
import org.amaranthlock.platform.StoreChange;
import org.amaranthlock.platform.StorePosition;
import org.amaranthlock.platform.StoredObject;
import org.junit.jupiter.api.Test;

class EntryPeerMessageCodecTest {
    private static final SoftwareVersion V1 = new SoftwareVersion("v1");

    /** Message type that no build uses yet. */
    private static final byte FUTURE_TYPE = 99;

    @Test
    void decodesEncodedMessages() {
        HostLoadReport report = new HostLoadReport(
                "entry-1",
                Map.of(
                        new TargetId("e1"),
                        new InFlightLoad(1, 2, 3, 52_000),
                        new TargetId("e2"),
                        InFlightLoad.generating(6_000)),
                Set.of(new TargetId("e3")),
                Map.of(-7L, 2),
                4,
                Set.of(new ServiceName("engines")),
                new BrittleReport(Map.of(new TargetId("e6"), 5), Map.of(new TargetId("e6"), 2)),
                new LimitReport(
                        List.of(limit("e4", OptionalDouble.of(1.4)), limit("e5", OptionalDouble.empty())),
                        Map.of(new ServiceName("desks"), "entry-2")));
        StoredObject object =
                new StoredObject("e1", 12, JsonNodeFactory.instance.objectNode().put("state", "ready"));
        List<EntryPeerMessage> messages = List.of(
                new EntryPeerMessage.LoadReport(report),
                new EntryPeerMessage.ConfigurationQuery(1, new ObjectVersion(20, OptionalLong.empty())),
                new EntryPeerMessage.ConfigurationQuery(1, ObjectVersion.of(object)),
                new EntryPeerMessage.TargetsQuery(2, new StorePosition(3, 21)),
                new EntryPeerMessage.ConfigurationConfirmed(1, 340),
                new EntryPeerMessage.TargetsChanged(
                        2, new StorePosition(3, 22), List.of(new StoreChange(object, true))),
                new EntryPeerMessage.PermitQuery(
                        4,
                        new PermitRequest(
                                new ServiceName("desks"),
                                List.of(new TargetId("e4"), new TargetId("e5")),
                                PermitRequest.Priority.HIGH)),
                new EntryPeerMessage.PermitDecided(4, new PermitDecision.Granted(new TargetId("e4"))),
                new EntryPeerMessage.PermitDecided(5, new PermitDecision.Denied(700)),
                new EntryPeerMessage.NotKnown(3));
        for (EntryPeerMessage message : messages) {
            assertWithMessage("%s", message)
                    .that(EntryPeerMessageCodec.decode(EntryPeerMessageCodec.encode(message)))
                    .isEqualTo(message);
        }
    }

    // Guards against speeds that reach the hosts behind a relay as those of another host.
    @Test
    void speedsOfTargetsTravelWithTheirReports() {
        HostLoadReport first =
                HostLoadReport.empty("entry-1").withSpeeds(Map.of(new TargetId("e1"), new TargetSpeed(2.5, 6.5)));
        HostLoadReport second = HostLoadReport.empty("entry-2");
        List<EntryPeerMessage> messages = List.of(
                new EntryPeerMessage.LoadReport(first, 2, Optional.of(new ReportVersion(1, 2)), false),
                new EntryPeerMessage.ReportBundle(
                        List.of(
                                new EntryPeerMessage.AgedReport(second, new ReportVersion(1, 3), 40),
                                new EntryPeerMessage.AgedReport(first, new ReportVersion(1, 4), 50)),
                        true));
        for (EntryPeerMessage message : messages) {
            assertThat(EntryPeerMessageCodec.decode(EntryPeerMessageCodec.encode(message)))
                    .isEqualTo(message);
        }
    }

    // Guards against a host that drops the reports of the build before, which end before the speeds.
    @Test
    void reportsWithoutSpeedsAreDecoded() {
        EntryPeerMessage message = new EntryPeerMessage.ReportBundle(
                List.of(new EntryPeerMessage.AgedReport(HostLoadReport.empty("entry-1"), new ReportVersion(1, 3), 40)),
                false);
        byte[] encoded = EntryPeerMessageCodec.encode(message);
        byte[] before = Arrays.copyOf(encoded, encoded.length - 3); // without speeds, waiting work and regions
        assertThat(EntryPeerMessageCodec.decode(before)).isEqualTo(message);
    }

    // Guards against hosts that send a large configuration as long as the store does, over links of some megabits.
    @Test
    void fetchedConfigurationIsCompressed() {
        ObjectNode spec = JsonNodeFactory.instance.objectNode().put("version", 7);
        ArrayNode routes = spec.putArray("routes");
        RandomGenerator random = new SplittableRandom(1);
        for (int i = 0; i < 1_400; i++) {
            routes.addObject()
                    .put("name", "route-" + i)
                    .put("path", "/r/" + Long.toHexString(random.nextLong()))
                    .put("method", "POST")
                    .put("kind", "idempotent")
                    .put("attempts", 2)
                    .put("timeout_ms", 800)
                    .put("retry_on", "lost,refused,unavailable,full")
                    .put("priority", random.nextInt(3))
                    .put("service", "desk-" + random.nextInt(4));
        }
        StoredObject object = new StoredObject("main", 12, spec);
        EntryPeerMessage.ConfigurationFetched fetched = new EntryPeerMessage.ConfigurationFetched(3, object, -40);
        byte[] encoded = EntryPeerMessageCodec.encode(fetched);
        assertThat(EntryPeerMessageCodec.decode(encoded)).isEqualTo(fetched);
        assertThat(spec.toString().length()).isAtLeast(200_000);
        assertThat(encoded.length).isAtMost((int) (0.11 * spec.toString().length()));
        EntryPeerMessage.ConfigurationFetch fetch = new EntryPeerMessage.ConfigurationFetch(3, 7);
        assertThat(EntryPeerMessageCodec.decode(EntryPeerMessageCodec.encode(fetch)))
                .isEqualTo(fetch);
        assertThat(fetch.requiredLevel()).isEqualTo(MessageLevel.CONFIGURATION_FETCHES);
    }

    // Guards against hosts that share no bound for a link, because what each sends over it is lost on the way.
    @Test
    void trafficBetweenRegionsTravelsWithReports() {
        RegionReport region = new RegionReport(
                Optional.of(new Region("west")),
                Map.of(new Region("east"), new LinkRate(5_000, 40_000, 7)),
                Map.of(new ServiceName("desks"), 3.25));
        HostLoadReport first = HostLoadReport.empty("entry-1").withRegion(region);
        HostLoadReport second = HostLoadReport.empty("entry-2");
        List<EntryPeerMessage> messages = List.of(
                new EntryPeerMessage.LoadReport(first, 2, Optional.of(new ReportVersion(1, 2)), false),
                new EntryPeerMessage.ReportBundle(
                        List.of(
                                new EntryPeerMessage.AgedReport(second, new ReportVersion(1, 3), 40),
                                new EntryPeerMessage.AgedReport(first, new ReportVersion(1, 4), 50)),
                        true));
        for (EntryPeerMessage message : messages) {
            assertThat(EntryPeerMessageCodec.decode(EntryPeerMessageCodec.encode(message)))
                    .isEqualTo(message);
        }
    }

    // Guards against a report of the build before, which ends before the regions.
    @Test
    void reportsWithoutRegionsAreDecoded() {
        EntryPeerMessage message = new EntryPeerMessage.LoadReport(
                HostLoadReport.empty("entry-1"), 2, Optional.of(new ReportVersion(1, 2)), false);
        byte[] encoded = EntryPeerMessageCodec.encode(message);
        assertThat(EntryPeerMessageCodec.decode(Arrays.copyOf(encoded, encoded.length - 1)))
                .isEqualTo(message);
    }

    // Guards against a host that asks one of an earlier build, and against an answer that lost a part on its way.
    @Test
    void decodesMessagesOfStarts() {
        StoredObject object = new StoredObject(
                "main", 12, JsonNodeFactory.instance.objectNode().put("version", 3));
        EntryPeerMessage.KnownObjects known =
                new EntryPeerMessage.KnownObjects(List.of(object), new StorePosition(3, 14), -340);
        PromptPartReport report = new PromptPartReport("entry-1", List.of(), Set.of(), Set.of());
        EntryPeerMessage.StartQuery query = new EntryPeerMessage.StartQuery(1, true);
        assertThat(query.requiredLevel()).isEqualTo(MessageLevel.START_FROM_PEERS);
        List<EntryPeerMessage> messages = List.of(
                query,
                new EntryPeerMessage.StartState(1, Optional.of(known), Optional.of(known), Optional.of(report)),
                new EntryPeerMessage.StartState(2, Optional.empty(), Optional.empty(), Optional.empty()));
        for (EntryPeerMessage message : messages) {
            assertWithMessage("%s", message)
                    .that(EntryPeerMessageCodec.decode(EntryPeerMessageCodec.encode(message)))
                    .isEqualTo(message);
        }
    }

    @Test
    void decodesMessagesOfRelayedRequests() {
        ClientRequest request = new ClientRequest(
                HttpMethod.POST,
                "/order/x?q=1",
                new DefaultHttpHeaders().add("X-Request-Id", "r1").add("X-Request-Id", "r2"),
                true,
                new byte[] {1, 0, -1});
        TargetResponse response = new TargetResponse(
                200, List.of(Map.entry("X-Server-Stamp", "s")), true, false, TargetStatements.NONE, new byte[] {2, 3});
        List<EntryPeerMessage> messages = List.of(
                new EntryPeerMessage.RelayRequest(1, 7, 2, request, Optional.of(V1)),
                new EntryPeerMessage.RelayRequest(1, 7, 2, request, Optional.empty()),
                new EntryPeerMessage.RelayCancel(1),
                new EntryPeerMessage.RelayAnswered(1, response),
                new EntryPeerMessage.RelayRejected(1, Rejection.retryLater(300, "no-path"), true),
                new EntryPeerMessage.RelayRejected(1, Rejection.of(502, "closed"), false),
                new EntryPeerMessage.RelayStreamOpened(1, response, Optional.of(V1)),
                new EntryPeerMessage.RelayStreamOpened(1, response, Optional.of(SoftwareVersion.UNKNOWN)),
                new EntryPeerMessage.RelayEvents(1, new byte[] {4}),
                new EntryPeerMessage.RelayStreamEnded(1),
                new EntryPeerMessage.RelayAborted(1));
        for (EntryPeerMessage message : messages) {
            byte[] frame = EntryPeerMessageCodec.encode(message);
            EntryPeerMessage decoded = EntryPeerMessageCodec.decode(frame);
            assertWithMessage("%s", message).that(decoded.getClass()).isEqualTo(message.getClass());
            // Arrays in records are compared by identity, so the frames are compared.
            assertWithMessage("%s", message)
                    .that(EntryPeerMessageCodec.encode(decoded))
                    .isEqualTo(frame);
        }
    }

    // Guards against orders and grants that older hosts, which do not read them, would get.
    @Test
    void decodesMessagesOnRolloutsWhichNeedTheirLevel() {
        RolloutOrder order = new RolloutOrder(new ServiceName("desks"), V1, 12_000, "c/v1/12000");
        DurationBuckets durations = DurationBuckets.EMPTY.plus(80);
        List<EntryPeerMessage> messages = List.of(
                new EntryPeerMessage.RolloutGranted(
                        new RolloutGrant(order, "entry-1", 3, RolloutStep.QUARTER, 0.25, 0.5)),
                new EntryPeerMessage.RolloutSeen(new RolloutEvidence(
                        "entry-2",
                        -7,
                        order.service(),
                        order.id(),
                        RolloutStep.JUDGING,
                        List.of(new RouteOutcomes("place", true, 5, 4, 3, 1, durations)))),
                new EntryPeerMessage.RolloutOrdersTold(
                        "entry-1", 40, List.of(order), Map.of(order.id(), RolloutStep.COMPLETED)));
        for (EntryPeerMessage message : messages) {
            assertThat(EntryPeerMessageCodec.decode(EntryPeerMessageCodec.encode(message)))
                    .isEqualTo(message);
            assertThat(message.requiredLevel()).isEqualTo(MessageLevel.ROLLOUTS);
        }
    }

    // Guards against a host that asks one of an earlier build, and against frames that the next build reads otherwise.
    @Test
    void decodesMessagesOnReservations() {
        EntryPeerMessage.ReservationQuery query = new EntryPeerMessage.ReservationQuery(
                3,
                "entry-1",
                new ReservationRequest(1_040, List.of(new ReservationRequest.Candidate(new TargetId("e1"), 1_200))));
        assertThat(query.requiredLevel()).isEqualTo(MessageLevel.RESERVATIONS);
        Map<EntryPeerMessage, String> frames = Map.of(
                query,
                "072103a7656e7472792d31cd041091a26531cd04b0",
                new EntryPeerMessage.EngineReserved(3, new TargetId("e1")),
                "072203a26531");
        frames.forEach((message, frame) -> {
            assertThat(HexFormat.of().formatHex(EntryPeerMessageCodec.encode(message)))
                    .isEqualTo(frame);
            assertThat(EntryPeerMessageCodec.decode(HexFormat.of().parseHex(frame)))
                    .isEqualTo(message);
        });
    }

    // Guards against hosts that share room without knowing what waits at the others, and against a report of an earlier
    // build that cannot be read.
    @Test
    void decodesWaitingWorkAndReportsWithoutIt() {
        WaitingWork work = new WaitingWork(Map.of(
                new ServiceName("engines"),
                new ServiceBacklog(
                        List.of(new Backlog(1, new AccountId("a"), 3, 2_400, -70)), Map.of(new AccountId("a"), 900L))));
        HostLoadReport report = HostLoadReport.empty("entry-1").withWaiting(work);
        byte[] alone = EntryPeerMessageCodec.encode(new EntryPeerMessage.LoadReport(report));
        EntryPeerMessage.ReportBundle bundle = new EntryPeerMessage.ReportBundle(
                List.of(
                        new EntryPeerMessage.AgedReport(HostLoadReport.empty("entry-2"), new ReportVersion(1, 2), 30),
                        new EntryPeerMessage.AgedReport(report, new ReportVersion(1, 3), 40)),
                true);

        assertThat(EntryPeerMessageCodec.decode(alone)).isEqualTo(new EntryPeerMessage.LoadReport(report));
        assertThat(EntryPeerMessageCodec.decode(EntryPeerMessageCodec.encode(bundle)))
                .isEqualTo(bundle);
        byte[] none = EntryPeerMessageCodec.encode(new EntryPeerMessage.LoadReport(HostLoadReport.empty("entry-1")));
        byte[] earlier = Arrays.copyOf(none, none.length - 2); // two empty maps, which earlier builds do not write
        assertThat(EntryPeerMessageCodec.decode(earlier))
                .isEqualTo(new EntryPeerMessage.LoadReport(HostLoadReport.empty("entry-1")));
    }

    // Guards against a frame of another program whose decoding exception stops the control thread.
    @Property(tries = 500)
    void rejectsArbitraryFrameWithIllegalArgumentException(@ForAll byte[] frame) {
        try {
            EntryPeerMessageCodec.decode(frame);
        } catch (IllegalArgumentException e) {
            assertThat(e).hasMessageThat().isNotEmpty();
        }
    }

    // Guards against hosts that lose their connections while a fleet is upgraded to a build with other messages.
    @Test
    void messageOfNewerBuildIsUnsupported() {
        byte[] frame = {7, FUTURE_TYPE, 1, 2, 3};
        assertThat(EntryPeerMessageCodec.decode(frame)).isEqualTo(new EntryPeerMessage.Unsupported(FUTURE_TYPE));
    }

    // Guards against hosts that lose their connections while a fleet is upgraded to a build with another format.
    @Test
    void messageOfLaterFormatIsUnsupported() {
        byte[] frame = {8, 1, 2, 3};
        assertThat(EntryPeerMessageCodec.decode(frame)).isEqualTo(new EntryPeerMessage.Unsupported(1));
    }

    @Test
    void decodesFramesOfFirstBuild() throws IOException {
        Map<String, byte[]> frames = framesOfFirstBuild();
        PeerMessageSamples.byName().forEach((name, message) -> {
            EntryPeerMessage decoded = EntryPeerMessageCodec.decode(frames.get(name));
            if (decoded instanceof EntryPeerMessage.LoadReport report) {
                assertThat(report.messageLevel()).isEqualTo(MessageLevel.FIRST);
                decoded = new EntryPeerMessage.LoadReport(report.report());
            }
            // Arrays in records are compared by identity, so the frames are compared.
            assertWithMessage(name)
                    .that(EntryPeerMessageCodec.encode(decoded))
                    .isEqualTo(EntryPeerMessageCodec.encode(message));
        });
    }

    // Guards against hosts of the first build that cannot read what this one writes: they read the fields that they
    // know
    // and ignore what follows.
    @Test
    void framesBeginWithTheFieldsOfFirstBuild() throws IOException {
        Map<String, byte[]> frames = framesOfFirstBuild();
        PeerMessageSamples.byName().forEach((name, message) -> {
            byte[] first = frames.get(name);
            byte[] written = EntryPeerMessageCodec.encode(message);
            assertWithMessage(name).that(message.requiredLevel()).isEqualTo(MessageLevel.FIRST);
            assertWithMessage(name).that(Arrays.copyOf(written, first.length)).isEqualTo(first);
        });
    }

    // Guards against a stream that an older host, which ignores the version, continues at any version.
    @Test
    void relayOfBoundStreamNeedsHostThatReadsVersions() {
        ClientRequest request = new ClientRequest(HttpMethod.POST, "/x", new DefaultHttpHeaders(), false, new byte[0]);
        assertThat(new EntryPeerMessage.RelayRequest(1, 7, 2, request, Optional.of(V1)).requiredLevel())
                .isEqualTo(MessageLevel.STREAM_VERSIONS);
    }

    private static Map<String, byte[]> framesOfFirstBuild() throws IOException {
        Map<String, byte[]> frames = new LinkedHashMap<>();
        try (InputStream in = EntryPeerMessageCodecTest.class.getResourceAsStream("/peer-frames-5ad7ba2.txt")) {
            for (String line : new String(in.readAllBytes(), StandardCharsets.US_ASCII).split("\n")) {
                String[] nameAndFrame = line.split(" ");
                frames.put(nameAndFrame[0], HexFormat.of().parseHex(nameAndFrame[1]));
            }
        }
        assertThat(frames.keySet()).isEqualTo(PeerMessageSamples.byName().keySet());
        return frames;
    }

    @Test
    void rejectsFrameOfUnsupportedVersion() {
        assertThrows(IllegalArgumentException.class, () -> EntryPeerMessageCodec.decode(new byte[] {1, 6, 0}));
    }

    private static KnownLimit limit(String target, OptionalDouble requestsPerSecond) {
        TargetIncarnation incarnation = new TargetIncarnation(new TargetId(target), 7, "10.0.0.1:80");
        return new KnownLimit(incarnation, new ServiceName("desks"), requestsPerSecond, 3);
    }
}
