package org.amaranthlock.entry.peer;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.amaranthlock.coordination.forwarding.HostLoadReport;
import org.amaranthlock.coordination.forwarding.InFlightLoad;
import org.amaranthlock.model.TargetId;
import org.amaranthlock.platform.StoreChange;
import org.amaranthlock.platform.StoredObject;
import org.junit.jupiter.api.Test;

class EntryPeerMessageCodecTest {
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
                4);
        StoredObject object =
                new StoredObject("e1", 12, JsonNodeFactory.instance.objectNode().put("state", "ready"));
        List<EntryPeerMessage> messages = List.of(
                new EntryPeerMessage.LoadReport(report),
                new EntryPeerMessage.ConfigurationQuery(1, 20),
                new EntryPeerMessage.TargetsQuery(2, 21),
                new EntryPeerMessage.ConfigurationConfirmed(1, 340),
                new EntryPeerMessage.TargetsChanged(2, 22, List.of(new StoreChange(object, true))),
                new EntryPeerMessage.NotKnown(3));
        for (EntryPeerMessage message : messages) {
            assertWithMessage("%s", message)
                    .that(EntryPeerMessageCodec.decode(EntryPeerMessageCodec.encode(message)))
                    .isEqualTo(message);
        }
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

    @Test
    void rejectsFrameOfUnsupportedVersion() {
        assertThrows(IllegalArgumentException.class, () -> EntryPeerMessageCodec.decode(new byte[] {1, 6, 0}));
    }
}
