package org.amaranthlock.protocol;

import java.io.IOException;
import java.lang.reflect.Constructor;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.RecordComponent;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;

/** Encodes a record as an array of its components, or as the component itself if it has only one. */
final class RecordFormat implements WireFormat {
    private final Class<?> type;
    private final Constructor<?> constructor;
    private final List<Method> accessors = new ArrayList<>();
    private final List<WireFormat> componentFormats = new ArrayList<>();

    RecordFormat(Class<?> type, WireFormatRegistry registry) {
        this.type = type;
        List<Class<?>> parameters = new ArrayList<>();
        for (RecordComponent component : type.getRecordComponents()) {
            parameters.add(component.getType());
            componentFormats.add(registry.formatOf(component.getGenericType()));
            accessors.add(component.getAccessor());
        }
        try {
            constructor = type.getConstructor(parameters.toArray(new Class<?>[0]));
        } catch (NoSuchMethodException e) {
            throw new IllegalStateException(
                    "record " + type.getName() + " must be public with a public canonical constructor", e);
        }
    }

    @Override
    public void write(MessageBufferPacker packer, Object value) throws IOException {
        if (componentFormats.size() != 1) {
            packer.packArrayHeader(componentFormats.size());
        }
        for (int index = 0; index < componentFormats.size(); index++) {
            componentFormats.get(index).write(packer, componentValue(index, value));
        }
    }

    @Override
    public Object read(BoundedUnpacker unpacker) throws IOException {
        if (componentFormats.size() != 1) {
            requireSize(unpacker.readArrayHeader());
        }
        Object[] values = new Object[componentFormats.size()];
        for (int index = 0; index < values.length; index++) {
            values[index] = componentFormats.get(index).read(unpacker);
        }
        return construct(values);
    }

    private void requireSize(int size) {
        if (size != componentFormats.size()) {
            throw new MalformedDataException(
                    type.getSimpleName() + " must have " + componentFormats.size() + " components, got " + size);
        }
    }

    private Object componentValue(int index, Object value) {
        try {
            return accessors.get(index).invoke(value);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("failed to read component " + index + " of record " + type.getName(), e);
        }
    }

    private Object construct(Object[] values) {
        try {
            return constructor.newInstance(values);
        } catch (InvocationTargetException e) {
            throw new MalformedDataException(type.getSimpleName() + " has an invalid component value", e.getCause());
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("failed to create record " + type.getName(), e);
        }
    }
}
