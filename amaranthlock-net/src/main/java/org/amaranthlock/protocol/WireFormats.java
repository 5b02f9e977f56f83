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
 * Derives formats from the component types of records.
 *
 * <p>A record with one component is written as that component, any other record as an array of its components in their
 * declared order. A value of a sealed interface is an array of its number in the registered list and its record. An
 * absent optional value is nil. The formats are built once; writing and reading do no reflective look-ups.
 */
final class WireFormats {
    private static final WireFormat TEXT = SimpleFormat.of((p, v) -> p.packString((String) v), BoundedUnpacker::text);
    private static final WireFormat INT = SimpleFormat.of((p, v) -> p.packInt((int) v), BoundedUnpacker::intValue);
    private static final WireFormat LONG = SimpleFormat.of((p, v) -> p.packLong((long) v), BoundedUnpacker::longValue);
    private static final WireFormat DOUBLE =
            SimpleFormat.of((p, v) -> p.packDouble((double) v), BoundedUnpacker::doubleValue);
    private static final WireFormat BOOLEAN =
            SimpleFormat.of((p, v) -> p.packBoolean((boolean) v), BoundedUnpacker::booleanValue);
    private static final WireFormat BINARY =
            SimpleFormat.of((p, v) -> writeBinary(p, (byte[]) v), BoundedUnpacker::binary);
    private static final WireFormat OPTIONAL_DOUBLE =
            SimpleFormat.of((p, v) -> writeOptionalDouble(p, (OptionalDouble) v), WireFormats::readOptionalDouble);

    private final Map<Class<?>, List<Class<?>>> variants;
    private final Map<Type, WireFormat> known = new HashMap<>(Map.of(
            String.class, TEXT,
            int.class, INT,
            Integer.class, INT,
            long.class, LONG,
            Long.class, LONG,
            double.class, DOUBLE,
            boolean.class, BOOLEAN,
            byte[].class, BINARY,
            OptionalDouble.class, OPTIONAL_DOUBLE));

    /**
     * Creates formats.
     *
     * @param variants the records of each sealed interface; the number of a record is its place in the list, so new
     *     records are added at the end
     */
    WireFormats(Map<Class<?>, List<Class<?>>> variants) {
        this.variants = Map.copyOf(variants);
    }

    /** Returns the format of a type. */
    WireFormat of(Type type) {
        WireFormat format = known.get(type);
        if (format == null) {
            format = create(type);
            known.put(type, format);
        }
        return format;
    }

    private WireFormat create(Type type) {
        if (type instanceof ParameterizedType generic) {
            return CollectionFormats.create((Class<?>) generic.getRawType(), generic.getActualTypeArguments(), this);
        }
        Class<?> raw = (Class<?>) type;
        if (raw.isEnum()) {
            return enumeration(raw.getEnumConstants());
        }
        if (raw.isRecord()) {
            return new RecordFormat(raw, this);
        }
        List<Class<?>> records = variants.get(raw);
        if (records == null) {
            throw new IllegalStateException("no format for " + type + "; register its records");
        }
        return new VariantFormat(records, this);
    }

    private static WireFormat enumeration(Object[] constants) {
        return SimpleFormat.of((p, v) -> p.packInt(((Enum<?>) v).ordinal()), u -> constants[u.intValue()]);
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
        return unpacker.nil() ? OptionalDouble.empty() : OptionalDouble.of(unpacker.doubleValue());
    }
}
