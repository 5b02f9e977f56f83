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

/** Formats of lists, optional values and maps from text. */
final class CollectionFormats {
    private CollectionFormats() {}

    static WireFormat create(Class<?> raw, Type[] arguments, WireFormats formats) {
        WireFormat element = formats.of(arguments[arguments.length - 1]);
        if (raw == List.class) {
            return SimpleFormat.of((p, v) -> writeList(p, (List<?>) v, element), u -> readList(u, element));
        }
        if (raw == Optional.class) {
            return SimpleFormat.of((p, v) -> writeOptional(p, (Optional<?>) v, element), u -> readOptional(u, element));
        }
        if (raw == Map.class && arguments[0] == String.class) {
            return SimpleFormat.of((p, v) -> writeMap(p, (Map<?, ?>) v, element), u -> readMap(u, element));
        }
        throw new IllegalStateException("no format for " + raw);
    }

    private static void writeList(MessageBufferPacker packer, List<?> list, WireFormat element) throws IOException {
        packer.packArrayHeader(list.size());
        for (Object value : list) {
            element.write(packer, value);
        }
    }

    private static List<Object> readList(BoundedUnpacker unpacker, WireFormat element) throws IOException {
        int size = unpacker.arraySize();
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
        return unpacker.nil() ? Optional.empty() : Optional.of(element.read(unpacker));
    }

    /** Writes the entries in key order, so that equal maps have equal bytes. */
    private static void writeMap(MessageBufferPacker packer, Map<?, ?> map, WireFormat element) throws IOException {
        packer.packMapHeader(map.size());
        for (Map.Entry<Object, Object> entry : new TreeMap<Object, Object>(map).entrySet()) {
            packer.packString((String) entry.getKey());
            element.write(packer, entry.getValue());
        }
    }

    private static Map<String, Object> readMap(BoundedUnpacker unpacker, WireFormat element) throws IOException {
        int size = unpacker.mapSize();
        Map<String, Object> map = new HashMap<>();
        for (int index = 0; index < size; index++) {
            String key = unpacker.text();
            map.put(key, element.read(unpacker));
        }
        return map;
    }
}
