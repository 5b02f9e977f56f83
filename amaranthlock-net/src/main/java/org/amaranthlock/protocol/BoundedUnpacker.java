package org.amaranthlock.protocol;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** Reads MessagePack values and checks every length against the remaining bytes before memory is allocated. */
final class BoundedUnpacker {
    private final MessageUnpacker unpacker;
    private final long size;

    BoundedUnpacker(byte[] bytes) {
        this.unpacker = MessagePack.newDefaultUnpacker(bytes);
        this.size = bytes.length;
    }

    boolean atEnd() {
        return remaining() == 0;
    }

    int arraySize() throws IOException {
        return checked(unpacker.unpackArrayHeader());
    }

    int mapSize() throws IOException {
        return checked(unpacker.unpackMapHeader());
    }

    int intValue() throws IOException {
        return unpacker.unpackInt();
    }

    long longValue() throws IOException {
        return unpacker.unpackLong();
    }

    double doubleValue() throws IOException {
        return unpacker.unpackDouble();
    }

    boolean booleanValue() throws IOException {
        return unpacker.unpackBoolean();
    }

    boolean nil() throws IOException {
        return unpacker.tryUnpackNil();
    }

    byte[] binary() throws IOException {
        return unpacker.readPayload(checked(unpacker.unpackBinaryHeader()));
    }

    String text() throws IOException {
        byte[] bytes = unpacker.readPayload(checked(unpacker.unpackRawStringHeader()));
        return StandardCharsets.UTF_8
                .newDecoder()
                .decode(ByteBuffer.wrap(bytes))
                .toString();
    }

    private int checked(int length) {
        if (length < 0 || length > remaining()) {
            throw new MessagePackException("length " + length + " exceeds the remaining " + remaining() + " bytes");
        }
        return length;
    }

    private long remaining() {
        return size - unpacker.getTotalReadBytes();
    }
}
