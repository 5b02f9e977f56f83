package org.amaranthlock.transport.target;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.amaranthlock.protocol.MalformedDataException;

/**
 * Incremental parser that splits a byte stream into server-sent events.
 *
 * <p>Bytes are decoded a line at a time, so chunk boundaries may fall inside characters and lines. An event that is
 * incomplete at the end of the stream is dropped. Not thread-safe.
 */
final class ServerSentEventParser {
    /** Bounds the memory for one line and for the data of one event. */
    static final int MAX_EVENT_BYTES = 1 << 20;

    private final ByteArrayOutputStream lineBuffer = new ByteArrayOutputStream();
    private final StringBuilder data = new StringBuilder();
    private String type = "";
    private boolean hasData;

    /**
     * Server-sent event.
     *
     * @param type event type; {@code message} if the stream specifies none
     * @param data data lines, joined by line feeds
     */
    record ServerSentEvent(String type, String data) {}

    /**
     * Parses the next chunk.
     *
     * @return the events that the chunk completes, in order
     * @throws MalformedDataException if a line or an event is too long
     */
    List<ServerSentEvent> feed(byte[] chunk) {
        List<ServerSentEvent> events = new ArrayList<>();
        int start = 0;
        for (int index = 0; index < chunk.length; index++) {
            if (chunk[index] == '\n') {
                lineBuffer.write(chunk, start, index - start);
                start = index + 1;
                endLine(events);
            }
        }
        lineBuffer.write(chunk, start, chunk.length - start);
        requireWithinLimit(lineBuffer.size());
        return events;
    }

    private void endLine(List<ServerSentEvent> events) {
        requireWithinLimit(lineBuffer.size());
        String text = lineBuffer.toString(StandardCharsets.UTF_8);
        lineBuffer.reset();
        if (text.endsWith("\r")) {
            text = text.substring(0, text.length() - 1);
        }
        if (text.isEmpty()) {
            endEvent(events);
        } else {
            parseField(text);
        }
    }

    private void parseField(String text) {
        int colon = text.indexOf(':');
        String name = colon < 0 ? text : text.substring(0, colon);
        String value = colon < 0 ? "" : text.substring(colon + 1);
        if (value.startsWith(" ")) {
            value = value.substring(1);
        }
        if (name.equals("event")) {
            type = value;
        } else if (name.equals("data")) {
            appendData(value);
        }
    }

    private void appendData(String value) {
        requireWithinLimit(data.length() + value.length());
        if (hasData) {
            data.append('\n');
        }
        data.append(value);
        hasData = true;
    }

    private void endEvent(List<ServerSentEvent> events) {
        if (hasData) {
            events.add(new ServerSentEvent(type.isEmpty() ? "message" : type, data.toString()));
        }
        data.setLength(0);
        hasData = false;
        type = "";
    }

    private static void requireWithinLimit(int size) {
        if (size > MAX_EVENT_BYTES) {
            throw new MalformedDataException("a server-sent event exceeds " + MAX_EVENT_BYTES + " bytes");
        }
    }
}
