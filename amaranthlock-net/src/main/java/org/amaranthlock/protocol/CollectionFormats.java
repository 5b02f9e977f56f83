package org.amaranthlock.protocol;

import java.io.IOException;
import java.lang.reflect.Type;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.msgpack.core.MessageBufferPacker;

/** Creates the formats of lists, optional values and maps with string keys. */
final class CollectionFormats {
    private CollectionFormats() {}

    /** Creates the format of a collection, whose elements have the type of the last type argument. */
    static WireFormat create(Class<?> rawType, Type[] typeArguments, WireFormatRegistry registry) {
        WireFormat elementFormat = registry.formatOf(typeArguments[typeArguments.length - 1]);
        if (rawType == List.class) {
            return FunctionalFormat.of(
                    (p, v) -> writeList(p, (List<?>) v, elementFormat), u -> readList(u, elementFormat));
        }
        if (rawType == Optional.class) {
            return FunctionalFormat.of(
                    (p, v) -> writeOptional(p, (Optional<?>) v, elementFormat), u -> readOptional(u, elementFormat));
        }
        if (rawType == Map.class && typeArguments[0] == String.class) {
            return FunctionalFormat.of(
                    (p, v) -> writeMap(p, (Map<?, ?>) v, elementFormat), u -> readMap(u, elementFormat));
        }
        throw new IllegalStateException(
                "no wire format for " + rawType + "; supported are List, Optional and Map with String keys");
    }

    private static void writeList(MessageBufferPacker packer, List<?> list, WireFormat elementFormat)
            throws IOException {
        packer.packArrayHeader(list.size());
        for (Object value : list) {
            elementFormat.write(packer, value);
        }
    }

    private static List<Object> readList(BoundedUnpacker unpacker, WireFormat elementFormat) throws IOException {
        int size = unpacker.readArrayHeader();
        List<Object> list = new ArrayList<>();
        for (int index = 0; index < size; index++) {
            list.add(elementFormat.read(unpacker));
        }
        return list;
    }

    private static void writeOptional(MessageBufferPacker packer, Optional<?> value, WireFormat elementFormat)
            throws IOException {
        if (value.isPresent()) {
            elementFormat.write(packer, value.get());
        } else {
            packer.packNil();
        }
    }

    private static Optional<Object> readOptional(BoundedUnpacker unpacker, WireFormat elementFormat)
            throws IOException {
        return unpacker.tryReadNil() ? Optional.empty() : Optional.of(elementFormat.read(unpacker));
    }

    /** Writes the entries in key order, so that equal maps are encoded to equal bytes. */
    private static void writeMap(MessageBufferPacker packer, Map<?, ?> map, WireFormat elementFormat)
            throws IOException {
        packer.packMapHeader(map.size());
        for (Map.Entry<Object, Object> entry : new TreeMap<Object, Object>(map).entrySet()) {
            packer.packString((String) entry.getKey());
            elementFormat.write(packer, entry.getValue());
        }
    }

    private static Map<String, Object> readMap(BoundedUnpacker unpacker, WireFormat elementFormat) throws IOException {
        int size = unpacker.readMapHeader();
        Map<String, Object> map = new HashMap<>();
        for (int index = 0; index < size; index++) {
            String key = unpacker.readString();
            map.put(key, elementFormat.read(unpacker));
        }
        return map;
    }
}
