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

/** Answer that is read while it arrives, as server-sent events or as a whole; used by one thread. */
public final class StreamingResponse implements AutoCloseable {
    /** Time for each part of an answer that is read as a whole, in milliseconds. */
    private static final long READ_TIMEOUT_MILLIS = 10_000;

    private final BlockingStreamingHttpResponse response;
    private final BlockingIterator<Buffer> buffers;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private byte[] received = new byte[0];
    private int position;

    /**
     * A server-sent event.
     *
     * @param id its id, empty if it has none
     * @param name its name, empty if it has none
     * @param data its data
     */
    public record ServerSentEvent(String id, String name, String data) {}

    StreamingResponse(BlockingStreamingHttpResponse response) {
        this.response = response;
        this.buffers = response.payloadBody().iterator();
    }

    /** Returns the HTTP status. */
    public int status() {
        return response.status().code();
    }

    /** Returns the headers of the answer. */
    public StreamingHttpClient.Headers headers() {
        return name -> {
            CharSequence value = response.headers().get(name);
            return value == null ? null : value.toString();
        };
    }

    /** Reads the whole body. */
    public byte[] readAll() throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        while (receiveBuffer(READ_TIMEOUT_MILLIS)) {
            bytes.writeBytes(received);
        }
        return bytes.toByteArray();
    }

    /**
     * Returns the next event; empty at the regular end of the answer.
     *
     * @param idleMillis longest time without any data, in milliseconds
     * @throws IOException if the connection was lost or was silent for too long
     */
    public Optional<ServerSentEvent> nextEvent(long idleMillis) throws IOException {
        String id = "";
        String name = "";
        StringBuilder data = new StringBuilder();
        Optional<String> text = readLine(idleMillis);
        while (text.isPresent()) {
            String field = text.get();
            if (field.isEmpty() && (!data.isEmpty() || !name.isEmpty())) {
                return Optional.of(new ServerSentEvent(id, name, data.toString()));
            }
            if (field.startsWith("id:")) {
                id = fieldValue(field);
            } else if (field.startsWith("event:")) {
                name = fieldValue(field);
            } else if (field.startsWith("data:")) {
                data.append(data.isEmpty() ? "" : "\n").append(fieldValue(field));
            }
            text = readLine(idleMillis);
        }
        return Optional.empty();
    }

    /** Ends reading; closes the connection if the answer is not complete. */
    @Override
    public void close() {
        try {
            buffers.close();
        } catch (Exception e) {
            throw new IllegalStateException("The answer could not be closed.", e);
        }
    }

    private Optional<String> readLine(long idleMillis) throws IOException {
        line.reset();
        while (true) {
            while (position < received.length) {
                byte next = received[position++];
                if (next == '\n') {
                    return Optional.of(line.toString(StandardCharsets.UTF_8).stripTrailing());
                }
                line.write(next);
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
            throw new IOException("no data for " + timeoutMillis + " ms", e);
        } catch (RuntimeException e) {
            throw new IOException("connection lost: " + e, e);
        }
    }

    private static String fieldValue(String field) {
        String value = field.substring(field.indexOf(':') + 1);
        return value.startsWith(" ") ? value.substring(1) : value;
    }
}
