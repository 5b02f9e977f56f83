package org.amaranthlock.entry.relay;

import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.amaranthlock.coordination.forwarding.Rejection;
import org.amaranthlock.coordination.forwarding.StreamQueues;
import org.amaranthlock.coordination.forwarding.TargetResponse;
import org.amaranthlock.entry.front.ClientExchange;
import org.amaranthlock.entry.peer.EntryPeerMessage;
import org.amaranthlock.model.SoftwareVersion;

/** Request that another host has passed on; its responses go back to that host. */
final class RelayedExchange implements ClientExchange {
    /** Reasons of rejections that concern this host only; another one may serve the request. */
    private static final Set<String> LOCAL_REASONS =
            Set.of("no-target", "not-sent", "targets-rest", StreamQueues.DRAINING);

    private static final int NOT_EXECUTED = 503;

    private final long id;
    private final Consumer<EntryPeerMessage> reply;
    private final Runnable onCompleted;
    private Runnable onDisconnect = () -> {};
    private boolean completed;

    RelayedExchange(long id, Consumer<EntryPeerMessage> reply, Runnable onCompleted) {
        this.id = id;
        this.reply = Objects.requireNonNull(reply, "reply");
        this.onCompleted = Objects.requireNonNull(onCompleted, "completion listener");
    }

    @Override
    public void onDisconnect(Runnable action) {
        onDisconnect = Objects.requireNonNull(action, "action");
    }

    @Override
    public void onReadingChanged(Consumer<Boolean> action) {
        // The host of the client does not tell how fast it reads.
    }

    @Override
    public void respond(TargetResponse response) {
        complete(new EntryPeerMessage.RelayAnswered(id, response));
    }

    @Override
    public void reject(Rejection rejection) {
        boolean anotherHost = rejection.status() == NOT_EXECUTED && LOCAL_REASONS.contains(rejection.reason());
        complete(new EntryPeerMessage.RelayRejected(id, rejection, anotherHost));
    }

    /** Rejects the request because of a reason that concerns this host only. */
    void rejectHere(Rejection rejection) {
        complete(new EntryPeerMessage.RelayRejected(id, rejection, true));
    }

    @Override
    public void openStream(TargetResponse head, Optional<SoftwareVersion> version) {
        send(new EntryPeerMessage.RelayStreamOpened(id, head, version));
    }

    @Override
    public void writeEvents(byte[] events) {
        send(new EntryPeerMessage.RelayEvents(id, events));
    }

    @Override
    public void endStream() {
        complete(new EntryPeerMessage.RelayStreamEnded(id));
    }

    @Override
    public void abort() {
        complete(new EntryPeerMessage.RelayAborted(id));
    }

    /** Ends the exchange because the client, or the host to which it is connected, has left. */
    void onClientLeft() {
        if (!completed) {
            completed = true;
            onCompleted.run();
            onDisconnect.run();
        }
    }

    private void send(EntryPeerMessage message) {
        if (!completed) {
            reply.accept(message);
        }
    }

    private void complete(EntryPeerMessage message) {
        if (!completed) {
            completed = true;
            onCompleted.run();
            reply.accept(message);
        }
    }
}
