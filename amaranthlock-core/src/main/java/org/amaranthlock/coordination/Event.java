package org.amaranthlock.coordination;

import java.util.Objects;
import org.amaranthlock.model.HostId;
import org.amaranthlock.protocol.peer.PeerMessage;

/** Input of the decision core: something that happened outside of it or in one of its components. */
public sealed interface Event
        permits Event.Tick,
                Event.PeerReceived,
                Event.PeerUnreachable,
                RequestEvent,
                ObjectApiEvent,
                TargetEvent,
                OperatorEvent {
    /** Timer event, sent every {@link NodeCore#TICK_MILLIS} milliseconds. */
    record Tick() implements Event {}

    /** A message from another router was received. */
    record PeerReceived(HostId from, PeerMessage message) implements Event {
        public PeerReceived {
            Objects.requireNonNull(from, "from");
            Objects.requireNonNull(message, "message");
        }
    }

    /** A message could not be sent because no connection to the router can be established. */
    record PeerUnreachable(HostId host) implements Event {}
}
