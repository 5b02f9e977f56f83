package org.amaranthlock.entry.front;

import java.util.Objects;
import org.amaranthlock.coordination.forwarding.Rejection;
import org.amaranthlock.coordination.forwarding.TargetResponse;

/** One whole request on a client connection, until its final answer. */
public final class ClientExchange {
    private final ClientConnection connection;
    private final String requestId;
    private final boolean headOnly;
    private Runnable onDisconnect = () -> {};
    private boolean left;

    ClientExchange(ClientConnection connection, String requestId, boolean headOnly) {
        this.connection = Objects.requireNonNull(connection, "connection");
        this.requestId = requestId;
        this.headOnly = headOnly;
    }

    /** Sets what happens if the client closes its connection before the final answer. */
    public void onDisconnect(Runnable action) {
        onDisconnect = Objects.requireNonNull(action, "action");
    }

    /** Gives a target's whole answer. */
    public void respond(TargetResponse answer) {
        if (!left) {
            connection.respond(answer, headOnly);
        }
    }

    /** Gives a final answer of this system's own. */
    public void reject(Rejection rejection) {
        if (!left) {
            connection.reject(rejection, requestId);
        }
    }

    /** Starts an event stream. */
    public void openStream(TargetResponse head) {
        if (!left) {
            connection.openStream(head);
        }
    }

    /** Passes on whole events. */
    public void writeEvents(byte[] events) {
        if (!left) {
            connection.writeEvents(events);
        }
    }

    /** Ends a complete event stream. */
    public void endStream() {
        if (!left) {
            connection.endStream();
        }
    }

    /** Closes the connection, so that the answer is recognizably incomplete. */
    public void abort() {
        if (!left) {
            connection.abort();
        }
    }

    void clientDisconnected() {
        left = true;
        onDisconnect.run();
    }
}
