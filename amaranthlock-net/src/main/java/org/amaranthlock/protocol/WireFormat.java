package org.amaranthlock.protocol;

import java.io.IOException;
import org.msgpack.core.MessageBufferPacker;

/** Writes and reads one type of value as MessagePack. */
interface WireFormat {
    /** Writes a value of the type. */
    void write(MessageBufferPacker packer, Object value) throws IOException;

    /**
     * Reads a value of the type.
     *
     * <p>Malformed input may also cause a {@link MalformedDataException} or an unchecked exception of the MessagePack
     * library, and an unknown enum ordinal or record number an {@link IndexOutOfBoundsException}.
     */
    Object read(BoundedUnpacker unpacker) throws IOException;
}
