package org.amaranthlock.standin;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.buffer.api.BufferAllocator;
import io.servicetalk.http.api.HttpPayloadWriter;
import java.io.IOException;

/** Writes an answer of server-sent events. */
public final class ServerSentEventWriter implements AutoCloseable {
    private final HttpPayloadWriter<Buffer> writer;
    private final BufferAllocator allocator;

    ServerSentEventWriter(HttpPayloadWriter<Buffer> writer, BufferAllocator allocator) {
        this.writer = writer;
        this.allocator = allocator;
    }

    /** Writes an event with an id. */
    public void writeEvent(long id, Object data) throws IOException {
        writeText("id: " + id + "\ndata: " + Json.toJson(data) + "\n\n");
    }

    /** Writes an event with a name. */
    public void writeNamedEvent(String name, Object data) throws IOException {
        writeText("event: " + name + "\ndata: " + Json.toJson(data) + "\n\n");
    }

    /** Writes a comment, which fails if the reader has left. */
    public void writeComment() throws IOException {
        writeText(":\n\n");
    }

    /** Writes text as it is. */
    public void writeText(String text) throws IOException {
        writer.write(allocator.fromUtf8(text));
        writer.flush();
    }

    @Override
    public void close() throws IOException {
        writer.close();
    }
}
