package org.amaranthlock.entry.peer;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;
import org.amaranthlock.platform.StoredObject;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** Codec for the object of the configuration, compressed: routes repeat each other, and hosts have thin links. */
final class ConfigurationFetchCodec {
    /** Longest object before compression, in bytes; the store accepts no more than a third of it. */
    private static final int MAX_OBJECT_BYTES = 3 << 20;

    private ConfigurationFetchCodec() {}

    static void pack(MessageBufferPacker packer, EntryPeerMessage.ConfigurationFetched fetched) throws IOException {
        packer.packLong(fetched.readAfterMillis());
        byte[] compressed = compress(fetched.object());
        packer.packBinaryHeader(compressed.length);
        packer.writePayload(compressed);
    }

    static EntryPeerMessage.ConfigurationFetched unpack(MessageUnpacker unpacker) throws IOException {
        long id = unpacker.unpackLong();
        long readAfterMillis = unpacker.unpackLong();
        byte[] compressed = unpacker.readPayload(unpacker.unpackBinaryHeader());
        return new EntryPeerMessage.ConfigurationFetched(id, decompress(compressed), readAfterMillis);
    }

    private static byte[] compress(StoredObject object) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try (MessageBufferPacker objectPacker = MessagePack.newDefaultBufferPacker();
                DeflaterOutputStream out = new DeflaterOutputStream(bytes, deflater)) {
            EntryPeerMessageCodec.packObject(objectPacker, object);
            out.write(objectPacker.toByteArray());
        } finally {
            deflater.end();
        }
        return bytes.toByteArray();
    }

    private static StoredObject decompress(byte[] compressed) throws IOException {
        byte[] bytes;
        try (InflaterInputStream in = new InflaterInputStream(new ByteArrayInputStream(compressed))) {
            bytes = in.readNBytes(MAX_OBJECT_BYTES + 1);
        }
        if (bytes.length > MAX_OBJECT_BYTES) {
            throw new IllegalArgumentException("configuration of more than " + MAX_OBJECT_BYTES + " bytes");
        }
        try (MessageUnpacker objectUnpacker = MessagePack.newDefaultUnpacker(bytes)) {
            return EntryPeerMessageCodec.unpackObject(objectUnpacker);
        }
    }
}
