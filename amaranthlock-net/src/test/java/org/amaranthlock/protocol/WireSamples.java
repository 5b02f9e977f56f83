package org.amaranthlock.protocol;

import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.TreeMap;

/**
 * Generates random records from their component types, and describes values so that they can be compared by content.
 */
final class WireSamples {
    private static final List<String> TEXTS = List.of("a", "acc/1", "déjà", "漢字", "\uD83D\uDE00", "x y", "00-q\n");

    private final Random random;

    WireSamples(long seed) {
        random = new Random(seed);
    }

    <T> T randomInstance(Class<T> type) {
        return type.cast(randomValue(type));
    }

    /** Describes a value including the elements of arrays, which {@code Record.toString} leaves out. */
    static String describe(Object value) {
        return switch (value) {
            case byte[] bytes -> Arrays.toString(bytes);
            case Optional<?> optional -> "?" + optional.map(WireSamples::describe);
            case List<?> list ->
                list.stream().map(WireSamples::describe).toList().toString();
            case Map<?, ?> map -> new TreeMap<>(map).toString();
            case Record data -> describeRecord(data);
            default -> value.toString();
        };
    }

    private static String describeRecord(Record instance) {
        StringBuilder text = new StringBuilder(instance.getClass().getSimpleName());
        for (RecordComponent component : instance.getClass().getRecordComponents()) {
            try {
                Object value = component.getAccessor().invoke(instance);
                text.append(' ').append(component.getName()).append('=').append(describe(value));
            } catch (ReflectiveOperationException e) {
                throw new IllegalStateException(e);
            }
        }
        return text.append(';').toString();
    }

    private Object randomValue(Type type) {
        if (type instanceof ParameterizedType generic) {
            return randomCollection((Class<?>) generic.getRawType(), generic.getActualTypeArguments());
        }
        Class<?> rawType = (Class<?>) type;
        if (rawType.isEnum()) {
            return rawType.getEnumConstants()[random.nextInt(rawType.getEnumConstants().length)];
        }
        if (rawType.isRecord()) {
            return randomRecord(rawType);
        }
        if (rawType.isInterface()) {
            Class<?>[] permitted = rawType.getPermittedSubclasses();
            return randomValue(permitted[random.nextInt(permitted.length)]);
        }
        return randomScalar(rawType);
    }

    /** Generates positive integers only, because many components must not be zero or negative. */
    private Object randomScalar(Class<?> rawType) {
        return switch (rawType.getSimpleName()) {
            case "String" -> TEXTS.get(random.nextInt(TEXTS.size()));
            case "int" -> 1 + random.nextInt(1 << random.nextInt(1, 31));
            case "long", "Long" -> 1 + (random.nextLong() >>> random.nextInt(2, 63));
            case "double" -> random.nextDouble();
            case "boolean" -> random.nextBoolean();
            case "byte[]" -> randomBytes();
            case "OptionalDouble" ->
                random.nextBoolean() ? OptionalDouble.empty() : OptionalDouble.of(random.nextDouble());
            default -> throw new IllegalStateException("no random value for type " + rawType);
        };
    }

    private byte[] randomBytes() {
        byte[] bytes = new byte[random.nextInt(300)];
        random.nextBytes(bytes);
        return bytes;
    }

    private Object randomCollection(Class<?> rawType, Type[] arguments) {
        if (rawType == Optional.class) {
            return random.nextBoolean() ? Optional.empty() : Optional.of(randomValue(arguments[0]));
        }
        if (rawType == Map.class) {
            return Map.of("accept", "a", "x-" + random.nextInt(9), "b");
        }
        List<Object> list = new ArrayList<>();
        for (int count = random.nextInt(4); count > 0; count--) {
            list.add(randomValue(arguments[0]));
        }
        return list;
    }

    private Object randomRecord(Class<?> rawType) {
        RecordComponent[] components = rawType.getRecordComponents();
        Object[] values = Arrays.stream(components)
                .map(component -> randomValue(component.getGenericType()))
                .toArray();
        // The attempt and the target of a checkpoint must both be present or both be empty.
        if (rawType.getSimpleName().equals("Checkpoint")
                && ((Optional<?>) values[2]).isPresent() != ((Optional<?>) values[3]).isPresent()) {
            values[2] = Optional.empty();
            values[3] = Optional.empty();
        }
        try {
            return rawType.getDeclaredConstructors()[0].newInstance(values);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(e);
        }
    }
}
