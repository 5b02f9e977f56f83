package org.amaranthlock.protocol;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

class PeerMessageCodecTest {
    private final PeerMessageCodec codec = new PeerMessageCodec();

    /** Guards against memory exhaustion by a short frame that declares a huge length. */
    @Test
    void excessiveLengthIsRejectedBeforeAllocation() throws Exception {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(6).packInt(0).packInt(PeerMessageCodec.VERSION);
            packer.packRawStringHeader(Integer.MAX_VALUE);
            byte[] bytes = packer.toByteArray();

            assertThrows(MalformedDataException.class, () -> codec.decode(bytes));
        }
    }

    /** Guards against a rolling upgrade in which a new message type closes the connection. */
    @Test
    void unknownTypeIsSkipped() throws Exception {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(7).packInt(999).packInt(1).packString("r2");
            packer.packLong(1).packLong(2).packString("new").packNil();

            assertThat(codec.decode(packer.toByteArray())).isEmpty();
        }
    }

    /** Guards against timestamps that order an effect before its cause. */
    @Test
    void clockMovesPastAnObservedTime() {
        HybridClock clock = new HybridClock(() -> 1_000);
        long ahead = 1_500L << HybridClock.COUNTER_BITS;
        clock.observe(ahead);
        assertThat(clock.next()).isGreaterThan(ahead);
        assertThat(clock.next()).isGreaterThan(ahead + 1);
    }
}
