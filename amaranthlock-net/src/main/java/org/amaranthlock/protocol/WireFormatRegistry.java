package org.amaranthlock.protocol;

import java.io.IOException;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.Type;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import org.msgpack.core.MessageBufferPacker;

/**
 * Derives wire formats from the component types of records.
 *
 * <p>A record with one component is encoded as that component, any other record as an array of its components in
 * declaration order. A value of a sealed interface is encoded as an array of its index in the registered list and its
 * record, an enum constant as its ordinal, and an absent optional value as nil. Record components and enum constants
 * therefore must not be reordered. Each format is built once; writing and reading look up no members by reflection. Not
 * thread-safe, but the formats are.
 */
final class WireFormatRegistry {
    private static final WireFormat STRING =
            FunctionalFormat.of((p, v) -> p.packString((String) v), BoundedUnpacker::readString);
    private static final WireFormat INT = FunctionalFormat.of((p, v) -> p.packInt((int) v), BoundedUnpacker::readInt);
    private static final WireFormat LONG =
            FunctionalFormat.of((p, v) -> p.packLong((long) v), BoundedUnpacker::readLong);
    private static final WireFormat DOUBLE =
            FunctionalFormat.of((p, v) -> p.packDouble((double) v), BoundedUnpacker::readDouble);
    private static final WireFormat BOOLEAN =
            FunctionalFormat.of((p, v) -> p.packBoolean((boolean) v), BoundedUnpacker::readBoolean);
    private static final WireFormat BINARY =
            FunctionalFormat.of((p, v) -> writeBinary(p, (byte[]) v), BoundedUnpacker::readBinary);
    private static final WireFormat OPTIONAL_DOUBLE = FunctionalFormat.of(
            (p, v) -> writeOptionalDouble(p, (OptionalDouble) v), WireFormatRegistry::readOptionalDouble);

    private final Map<Class<?>, List<Class<?>>> recordsByInterface;
    private final Map<Type, WireFormat> formatsByType = new HashMap<>(Map.of(
            String.class, STRING,
            int.class, INT,
            Integer.class, INT,
            long.class, LONG,
            Long.class, LONG,
            double.class, DOUBLE,
            boolean.class, BOOLEAN,
            byte[].class, BINARY,
            OptionalDouble.class, OPTIONAL_DOUBLE));

    /**
     * Creates a registry.
     *
     * @param recordsByInterface the records of each sealed interface; the index of a record in its list is its number
     *     on the wire, so new records must be appended
     */
    WireFormatRegistry(Map<Class<?>, List<Class<?>>> recordsByInterface) {
        this.recordsByInterface = Map.copyOf(recordsByInterface);
    }

    /** Returns the format of a type, and creates it on the first call. */
    WireFormat formatOf(Type type) {
        WireFormat format = formatsByType.get(type);
        if (format == null) {
            format = createFormat(type);
            formatsByType.put(type, format);
        }
        return format;
    }

    private WireFormat createFormat(Type type) {
        if (type instanceof ParameterizedType generic) {
            return CollectionFormats.create((Class<?>) generic.getRawType(), generic.getActualTypeArguments(), this);
        }
        Class<?> rawType = (Class<?>) type;
        if (rawType.isEnum()) {
            return enumFormat(rawType.getEnumConstants());
        }
        if (rawType.isRecord()) {
            return new RecordFormat(rawType, this);
        }
        List<Class<?>> records = recordsByInterface.get(rawType);
        if (records == null) {
            throw new IllegalStateException("no wire format for " + type + "; register its records");
        }
        return new SealedInterfaceFormat(records, this);
    }

    private static WireFormat enumFormat(Object[] constants) {
        return FunctionalFormat.of((p, v) -> p.packInt(((Enum<?>) v).ordinal()), u -> constants[u.readInt()]);
    }

    private static void writeBinary(MessageBufferPacker packer, byte[] bytes) throws IOException {
        packer.packBinaryHeader(bytes.length);
        packer.writePayload(bytes);
    }

    private static void writeOptionalDouble(MessageBufferPacker packer, OptionalDouble value) throws IOException {
        if (value.isPresent()) {
            packer.packDouble(value.getAsDouble());
        } else {
            packer.packNil();
        }
    }

    private static OptionalDouble readOptionalDouble(BoundedUnpacker unpacker) throws IOException {
        return unpacker.tryReadNil() ? OptionalDouble.empty() : OptionalDouble.of(unpacker.readDouble());
    }
}
