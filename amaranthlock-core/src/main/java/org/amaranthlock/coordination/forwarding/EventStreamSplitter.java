package org.amaranthlock.coordination.forwarding;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Splits the bytes of an event stream into whole events, so that a stream can resume after the last whole event.
 *
 * <p>Each byte is looked at once, and the bytes of one event are bounded, as are the events that bring nothing new. Not
 * thread-safe.
 */
public final class EventStreamSplitter {
    /** Longest event, in bytes; an event of a text stream has a few hundred. */
    public static final int MAX_EVENT_BYTES = 256 * 1024;

    /** Maximum number of events of a stream whose ids are not above the one before; each costs processor time. */
    static final int MAX_REPEATED_EVENTS = 64;

    private static final String ID_FIELD = "id:";
    private static final char COMMENT_START = ':';

    /** Bytes of the event that is not complete yet. */
    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();

    /** Whether the current line has a character other than its line break. */
    private boolean lineHasContent;

    /** Whether the current line is a comment, by which an engine shows that it lives. */
    private boolean lineIsComment;

    /** Whether the current event has a line with a field; blank lines and comments before it do not end it. */
    private boolean eventHasField;

    private long lastId = Long.MIN_VALUE;
    private int repeatedEvents;

    /**
     * Adds bytes and returns the events that they complete.
     *
     * @throws MalformedStreamException if an event has no numeric id or is too long, or if too many are repeated
     */
    public List<StreamEvent> add(byte[] bytes) {
        List<StreamEvent> events = new ArrayList<>();
        int start = 0;
        for (int i = 0; i < bytes.length; i++) {
            if (endsEvent(bytes[i])) {
                append(bytes, start, i + 1);
                start = i + 1;
                events.add(takeEvent());
            }
        }
        append(bytes, start, bytes.length);
        return events;
    }

    /** Returns whether all bytes added so far form whole events, except for blank lines and comments after them. */
    public boolean atBoundary() {
        return !eventHasField;
    }

    /** Returns the number of bytes of the event that is not complete yet. */
    public int pendingBytes() {
        return pending.size();
    }

    /** Records the next byte and returns whether it ends a blank line after a line with a field. */
    private boolean endsEvent(byte next) {
        if (next == '\n') {
            boolean blankLine = !lineHasContent;
            lineHasContent = false;
            lineIsComment = false;
            return blankLine && eventHasField;
        }
        if (next != '\r') {
            lineIsComment |= !lineHasContent && next == COMMENT_START;
            lineHasContent = true;
            eventHasField |= !lineIsComment;
        }
        return false;
    }

    private void append(byte[] bytes, int from, int to) {
        if (pending.size() + to - from > MAX_EVENT_BYTES) {
            throw new MalformedStreamException("event of more than " + MAX_EVENT_BYTES + " bytes");
        }
        pending.write(bytes, from, to - from);
    }

    private StreamEvent takeEvent() {
        byte[] event = pending.toByteArray();
        pending.reset();
        eventHasField = false;
        long id = id(event);
        recordId(id);
        return new StreamEvent(id, event);
    }

    private void recordId(long id) {
        if (id > lastId) {
            lastId = id;
            return;
        }
        repeatedEvents++;
        if (repeatedEvents > MAX_REPEATED_EVENTS) {
            throw new MalformedStreamException(
                    "more than " + MAX_REPEATED_EVENTS + " events that do not follow the one before");
        }
    }

    private static long id(byte[] event) {
        for (String line : new String(event, StandardCharsets.ISO_8859_1).split("\r?\n")) {
            if (line.startsWith(ID_FIELD)) {
                return parseId(line.substring(ID_FIELD.length()).trim());
            }
        }
        throw new MalformedStreamException(MalformedStreamException.NO_NUMBER);
    }

    private static long parseId(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new MalformedStreamException(MalformedStreamException.NO_NUMBER, e);
        }
    }
}
