package org.amaranthlock.protocol;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.amaranthlock.protocol.objectapi.ObjectApiValue;
import org.amaranthlock.protocol.objectapi.ObjectApiValue.ConfigurationEntry;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;

/**
 * Encodes and decodes the values of platform objects: configuration entries as JSON, all others as MessagePack.
 *
 * <p>The first byte distinguishes the two formats: a JSON object starts with a brace, a MessagePack value of this codec
 * with an array header. Thread-safe.
 */
public final class ObjectApiValueCodec {
    private final WireFormat valueFormat;

    /** Creates a codec. */
    public ObjectApiValueCodec() {
        // The index in each list is the number in stored objects, so new records must be appended.
        WireFormatRegistry registry = new WireFormatRegistry(Map.of(
                ObjectApiValue.class,
                        List.of(
                                ObjectApiValue.LedgerBatch.class,
                                ObjectApiValue.LedgerSnapshot.class,
                                ObjectApiValue.EngineLease.class),
                ObjectApiValue.LedgerEntry.class,
                        List.of(ObjectApiValue.ClaimEntry.class, ObjectApiValue.OutcomeEntry.class)));
        valueFormat = registry.formatOf(ObjectApiValue.class);
    }

    /** Encodes a value. */
    public byte[] encode(ObjectApiValue value) {
        if (value instanceof ConfigurationEntry entry) {
            return ConfigurationEntryJson.write(entry);
        }
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            valueFormat.write(packer, value);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException(
                    "failed to encode a " + value.getClass().getSimpleName(), e);
        }
    }

    /**
     * Decodes a value.
     *
     * @throws MalformedDataException if the bytes are not an encoded value
     */
    public ObjectApiValue decode(byte[] bytes) {
        try {
            if (bytes.length > 0 && bytes[0] == '{') {
                return ConfigurationEntryJson.read(bytes);
            }
            BoundedUnpacker unpacker = new BoundedUnpacker(bytes);
            ObjectApiValue value = (ObjectApiValue) valueFormat.read(unpacker);
            if (!unpacker.atEnd()) {
                throw new MalformedDataException("platform value is followed by surplus bytes");
            }
            return value;
        } catch (IOException
                | MessagePackException
                | IllegalArgumentException
                | NullPointerException
                | IndexOutOfBoundsException e) {
            throw new MalformedDataException("not a platform value; check which process wrote the object", e);
        }
    }
}
