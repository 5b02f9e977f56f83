package org.amaranthlock.entry.relay;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;
import org.amaranthlock.coordination.forwarding.Rejection;
import org.amaranthlock.entry.front.ClientExchange;
import org.amaranthlock.entry.peer.EntryPeerMessage;
import org.amaranthlock.platform.ClientRequest;

/**
 * Serves requests that other hosts pass to this one.
 *
 * <p>The number of requests at a time is bounded, so that the clients of this host are still served when most other
 * hosts have lost their paths. All calls are on the traffic loop.
 */
public final class RelayServer {
    /** Requests of other hosts that are served at the same time. */
    private static final int MAX_ACTIVE = 64;

    private static final long RETRY_AFTER_MILLIS = 300;

    private final Handler handler;
    private final Map<Key, RelayedExchange> active = new HashMap<>();

    /** Handles requests that other hosts have passed to this one. */
    public interface Handler {
        /**
         * Decides whether this host can serve a request.
         *
         * @return the reason why it cannot, or an empty string
         */
        String reasonNotToServe(ClientRequest request, long configurationVersion);

        /** Serves a request, which is not passed to yet another host. */
        void handleRelayed(EntryPeerMessage.RelayRequest message, ClientExchange exchange);
    }

    /**
     * Identifies a request.
     *
     * @param connection sends messages back on the connection of the request; one object per connection
     * @param id id of the request on the connection
     */
    private record Key(Consumer<EntryPeerMessage> connection, long id) {}

    /** Creates a server whose requests are handled by {@code handler}. */
    public RelayServer(Handler handler) {
        this.handler = Objects.requireNonNull(handler, "handler");
    }

    /** Handles a request of another host. */
    public void onRequest(EntryPeerMessage.RelayRequest message, Consumer<EntryPeerMessage> reply) {
        Key key = new Key(reply, message.id());
        RelayedExchange exchange = new RelayedExchange(message.id(), reply, () -> active.remove(key));
        String reason = active.size() >= MAX_ACTIVE
                ? "relays-exhausted"
                : handler.reasonNotToServe(message.request(), message.configurationVersion());
        if (!reason.isEmpty()) {
            exchange.rejectHere(Rejection.retryLater(RETRY_AFTER_MILLIS, reason));
            return;
        }
        active.put(key, exchange);
        handler.handleRelayed(message, exchange);
    }

    /** Handles the cancellation of a request. */
    public void onCancel(long id, Consumer<EntryPeerMessage> reply) {
        RelayedExchange exchange = active.get(new Key(reply, id));
        if (exchange != null) {
            exchange.onClientLeft();
        }
    }

    /** Cancels the requests of a connection that was closed. */
    public void onConnectionClosed(Consumer<EntryPeerMessage> reply) {
        List<RelayedExchange> orphaned = active.entrySet().stream()
                .filter(exchange -> exchange.getKey().connection() == reply)
                .map(Map.Entry::getValue)
                .toList();
        orphaned.forEach(RelayedExchange::onClientLeft);
    }
}
