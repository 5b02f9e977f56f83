package org.amaranthlock.entry.front;

import java.util.Optional;
import java.util.function.Consumer;
import org.amaranthlock.coordination.forwarding.Rejection;
import org.amaranthlock.coordination.forwarding.TargetResponse;
import org.amaranthlock.model.SoftwareVersion;

/** Completely received request of a client, until its final response. */
public interface ClientExchange {
    /** Sets the action to run if the client disconnects before the final response. */
    void onDisconnect(Runnable action);

    /**
     * Sets the action to run with false when the client reads too slowly, and with true when it has caught up. An
     * exchange whose client is served by another host never calls it.
     */
    void onReadingChanged(Consumer<Boolean> action);

    /** Sends a target's completed response to the client. */
    void respond(TargetResponse response);

    /** Sends an error response that this system generates. */
    void reject(Rejection rejection);

    /**
     * Sends the head of an event stream to the client.
     *
     * @param version version of the software that began the stream; empty if it is not known
     */
    void openStream(TargetResponse head, Optional<SoftwareVersion> version);

    /** Sends complete events to the client. */
    void writeEvents(byte[] events);

    /** Ends an event stream that is complete. */
    void endStream();

    /** Ends the exchange without a response, so that the client recognizes it as incomplete. */
    void abort();
}
