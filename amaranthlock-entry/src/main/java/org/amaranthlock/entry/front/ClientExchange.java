package org.amaranthlock.entry.front;

import java.util.Objects;
import org.amaranthlock.coordination.forwarding.Rejection;
import org.amaranthlock.coordination.forwarding.TargetResponse;

/** Completely received request on a client connection, until its final response. */
public final class ClientExchange {
    private final ClientConnectionHandler connection;
    private final String requestId;
    private final boolean headOnly;
    private Runnable onDisconnect = () -> {};
    private boolean disconnected;

    ClientExchange(ClientConnectionHandler connection, String requestId, boolean headOnly) {
        this.connection = Objects.requireNonNull(connection, "connection");
        this.requestId = requestId;
        this.headOnly = headOnly;
    }

    /** Sets the action to run if the client disconnects before the final response. */
    public void onDisconnect(Runnable action) {
        onDisconnect = Objects.requireNonNull(action, "action");
    }

    /** Sends a target's completed response to the client. */
    public void respond(TargetResponse response) {
        if (!disconnected) {
            connection.respond(response, headOnly);
        }
    }

    /** Sends an error response that this system generates. */
    public void reject(Rejection rejection) {
        if (!disconnected) {
            connection.reject(rejection, requestId);
        }
    }

    /** Sends the head of an event stream to the client. */
    public void openStream(TargetResponse head) {
        if (!disconnected) {
            connection.openStream(head);
        }
    }

    /** Sends complete events to the client. */
    public void writeEvents(byte[] events) {
        if (!disconnected) {
            connection.writeEvents(events);
        }
    }

    /** Ends an event stream that is complete. */
    public void endStream() {
        if (!disconnected) {
            connection.endStream();
        }
    }

    /** Closes the connection, so that the client recognizes the response as incomplete. */
    public void abort() {
        if (!disconnected) {
            connection.abort();
        }
    }

    void onClientDisconnected() {
        disconnected = true;
        onDisconnect.run();
    }
}
