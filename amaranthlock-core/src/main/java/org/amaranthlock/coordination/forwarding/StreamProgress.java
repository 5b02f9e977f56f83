package org.amaranthlock.coordination.forwarding;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import org.amaranthlock.model.SoftwareVersion;

/**
 * Event stream to one client, which gets each event once and in order, whatever attempt it comes from. Not thread-safe.
 */
public final class StreamProgress {
    private final ForwardingPort port;
    private TargetResponse head;
    private Optional<SoftwareVersion> version = Optional.empty();
    private boolean opened;
    private long lastEventId;

    /** Creates a stream that goes on after {@code lastEventId}; -1 if the client has no events yet. */
    StreamProgress(ForwardingPort port, long lastEventId) {
        this.port = Objects.requireNonNull(port, "port");
        this.lastEventId = lastEventId;
    }

    /** Returns whether the client has received the head of the stream. */
    boolean opened() {
        return opened;
    }

    /** Returns whether the client has received events, also from another host. */
    boolean begun() {
        return lastEventId >= 0;
    }

    /** Returns the id of the last event sent to the client; -1 for none. */
    long lastEventId() {
        return lastEventId;
    }

    /** Returns the id of the last event; empty for none. */
    Optional<Long> lastEvent() {
        return lastEventId < 0 ? Optional.empty() : Optional.of(lastEventId);
    }

    /** Returns the status that the client receives. */
    int status() {
        return head.status();
    }

    /**
     * Sets the head of the stream; the client gets the one of the first target that sends events.
     *
     * @param offeredVersion version of that target; empty if it is not told
     */
    void offerHead(TargetResponse offered, Optional<SoftwareVersion> offeredVersion) {
        if (!opened) {
            head = offered;
            version = offeredVersion;
        }
    }

    /** Returns the version of the target whose head was taken; empty if it is not told. */
    Optional<SoftwareVersion> version() {
        return version;
    }

    /**
     * Sends those events to the client that it does not have yet, up to the first gap.
     *
     * @return the id of the first event after a gap; empty if no event is missing
     */
    OptionalLong forward(List<StreamEvent> events) {
        ByteArrayOutputStream newEvents = new ByteArrayOutputStream();
        OptionalLong afterGap = OptionalLong.empty();
        for (StreamEvent event : events) {
            if (lastEventId >= 0 && event.id() <= lastEventId) {
                continue;
            }
            if (lastEventId >= 0 && event.id() > lastEventId + 1) {
                // The client would take the response for complete.
                afterGap = OptionalLong.of(event.id());
                break;
            }
            lastEventId = event.id();
            newEvents.writeBytes(event.bytes());
        }
        if (newEvents.size() > 0) {
            open();
            port.writeEvents(newEvents.toByteArray());
        }
        return afterGap;
    }

    /** Ends the stream as complete. */
    void end() {
        open();
        port.endStream();
    }

    private void open() {
        if (!opened) {
            opened = true;
            port.openStream(head, version);
        }
    }
}
