package org.amaranthlock.protocol;

import java.io.IOException;
import java.lang.reflect.Constructor;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.RecordComponent;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;

/** Format of a record: its only component, or an array of its components. */
final class RecordFormat implements WireFormat {
    private final Class<?> type;
    private final Constructor<?> constructor;
    private final List<Method> accessors = new ArrayList<>();
    private final List<WireFormat> components = new ArrayList<>();

    RecordFormat(Class<?> type, WireFormats formats) {
        this.type = type;
        List<Class<?>> parameters = new ArrayList<>();
        for (RecordComponent component : type.getRecordComponents()) {
            parameters.add(component.getType());
            components.add(formats.of(component.getGenericType()));
            accessors.add(component.getAccessor());
        }
        try {
            constructor = type.getConstructor(parameters.toArray(new Class<?>[0]));
        } catch (NoSuchMethodException e) {
            throw new IllegalStateException("record " + type + " must be public", e);
        }
    }

    @Override
    public void write(MessageBufferPacker packer, Object value) throws IOException {
        if (components.size() != 1) {
            packer.packArrayHeader(components.size());
        }
        for (int index = 0; index < components.size(); index++) {
            components.get(index).write(packer, component(index, value));
        }
    }

    @Override
    public Object read(BoundedUnpacker unpacker) throws IOException {
        if (components.size() != 1) {
            requireSize(unpacker.arraySize());
        }
        Object[] values = new Object[components.size()];
        for (int index = 0; index < values.length; index++) {
            values[index] = components.get(index).read(unpacker);
        }
        return construct(values);
    }

    private void requireSize(int size) {
        if (size != components.size()) {
            throw new MalformedDataException(
                    type.getSimpleName() + " has " + components.size() + " components, not " + size);
        }
    }

    private Object component(int index, Object value) {
        try {
            return accessors.get(index).invoke(value);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(e);
        }
    }

    private Object construct(Object[] values) {
        try {
            return constructor.newInstance(values);
        } catch (InvocationTargetException e) {
            throw new MalformedDataException(type.getSimpleName() + " has an invalid component", e.getCause());
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(e);
        }
    }
}
