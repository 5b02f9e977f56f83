package org.amaranthlock.protocol;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;

/** Format of a sealed interface: an array of the record's number, from 0, and the record. */
final class VariantFormat implements WireFormat {
    private static final int ARRAY_SIZE = 2;

    private final Map<Class<?>, Integer> numbers = new HashMap<>();
    private final List<WireFormat> records = new ArrayList<>();

    VariantFormat(List<Class<?>> types, WireFormats formats) {
        for (Class<?> type : types) {
            numbers.put(type, records.size());
            records.add(formats.of(type));
        }
    }

    @Override
    public void write(MessageBufferPacker packer, Object value) throws IOException {
        int number = numbers.get(value.getClass());
        packer.packArrayHeader(ARRAY_SIZE);
        packer.packInt(number);
        records.get(number).write(packer, value);
    }

    @Override
    public Object read(BoundedUnpacker unpacker) throws IOException {
        int size = unpacker.arraySize();
        if (size != ARRAY_SIZE) {
            throw new MalformedDataException("a variant has " + ARRAY_SIZE + " elements, not " + size);
        }
        return records.get(unpacker.intValue()).read(unpacker);
    }
}
