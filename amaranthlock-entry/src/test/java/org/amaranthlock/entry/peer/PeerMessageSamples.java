package org.amaranthlock.entry.peer;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import org.amaranthlock.coordination.brittle.BrittleReport;
import org.amaranthlock.coordination.forwarding.HostLoadReport;
import org.amaranthlock.coordination.forwarding.InFlightLoad;
import org.amaranthlock.coordination.forwarding.Rejection;
import org.amaranthlock.coordination.forwarding.TargetResponse;
import org.amaranthlock.coordination.forwarding.TargetStatements;
import org.amaranthlock.coordination.promptpart.PartEvidence;
import org.amaranthlock.coordination.promptpart.PromptPartReport;
import org.amaranthlock.coordination.targetlimit.KnownLimit;
import org.amaranthlock.coordination.targetlimit.LimitReport;
import org.amaranthlock.coordination.targetlimit.PermitDecision;
import org.amaranthlock.coordination.targetlimit.PermitRequest;
import org.amaranthlock.coordination.targetlimit.TargetIncarnation;
import org.amaranthlock.model.PromptPartId;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.TargetId;
import org.amaranthlock.platform.ClientRequest;
import org.amaranthlock.platform.ObjectVersion;
import org.amaranthlock.platform.StoreChange;
import org.amaranthlock.platform.StorePosition;
import org.amaranthlock.platform.StoredObject;

/** One message of each type that hosts exchanged at 5ad7ba2; each set and map has one entry, so that bytes repeat. */
final class PeerMessageSamples {
    private PeerMessageSamples() {}

    static Map<String, EntryPeerMessage> byName() {
        ServiceName desks = new ServiceName("desks");
        TargetId engine = new TargetId("e1");
        PromptPartId part = new PromptPartId("aa01");
        TargetIncarnation incarnation = new TargetIncarnation(engine, 7, "10.0.0.1:80");
        HostLoadReport report = new HostLoadReport(
                "entry-1",
                Map.of(engine, new InFlightLoad(1, 2, 3, 52_000)),
                Set.of(new TargetId("e3")),
                Map.of(-7L, 2),
                4,
                Set.of(desks),
                new BrittleReport(Map.of(engine, 5), Map.of(engine, 2)),
                new LimitReport(
                        List.of(new KnownLimit(incarnation, desks, OptionalDouble.of(1.4), 3)),
                        Map.of(desks, "entry-2")));
        StoredObject object =
                new StoredObject("e1", 12, JsonNodeFactory.instance.objectNode().put("state", "ready"));
        ClientRequest request = new ClientRequest(
                HttpMethod.POST, "/order/x?q=1", new DefaultHttpHeaders().add("X-Request-Id", "r1"), true, new byte[] {
                    1, 0, -1
                });
        TargetResponse response = new TargetResponse(
                200, List.of(Map.entry("X-Server-Stamp", "s")), true, false, TargetStatements.NONE, new byte[] {2, 3});
        PromptPartReport parts = new PromptPartReport(
                "entry-1",
                List.of(new PartEvidence(part, 2, Set.of(part), OptionalLong.of(40), OptionalLong.empty())),
                Set.of(part),
                Set.of());
        Map<String, EntryPeerMessage> samples = new LinkedHashMap<>();
        samples.put("load-report", new EntryPeerMessage.LoadReport(report));
        samples.put(
                "configuration-query",
                new EntryPeerMessage.ConfigurationQuery(1, new ObjectVersion(20, OptionalLong.empty())));
        samples.put("prompt-parts", new EntryPeerMessage.PromptParts(parts));
        samples.put("configuration-announced", new EntryPeerMessage.ConfigurationAnnounced(9));
        samples.put(
                "targets-query",
                new EntryPeerMessage.TargetsQuery(2, new StorePosition(StorePosition.UNKNOWN_ERA, 21)));
        samples.put("configuration-confirmed", new EntryPeerMessage.ConfigurationConfirmed(1, 340));
        samples.put(
                "targets-changed",
                new EntryPeerMessage.TargetsChanged(
                        2, new StorePosition(StorePosition.UNKNOWN_ERA, 22), List.of(new StoreChange(object, true))));
        samples.put(
                "permit-query",
                new EntryPeerMessage.PermitQuery(
                        4, new PermitRequest(desks, List.of(engine), PermitRequest.Priority.HIGH)));
        samples.put("permit-granted", new EntryPeerMessage.PermitDecided(4, new PermitDecision.Granted(engine)));
        samples.put("permit-denied", new EntryPeerMessage.PermitDecided(5, new PermitDecision.Denied(700)));
        samples.put("relay-request", new EntryPeerMessage.RelayRequest(1, 7, 2, request, Optional.empty()));
        samples.put("relay-cancel", new EntryPeerMessage.RelayCancel(1));
        samples.put("relay-answered", new EntryPeerMessage.RelayAnswered(1, response));
        samples.put(
                "relay-rejected", new EntryPeerMessage.RelayRejected(1, Rejection.retryLater(300, "no-path"), true));
        samples.put("relay-stream-opened", new EntryPeerMessage.RelayStreamOpened(1, response, Optional.empty()));
        samples.put("relay-events", new EntryPeerMessage.RelayEvents(1, new byte[] {4}));
        samples.put("relay-stream-ended", new EntryPeerMessage.RelayStreamEnded(1));
        samples.put("relay-aborted", new EntryPeerMessage.RelayAborted(1));
        samples.put("not-known", new EntryPeerMessage.NotKnown(3));
        return samples;
    }
}
