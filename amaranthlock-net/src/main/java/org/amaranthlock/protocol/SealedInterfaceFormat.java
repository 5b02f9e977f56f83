package org.amaranthlock.protocol;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;

/** Encodes a record of a sealed interface as an array of the record type's number, counted from 0, and the record. */
final class SealedInterfaceFormat implements WireFormat {
    private static final int ARRAY_SIZE = 2;

    private final Map<Class<?>, Integer> recordNumbers = new HashMap<>();
    private final List<WireFormat> recordFormats = new ArrayList<>();

    SealedInterfaceFormat(List<Class<?>> recordClasses, WireFormatRegistry registry) {
        for (Class<?> recordClass : recordClasses) {
            recordNumbers.put(recordClass, recordFormats.size());
            recordFormats.add(registry.formatOf(recordClass));
        }
    }

    @Override
    public void write(MessageBufferPacker packer, Object value) throws IOException {
        int number = recordNumbers.get(value.getClass());
        packer.packArrayHeader(ARRAY_SIZE);
        packer.packInt(number);
        recordFormats.get(number).write(packer, value);
    }

    @Override
    public Object read(BoundedUnpacker unpacker) throws IOException {
        int size = unpacker.readArrayHeader();
        if (size != ARRAY_SIZE) {
            throw new MalformedDataException(
                    "a value of a sealed interface must have " + ARRAY_SIZE + " elements, got " + size);
        }
        return recordFormats.get(unpacker.readInt()).read(unpacker);
    }
}
