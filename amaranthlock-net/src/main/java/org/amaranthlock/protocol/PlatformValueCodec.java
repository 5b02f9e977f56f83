package org.amaranthlock.protocol;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.amaranthlock.protocol.objectapi.PlatformValue;
import org.amaranthlock.protocol.objectapi.PlatformValue.ConfigurationEntry;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;

/**
 * Translates values of platform objects: configuration entries as JSON, all others as MessagePack.
 *
 * <p>The two formats are told apart by the first byte: a JSON object starts with a brace, a MessagePack value here with
 * an array header. Thread-safe.
 */
public final class PlatformValueCodec {
    private final WireFormat format;

    /** Creates a codec. */
    public PlatformValueCodec() {
        WireFormats formats = new WireFormats(Map.of(
                PlatformValue.class,
                        List.of(
                                PlatformValue.LedgerBatch.class,
                                PlatformValue.LedgerSnapshot.class,
                                PlatformValue.EngineLease.class),
                PlatformValue.LedgerEntry.class,
                        List.of(PlatformValue.ClaimEntry.class, PlatformValue.OutcomeEntry.class)));
        format = formats.of(PlatformValue.class);
    }

    /** Returns the bytes of a value. */
    public byte[] encode(PlatformValue value) {
        if (value instanceof ConfigurationEntry entry) {
            return ConfigurationEntryJson.write(entry);
        }
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            format.write(packer, value);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
    }

    /**
     * Reads a value.
     *
     * @throws MalformedDataException if the bytes are no value
     */
    public PlatformValue decode(byte[] bytes) {
        try {
            if (bytes.length > 0 && bytes[0] == '{') {
                return ConfigurationEntryJson.read(bytes);
            }
            BoundedUnpacker unpacker = new BoundedUnpacker(bytes);
            PlatformValue value = (PlatformValue) format.read(unpacker);
            if (!unpacker.atEnd()) {
                throw new MalformedDataException("a platform value has bytes after its end");
            }
            return value;
        } catch (IOException
                | MessagePackException
                | IllegalArgumentException
                | NullPointerException
                | IndexOutOfBoundsException e) {
            throw new MalformedDataException("not a platform value; check who wrote the object", e);
        }
    }
}
