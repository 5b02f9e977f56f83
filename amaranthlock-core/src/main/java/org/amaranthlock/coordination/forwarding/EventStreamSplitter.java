package org.amaranthlock.coordination.forwarding;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Splits the bytes of an event stream into whole events, so that a stream can resume after the last whole event.
 *
 * <p>Not thread-safe.
 */
public final class EventStreamSplitter {
    private static final String ID_FIELD = "id:";

    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();

    /**
     * Adds bytes and returns the events that they complete.
     *
     * @throws NumberFormatException if an event has no numeric id
     */
    public List<StreamEvent> add(byte[] bytes) {
        List<StreamEvent> events = new ArrayList<>();
        for (byte next : bytes) {
            pending.write(next);
            if (next == '\n' && endsWithBlankLine()) {
                byte[] event = pending.toByteArray();
                pending.reset();
                events.add(new StreamEvent(id(event), event));
            }
        }
        return events;
    }

    /** Returns whether all bytes added so far form whole events. */
    public boolean atBoundary() {
        return pending.size() == 0;
    }

    private boolean endsWithBlankLine() {
        byte[] bytes = pending.toByteArray();
        int end = bytes.length;
        if (end >= 2 && bytes[end - 2] == '\n') {
            return true;
        }
        return end >= 4 && bytes[end - 2] == '\r' && bytes[end - 3] == '\n' && bytes[end - 4] == '\r';
    }

    private static long id(byte[] event) {
        for (String line : new String(event, StandardCharsets.ISO_8859_1).split("\r?\n")) {
            if (line.startsWith(ID_FIELD)) {
                return Long.parseLong(line.substring(ID_FIELD.length()).trim());
            }
        }
        throw new NumberFormatException("event has no \"id\" field; a stream cannot resume after it");
    }
}
