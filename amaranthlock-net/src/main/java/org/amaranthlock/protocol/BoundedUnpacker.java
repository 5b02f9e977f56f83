package org.amaranthlock.protocol;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Reads MessagePack values.
 *
 * <p>Checks every length against the remaining bytes before it allocates memory, so that a short message that declares
 * a huge length can't exhaust the heap.
 */
final class BoundedUnpacker {
    private final MessageUnpacker unpacker;
    private final long sizeBytes;

    BoundedUnpacker(byte[] bytes) {
        this.unpacker = MessagePack.newDefaultUnpacker(bytes);
        this.sizeBytes = bytes.length;
    }

    boolean atEnd() {
        return remainingBytes() == 0;
    }

    int readArrayHeader() throws IOException {
        return requireAvailable(unpacker.unpackArrayHeader());
    }

    int readMapHeader() throws IOException {
        return requireAvailable(unpacker.unpackMapHeader());
    }

    int readInt() throws IOException {
        return unpacker.unpackInt();
    }

    long readLong() throws IOException {
        return unpacker.unpackLong();
    }

    double readDouble() throws IOException {
        return unpacker.unpackDouble();
    }

    boolean readBoolean() throws IOException {
        return unpacker.unpackBoolean();
    }

    boolean tryReadNil() throws IOException {
        return unpacker.tryUnpackNil();
    }

    byte[] readBinary() throws IOException {
        return unpacker.readPayload(requireAvailable(unpacker.unpackBinaryHeader()));
    }

    /** Reads a string; unlike the library, it rejects malformed UTF-8 instead of replacing it. */
    String readString() throws IOException {
        byte[] bytes = unpacker.readPayload(requireAvailable(unpacker.unpackRawStringHeader()));
        return StandardCharsets.UTF_8
                .newDecoder()
                .decode(ByteBuffer.wrap(bytes))
                .toString();
    }

    /** Checks a length in bytes or a number of elements, each of which takes at least one byte. */
    private int requireAvailable(int length) {
        if (length < 0 || length > remainingBytes()) {
            throw new MessagePackException(
                    "declared length " + length + " exceeds the remaining " + remainingBytes() + " bytes");
        }
        return length;
    }

    private long remainingBytes() {
        return sizeBytes - unpacker.getTotalReadBytes();
    }
}
