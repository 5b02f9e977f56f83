package org.amaranthlock.entry.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.amaranthlock.coordination.forwarding.ClockReading;
import org.amaranthlock.entry.peer.EntryPeerMessage;
import org.amaranthlock.entry.peer.EntryPeerMessage.ConfigurationFetch;

/**
 * Responds to queries of other hosts for the object of the configuration.
 *
 * <p>A query for a version that this host does not know yet waits until it does; its sender reads the store itself after
 * its own timeout. All calls are on the control loop.
 */
public final class ConfigurationFetchServer {
    /** Maximum number of waiting queries; the senders of further ones read the store themselves. */
    private static final int MAX_PENDING_QUERIES = 1_000;

    private final ConfigurationPoller poller;
    private final Supplier<ClockReading> clock;
    private final List<PendingFetch> pending = new ArrayList<>();

    private record PendingFetch(ConfigurationFetch query, ClockReading receivedAt, Consumer<EntryPeerMessage> reply) {}

    /** Creates a server that measures the intervals in its responses with {@code clock}. */
    public ConfigurationFetchServer(ConfigurationPoller poller, Supplier<ClockReading> clock) {
        this.poller = Objects.requireNonNull(poller, "poller");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /** Handles a query. */
    public void handleQuery(ConfigurationFetch query, Consumer<EntryPeerMessage> reply) {
        PendingFetch fetch = new PendingFetch(query, clock.get(), reply);
        if (isKnown(fetch)) {
            respond(fetch);
        } else if (pending.size() < MAX_PENDING_QUERIES) {
            pending.add(fetch);
            poller.onVersionAnnounced(query.version());
        } else {
            reply.accept(new EntryPeerMessage.NotKnown(query.id()));
        }
    }

    /** Responds to the waiting queries for a version that has become known. */
    public void onConfigurationKnown() {
        List<PendingFetch> known = pending.stream().filter(this::isKnown).toList();
        pending.removeAll(known);
        known.forEach(this::respond);
    }

    private boolean isKnown(PendingFetch fetch) {
        return poller.knownVersion() >= fetch.query().version();
    }

    private void respond(PendingFetch fetch) {
        long readAfterMillis = fetch.receivedAt().leastMillisUntil(poller.confirmedAt());
        fetch.reply()
                .accept(new EntryPeerMessage.ConfigurationFetched(
                        fetch.query().id(), poller.known().orElseThrow(), readAfterMillis));
    }
}
