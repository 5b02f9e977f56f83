package org.amaranthlock.protocol;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.amaranthlock.model.HostId;
import org.amaranthlock.protocol.objectapi.ObjectApiValue;
import org.amaranthlock.protocol.peer.PeerMessage;

class CodecProperties {
    private final PeerMessageCodec peerCodec = new PeerMessageCodec();
    private final ObjectApiValueCodec valueCodec = new ObjectApiValueCodec();

    /** Guards against a field that is lost or swapped in the encoding of a peer message. */
    @Property(seed = "2", tries = 300)
    void everyPeerMessageRoundTrips(@ForAll long seed) {
        WireSamples samples = new WireSamples(seed);
        for (Class<?> type : PeerMessage.class.getPermittedSubclasses()) {
            PeerFrame frame = new PeerFrame(new HostId("r1"), 7, seed, (PeerMessage) samples.randomInstance(type));
            Optional<PeerFrame> decoded = peerCodec.decode(peerCodec.encode(frame));
            assertThat(decoded.map(WireSamples::describe)).isEqualTo(Optional.of(WireSamples.describe(frame)));
        }
    }

    /** Guards against ledger and configuration objects that are altered by the encoding when they are stored. */
    @Property(seed = "3", tries = 500)
    void everyPlatformValueRoundTrips(@ForAll long seed) {
        WireSamples samples = new WireSamples(seed);
        for (Class<?> type : ObjectApiValue.class.getPermittedSubclasses()) {
            ObjectApiValue value = (ObjectApiValue) samples.randomInstance(type);
            assertThat(WireSamples.describe(valueCodec.decode(valueCodec.encode(value))))
                    .isEqualTo(WireSamples.describe(value));
        }
    }

    /**
     * Guards against an unexpected exception that ends the network thread when a peer or an object holds random bytes.
     */
    @Property(seed = "4", tries = 5_000)
    void randomBytesThrowOnlyMalformedDataException(@ForAll @Size(max = 200) byte[] bytes) {
        decodeWithBothCodecs(bytes);
    }

    /** Guards against truncated data that is accepted, and truncated or corrupted data that ends the network thread. */
    @Property(seed = "5", tries = 300)
    void corruptedBytesThrowOnlyMalformedDataException(@ForAll long seed, @ForAll int position, @ForAll byte damage) {
        WireSamples samples = new WireSamples(seed);
        byte[] frame =
                peerCodec.encode(new PeerFrame(new HostId("r1"), 7, 9, samples.randomInstance(PeerMessage.class)));
        byte[] value = valueCodec.encode(samples.randomInstance(ObjectApiValue.class));
        for (byte[] bytes : new byte[][] {frame, value}) {
            int index = Math.floorMod(position, bytes.length);
            byte[] truncated = Arrays.copyOf(bytes, index);
            assertThrows(MalformedDataException.class, () -> peerCodec.decode(truncated));
            assertThrows(MalformedDataException.class, () -> valueCodec.decode(truncated));
            byte[] corrupted = bytes.clone();
            corrupted[index] = damage;
            decodeWithBothCodecs(corrupted);
        }
    }

    private void decodeWithBothCodecs(byte[] bytes) {
        try {
            peerCodec.decode(bytes);
        } catch (MalformedDataException e) {
            assertWithMessage("message").that(e.getMessage()).isNotEmpty();
        }
        try {
            valueCodec.decode(bytes);
        } catch (MalformedDataException e) {
            assertWithMessage("message").that(e.getMessage()).isNotEmpty();
        }
    }
}
