package org.amaranthlock.coordination.forwarding;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class EventStreamSplitterTest {
    private final EventStreamSplitter splitter = new EventStreamSplitter();

    @Test
    void returnsEventsWithBothKindsOfLineBreaks() {
        List<StreamEvent> events = splitter.add(bytes("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n"));
        assertThat(events.stream().map(StreamEvent::id)).containsExactly(1L, 2L).inOrder();
        assertThat(splitter.atBoundary()).isTrue();
    }

    @Test
    void blankLinesBeforeAnEventBelongToIt() {
        List<StreamEvent> events = splitter.add(bytes("\n\nid: 1\n\n"));
        assertThat(events).hasSize(1);
        assertThat(new String(events.getFirst().bytes(), StandardCharsets.US_ASCII))
                .isEqualTo("\n\nid: 1\n\n");
    }

    // Guards against events that are lost or changed because of where the network splits their bytes.
    @Property(tries = 200)
    void eventsDoNotDependOnHowTheirBytesArrive(@ForAll @IntRange(min = 1, max = 30) int pieceLength) {
        String text = "id: 1\ndata: a\n\n: comment\nid: 2\r\ndata: b\r\n\r\nid: 3\n\n";
        EventStreamSplitter pieces = new EventStreamSplitter();
        List<StreamEvent> events = new ArrayList<>();
        for (int from = 0; from < text.length(); from += pieceLength) {
            events.addAll(pieces.add(bytes(text.substring(from, Math.min(text.length(), from + pieceLength)))));
        }
        StringBuilder joined = new StringBuilder();
        events.forEach(event -> joined.append(new String(event.bytes(), StandardCharsets.US_ASCII)));
        assertThat(joined.toString()).isEqualTo(text);
        assertThat(events.stream().map(StreamEvent::id))
                .containsExactly(1L, 2L, 3L)
                .inOrder();
    }

    @Test
    void rejectsEventWithoutNumber() {
        MalformedStreamException thrown =
                assertThrows(MalformedStreamException.class, () -> splitter.add(bytes("data: a\n\n")));
        assertThat(thrown.reason()).isEqualTo("event without a number");
    }

    // Guards against an engine that repeats its events without end; a few repetitions are left out by the receiver.
    @Test
    void rejectsManyEventsThatFollowNoEarlierOne() {
        splitter.add(bytes("id: 7\n\n"));
        assertThat(splitter.add(bytes("id: 7\n\nid: 3\n\nid: 8\n\n"))).hasSize(3);
        byte[] repeated = bytes("id: 8\n\n".repeat(EventStreamSplitter.MAX_REPEATED_EVENTS));
        MalformedStreamException thrown = assertThrows(MalformedStreamException.class, () -> splitter.add(repeated));
        assertThat(thrown.reason()).isEqualTo("more than 64 events that do not follow the one before");
    }

    // Guards against a sound stream that is cut because its engine shows with comments that it lives.
    @Test
    void commentsAreNoEventsAndGoAlongWithTheNextOne() {
        assertThat(splitter.add(bytes(": still here\n\n"))).isEmpty();
        assertThat(splitter.add(bytes(":\r\n\r\n"))).isEmpty();
        List<StreamEvent> events = splitter.add(bytes("id: 1\ndata: a\n\n"));
        assertThat(new String(events.getFirst().bytes(), StandardCharsets.US_ASCII))
                .isEqualTo(": still here\n\n:\r\n\r\nid: 1\ndata: a\n\n");
    }

    @Test
    void streamMayEndAfterAComment() {
        splitter.add(bytes("id: 1\n\n: done\n\n"));
        assertThat(splitter.atBoundary()).isTrue();
        splitter.add(bytes(": and\nid: 2"));
        assertThat(splitter.atBoundary()).isFalse();
    }

    // Guards against an event that fills the memory of a host.
    @Test
    void rejectsEventThatNeverEnds() {
        byte[] lines = bytes("data: a\n".repeat(1_000));
        int added = 0;
        while (added <= EventStreamSplitter.MAX_EVENT_BYTES - lines.length) {
            splitter.add(lines);
            added += lines.length;
        }
        assertThat(splitter.pendingBytes()).isEqualTo(added);
        assertThrows(MalformedStreamException.class, () -> splitter.add(lines));
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }
}
