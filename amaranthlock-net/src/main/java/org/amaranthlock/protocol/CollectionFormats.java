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

    static WireFormat create(Class<?> rawType, Type[] arguments, WireFormatRegistry registry) {
        WireFormat element = registry.formatOf(arguments[arguments.length - 1]);
        if (rawType == List.class) {
            return FunctionalFormat.of((p, v) -> writeList(p, (List<?>) v, element), u -> readList(u, element));
        }
        if (rawType == Optional.class) {
            return FunctionalFormat.of(
                    (p, v) -> writeOptional(p, (Optional<?>) v, element), u -> readOptional(u, element));
        }
        if (rawType == Map.class && arguments[0] == String.class) {
            return FunctionalFormat.of((p, v) -> writeMap(p, (Map<?, ?>) v, element), u -> readMap(u, element));
        }
        throw new IllegalStateException(
                "no wire format for " + rawType + "; supported are List, Optional and Map with String keys");
    }

    private static void writeList(MessageBufferPacker packer, List<?> list, WireFormat element) throws IOException {
        packer.packArrayHeader(list.size());
        for (Object value : list) {
            element.write(packer, value);
        }
    }

    private static List<Object> readList(BoundedUnpacker unpacker, WireFormat element) throws IOException {
        int size = unpacker.readArrayHeader();
        List<Object> list = new ArrayList<>();
        for (int index = 0; index < size; index++) {
            list.add(element.read(unpacker));
        }
        return list;
    }

    private static void writeOptional(MessageBufferPacker packer, Optional<?> value, WireFormat element)
            throws IOException {
        if (value.isPresent()) {
            element.write(packer, value.get());
        } else {
            packer.packNil();
        }
    }

    private static Optional<Object> readOptional(BoundedUnpacker unpacker, WireFormat element) throws IOException {
        return unpacker.tryReadNil() ? Optional.empty() : Optional.of(element.read(unpacker));
    }

    /** Writes the entries in key order, so that equal maps are encoded to equal bytes. */
    private static void writeMap(MessageBufferPacker packer, Map<?, ?> map, WireFormat element) throws IOException {
        packer.packMapHeader(map.size());
        for (Map.Entry<Object, Object> entry : new TreeMap<Object, Object>(map).entrySet()) {
            packer.packString((String) entry.getKey());
            element.write(packer, entry.getValue());
        }
    }

    private static Map<String, Object> readMap(BoundedUnpacker unpacker, WireFormat element) throws IOException {
        int size = unpacker.readMapHeader();
        Map<String, Object> map = new HashMap<>();
        for (int index = 0; index < size; index++) {
            String key = unpacker.readString();
            map.put(key, element.read(unpacker));
        }
        return map;
    }
}
