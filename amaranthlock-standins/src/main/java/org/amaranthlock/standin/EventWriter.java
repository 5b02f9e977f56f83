package org.amaranthlock.standin;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.buffer.api.BufferAllocator;
import io.servicetalk.http.api.HttpPayloadWriter;
import java.io.IOException;

/** Writes an answer of server-sent events. */
public final class EventWriter implements AutoCloseable {
    private final HttpPayloadWriter<Buffer> writer;
    private final BufferAllocator allocator;

    EventWriter(HttpPayloadWriter<Buffer> writer, BufferAllocator allocator) {
        this.writer = writer;
        this.allocator = allocator;
    }

    /** Writes an event with an id. */
    public void event(long id, Object data) throws IOException {
        raw("id: " + id + "\ndata: " + Json.text(data) + "\n\n");
    }

    /** Writes an event with a name. */
    public void named(String name, Object data) throws IOException {
        raw("event: " + name + "\ndata: " + Json.text(data) + "\n\n");
    }

    /** Writes a comment, which fails if the reader has left. */
    public void comment() throws IOException {
        raw(":\n\n");
    }

    /** Writes text as it is. */
    public void raw(String text) throws IOException {
        writer.write(allocator.fromUtf8(text));
        writer.flush();
    }

    @Override
    public void close() throws IOException {
        writer.close();
    }
}
