package org.amaranthlock.standin;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.BlockingIterator;
import io.servicetalk.http.api.BlockingStreamingHttpResponse;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** HTTP response that is read as it arrives, as server-sent events or as a whole body. Not thread-safe. */
public final class StreamingResponse implements AutoCloseable {
    /** Maximum time to wait for each buffer of a body that is read as a whole, in milliseconds. */
    private static final long READ_TIMEOUT_MILLIS = 10_000;

    private final BlockingStreamingHttpResponse response;
    private final BlockingIterator<Buffer> buffers;
    private final ByteArrayOutputStream lineBuffer = new ByteArrayOutputStream();
    private byte[] received = new byte[0];
    private int position;

    /**
     * Server-sent event.
     *
     * @param id the event id, or an empty string if there is none
     * @param name the event name, or an empty string if there is none
     * @param data the data lines, joined by line feeds
     */
    public record ServerSentEvent(String id, String name, String data) {}

    StreamingResponse(BlockingStreamingHttpResponse response) {
        this.response = response;
        this.buffers = response.payloadBody().iterator();
    }

    /** Returns the HTTP status code. */
    public int status() {
        return response.status().code();
    }

    /** Returns the response headers. */
    public StreamingHttpClient.Headers headers() {
        return name -> {
            CharSequence value = response.headers().get(name);
            return value == null ? null : value.toString();
        };
    }

    /** Reads the body to its end. */
    public byte[] readAll() throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        while (receiveBuffer(READ_TIMEOUT_MILLIS)) {
            bytes.writeBytes(received);
        }
        return bytes.toByteArray();
    }

    /**
     * Returns the next event, or empty at the regular end of the response.
     *
     * @param idleMillis the longest time to wait for further data, in milliseconds
     * @throws IOException if the connection was lost or no data arrived within {@code idleMillis}
     */
    public Optional<ServerSentEvent> nextEvent(long idleMillis) throws IOException {
        String id = "";
        String name = "";
        StringBuilder data = new StringBuilder();
        Optional<String> line = readLine(idleMillis);
        while (line.isPresent()) {
            String fieldLine = line.get();
            if (fieldLine.isEmpty() && (!data.isEmpty() || !name.isEmpty())) {
                return Optional.of(new ServerSentEvent(id, name, data.toString()));
            }
            if (fieldLine.startsWith("id:")) {
                id = fieldValue(fieldLine);
            } else if (fieldLine.startsWith("event:")) {
                name = fieldValue(fieldLine);
            } else if (fieldLine.startsWith("data:")) {
                data.append(data.isEmpty() ? "" : "\n").append(fieldValue(fieldLine));
            }
            line = readLine(idleMillis);
        }
        return Optional.empty();
    }

    /** Stops reading, and closes the connection if the response has not been read to its end. */
    @Override
    public void close() {
        try {
            buffers.close();
        } catch (Exception e) {
            throw new IllegalStateException("Closing the HTTP response failed.", e);
        }
    }

    private Optional<String> readLine(long idleMillis) throws IOException {
        lineBuffer.reset();
        while (true) {
            while (position < received.length) {
                byte next = received[position++];
                if (next == '\n') {
                    return Optional.of(
                            lineBuffer.toString(StandardCharsets.UTF_8).stripTrailing());
                }
                lineBuffer.write(next);
            }
            if (!receiveBuffer(idleMillis)) {
                return Optional.empty();
            }
        }
    }

    private boolean receiveBuffer(long timeoutMillis) throws IOException {
        position = 0;
        try {
            if (!buffers.hasNext(timeoutMillis, TimeUnit.MILLISECONDS)) {
                received = new byte[0];
                return false;
            }
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            StreamingHttpClient.append(buffers.next(), bytes);
            received = bytes.toByteArray();
            return true;
        } catch (TimeoutException e) {
            throw new IOException("no data received for " + timeoutMillis + " ms", e);
        } catch (RuntimeException e) {
            throw new IOException("connection lost: " + e, e);
        }
    }

    private static String fieldValue(String fieldLine) {
        String value = fieldLine.substring(fieldLine.indexOf(':') + 1);
        return value.startsWith(" ") ? value.substring(1) : value;
    }
}
