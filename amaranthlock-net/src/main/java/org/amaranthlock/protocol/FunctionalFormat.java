package org.amaranthlock.protocol;

import java.io.IOException;
import org.msgpack.core.MessageBufferPacker;

/** {@link WireFormat} that delegates to a writer function and a reader function. */
record FunctionalFormat(Writer writer, Reader reader) implements WireFormat {
    /** Writes a value. */
    interface Writer {
        void write(MessageBufferPacker packer, Object value) throws IOException;
    }

    /** Reads a value. */
    interface Reader {
        Object read(BoundedUnpacker unpacker) throws IOException;
    }

    static WireFormat of(Writer writer, Reader reader) {
        return new FunctionalFormat(writer, reader);
    }

    @Override
    public void write(MessageBufferPacker packer, Object value) throws IOException {
        writer.write(packer, value);
    }

    @Override
    public Object read(BoundedUnpacker unpacker) throws IOException {
        return reader.read(unpacker);
    }
}
