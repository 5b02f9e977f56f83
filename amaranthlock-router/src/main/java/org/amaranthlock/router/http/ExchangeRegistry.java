package org.amaranthlock.router.http;

import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.function.LongSupplier;
import org.amaranthlock.coordination.RequestEvent;
import org.amaranthlock.model.RequestId;
import org.amaranthlock.router.metrics.RouterMetrics;
import org.amaranthlock.transport.EventSink;

/** Registry of the clients' open requests by request id; thread-safe. */
public final class ExchangeRegistry {
    private final ConcurrentMap<RequestId, Exchange> exchanges = new ConcurrentHashMap<>();
    private final EventSink events;
    private final RouterMetrics metrics;
    private final LongSupplier clockMillis;

    /** Creates an empty registry that reports disconnected clients to {@code events}. */
    public ExchangeRegistry(EventSink events, RouterMetrics metrics, LongSupplier clockMillis) {
        this.events = events;
        this.metrics = metrics;
        this.clockMillis = clockMillis;
    }

    /** Returns the open exchange of a request, if any. */
    public Optional<Exchange> find(RequestId request) {
        return Optional.ofNullable(exchanges.get(request));
    }

    /** Returns the number of open exchanges. */
    public int size() {
        return exchanges.size();
    }

    /**
     * Adds an exchange and supersedes an older exchange of the same request: the client has resumed the request on a
     * new connection, so the end of the old connection must not be reported as the client's disconnect.
     */
    void add(Exchange exchange) {
        Exchange older = exchanges.put(exchange.id(), exchange);
        if (older != null) {
            older.supersede();
        }
    }

    void remove(Exchange exchange) {
        exchanges.remove(exchange.id(), exchange);
    }

    void reportClientDisconnected(Exchange exchange) {
        events.accept(new RequestEvent.ClientDisconnected(exchange.id()));
    }

    RouterMetrics metrics() {
        return metrics;
    }

    long nowMillis() {
        return clockMillis.getAsLong();
    }
}
