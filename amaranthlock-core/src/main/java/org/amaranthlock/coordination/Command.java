package org.amaranthlock.coordination;

import java.util.Objects;
import org.amaranthlock.model.HostId;
import org.amaranthlock.protocol.peer.PeerMessage;

/** What the decision core wants done. */
public sealed interface Command
        permits Command.Raise,
                Command.SendPeer,
                Command.RecordTimelineEvent,
                Command.Stop,
                RequestCommand,
                ObjectApiCommand,
                TargetCommand,
                OperatorCommand {
    /** Hands an event to the other parts of the core; never leaves it. */
    record Raise(Event event) implements Command {}

    /**
     * Sends a message to another router.
     *
     * @param to the receiver
     * @param address IP number and port of its peer transport
     * @param message the message
     */
    record SendPeer(HostId to, String address, PeerMessage message) implements Command {
        public SendPeer {
            Objects.requireNonNull(to, "to");
            Objects.requireNonNull(address, "address");
            Objects.requireNonNull(message, "message");
        }
    }

    /** Adds an entry to the time line of events. */
    record RecordTimelineEvent(String kind, String subject, String text) implements Command {}

    /** The graceful shutdown is complete; the process may end. */
    record Stop() implements Command {}
}
