package org.amaranthlock.coordination;

import java.util.Objects;
import org.amaranthlock.model.HostId;
import org.amaranthlock.protocol.peer.PeerMessage;

/** Command that the decision core returns for the surrounding process to execute. */
public sealed interface Command
        permits Command.Raise,
                Command.SendPeer,
                Command.RecordTimelineEvent,
                Command.Stop,
                RequestCommand,
                ObjectApiCommand,
                TargetCommand,
                OperatorCommand {
    /** Passes an event to all components of the core; never leaves the core. */
    record Raise(Event event) implements Command {}

    /**
     * Sends a message to another router.
     *
     * @param to the receiving router
     * @param address IP address and port of its peer transport
     * @param message the message
     */
    record SendPeer(HostId to, String address, PeerMessage message) implements Command {
        public SendPeer {
            Objects.requireNonNull(to, "to");
            Objects.requireNonNull(address, "address");
            Objects.requireNonNull(message, "message");
        }
    }

    /** Adds an event to the timeline that operators read. */
    record RecordTimelineEvent(String kind, String subject, String text) implements Command {}

    /** Ends the process after a completed graceful shutdown. */
    record Stop() implements Command {}
}
