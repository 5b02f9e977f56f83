package org.amaranthlock.standin;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.buffer.api.BufferAllocator;
import io.servicetalk.http.api.HttpPayloadWriter;
import java.io.IOException;

/** Writes server-sent events to a streaming HTTP response. */
public final class ServerSentEventWriter implements AutoCloseable {
    private final HttpPayloadWriter<Buffer> writer;
    private final BufferAllocator allocator;

    ServerSentEventWriter(HttpPayloadWriter<Buffer> writer, BufferAllocator allocator) {
        this.writer = writer;
        this.allocator = allocator;
    }

    /** Writes an event with the given id. */
    public void writeEvent(long id, Object data) throws IOException {
        writeText("id: " + id + "\ndata: " + Json.toJson(data) + "\n\n");
    }

    /** Writes an event with the given name. */
    public void writeNamedEvent(String name, Object data) throws IOException {
        writeText("event: " + name + "\ndata: " + Json.toJson(data) + "\n\n");
    }

    /** Writes an empty comment, which fails if the client has disconnected. */
    public void writeComment() throws IOException {
        writeText(":\n\n");
    }

    /** Writes the given text unchanged and flushes it. */
    public void writeText(String text) throws IOException {
        writer.write(allocator.fromUtf8(text));
        writer.flush();
    }

    @Override
    public void close() throws IOException {
        writer.close();
    }
}
