package org.amaranthlock.entry.front;

import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import org.amaranthlock.coordination.forwarding.Rejection;
import org.amaranthlock.coordination.forwarding.TargetResponse;
import org.amaranthlock.model.SoftwareVersion;

/** Exchange on a client connection. */
final class ConnectionExchange implements ClientExchange {
    private final ClientConnectionHandler connection;
    private final String requestId;
    private final boolean headOnly;
    private Runnable onDisconnect = () -> {};
    private Consumer<Boolean> onReadingChanged = _ -> {};
    private boolean disconnected;

    ConnectionExchange(ClientConnectionHandler connection, String requestId, boolean headOnly) {
        this.connection = Objects.requireNonNull(connection, "connection");
        this.requestId = requestId;
        this.headOnly = headOnly;
    }

    @Override
    public void onDisconnect(Runnable action) {
        onDisconnect = Objects.requireNonNull(action, "action");
    }

    @Override
    public void onReadingChanged(Consumer<Boolean> action) {
        onReadingChanged = Objects.requireNonNull(action, "action");
    }

    @Override
    public void respond(TargetResponse response) {
        if (!disconnected) {
            connection.respond(response, headOnly);
        }
    }

    @Override
    public void reject(Rejection rejection) {
        if (!disconnected) {
            connection.reject(rejection, requestId);
        }
    }

    @Override
    public void openStream(TargetResponse head, Optional<SoftwareVersion> version) {
        if (!disconnected) {
            connection.openStream(head);
        }
    }

    @Override
    public void writeEvents(byte[] events) {
        if (!disconnected) {
            connection.writeEvents(events);
        }
    }

    @Override
    public void endStream() {
        if (!disconnected) {
            connection.endStream();
        }
    }

    @Override
    public void abort() {
        if (!disconnected) {
            connection.abort();
        }
    }

    void setReading(boolean reading) {
        onReadingChanged.accept(reading);
    }

    String requestId() {
        return requestId;
    }

    void onClientDisconnected() {
        disconnected = true;
        onDisconnect.run();
    }
}
