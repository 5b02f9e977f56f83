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

class PeerMessageCodecTest {
    @Test
    void readsWhatItWrote() {
        HostLoadReport news = new HostLoadReport(
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
        List<PeerMessage> messages = List.of(
                new PeerMessage.News(news),
                new PeerMessage.ConfigurationQuestion(1, 20),
                new PeerMessage.TargetsQuestion(2, 21),
                new PeerMessage.ConfigurationConfirmed(1, 340),
                new PeerMessage.TargetsChanged(2, 22, List.of(new StoreChange(object, true))),
                new PeerMessage.NotKnown(3));
        for (PeerMessage message : messages) {
            assertWithMessage("%s", message)
                    .that(PeerMessageCodec.decode(PeerMessageCodec.encode(message)))
                    .isEqualTo(message);
        }
    }

    // Guards against a frame of another program that stops the control thread.
    @Property(tries = 500)
    void anyOtherFrameIsRefusedWithOneKindOfError(@ForAll byte[] frame) {
        try {
            PeerMessageCodec.decode(frame);
        } catch (IllegalArgumentException e) {
            assertThat(e).hasMessageThat().isNotEmpty();
        }
    }

    @Test
    void aFrameOfAnotherVersionIsRefused() {
        assertThrows(IllegalArgumentException.class, () -> PeerMessageCodec.decode(new byte[] {1, 6, 0}));
    }
}
