package org.amaranthlock.entry.control;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.amaranthlock.coordination.forwarding.StoreReaderSelector;
import org.amaranthlock.entry.log.DecisionLog;
import org.amaranthlock.entry.metrics.EntryMetrics;
import org.amaranthlock.entry.peer.EntryPeerMessage;
import org.amaranthlock.platform.ObjectVersion;
import org.amaranthlock.platform.StorePosition;
import org.amaranthlock.platform.StoreReply;

/** {@link PeerStoreReader} that sends queries over the peer connections. All calls are on the control loop. */
public final class PeerStoreClient implements PeerStoreReader {
    /**
     * Timeout of a configuration query: the peer's read interval plus a slow response of the store. The querying host
     * reads the store itself after {@link ConfigurationPollTimes#maxUnconfirmedMillis()}, whatever this timeout is.
     */
    private static final long CONFIGURATION_TIMEOUT_MILLIS = 1_400;

    /** Timeout of a targets query; the peer's watch ends earlier, and it then responds even if nothing has changed. */
    private static final long TARGETS_TIMEOUT_MILLIS = 5_500;

    private final EventLoop loop;
    private final StoreReaderSelector readerSelector;
    private final PeerQueries peerQueries;
    private final LongSupplier clockMillis;
    private final DecisionLog log;
    private final EntryMetrics metrics;
    private final Map<Long, OutstandingQuery> outstandingQueries = new HashMap<>();
    private long lastQueryId;
    private long answeredQueries;

    private record OutstandingQuery(String peer, Consumer<EntryPeerMessage.Response> result, Future<?> timeout) {}

    /** Creates a client whose timeouts run on {@code loop}. */
    public PeerStoreClient(
            EventLoop loop,
            StoreReaderSelector readerSelector,
            PeerQueries peerQueries,
            LongSupplier clockMillis,
            DecisionLog log,
            EntryMetrics metrics) {
        this.loop = Objects.requireNonNull(loop, "loop");
        this.readerSelector = Objects.requireNonNull(readerSelector, "reader selector");
        this.peerQueries = Objects.requireNonNull(peerQueries, "peer queries");
        this.clockMillis = Objects.requireNonNull(clockMillis, "clock");
        this.log = Objects.requireNonNull(log, "log");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
    }

    @Override
    public boolean confirmConfiguration(ObjectVersion version, Consumer<OptionalLong> result) {
        long id = ++lastQueryId;
        return sendQuery(
                id,
                new EntryPeerMessage.ConfigurationQuery(id, version),
                CONFIGURATION_TIMEOUT_MILLIS,
                response -> result.accept(
                        response instanceof EntryPeerMessage.ConfigurationConfirmed confirmed
                                ? OptionalLong.of(confirmed.readAfterMillis())
                                : OptionalLong.empty()));
    }

    @Override
    public long answeredQueries() {
        return answeredQueries;
    }

    @Override
    public void giveUpQueries() {
        Set<String> silent = outstandingQueries.values().stream()
                .map(OutstandingQuery::peer)
                .collect(Collectors.toUnmodifiableSet());
        if (silent.isEmpty()) {
            return;
        }
        // Before any query is completed, because its sender asks the next host at once.
        peerQueries.connectedPeers().forEach(peer -> readerSelector.markUnresponsive(peer, clockMillis.getAsLong()));
        silent.forEach(this::onTimeout);
    }

    @Override
    public boolean isSuccessor() {
        return readerSelector.isSuccessor(peerQueries.connectedPeers(), clockMillis.getAsLong());
    }

    @Override
    public boolean fetchConfiguration(
            long version, long timeoutMillis, Consumer<Optional<EntryPeerMessage.ConfigurationFetched>> result) {
        if (!peerQueries.isStoreRemote()) {
            return false;
        }
        // Through one host of each domain, so that none sends the object to all hosts of the region.
        Optional<String> reader = readerSelector
                .select(peerQueries.connectedDomainPeers(), clockMillis.getAsLong())
                .or(this::selectReader);
        long id = ++lastQueryId;
        return sendQuery(
                reader,
                id,
                new EntryPeerMessage.ConfigurationFetch(id, version),
                timeoutMillis,
                // The connection stays open: the peer may only be slow, because it sends the object to many hosts.
                _ -> complete(new EntryPeerMessage.NotKnown(id), "fetch-timeout"),
                response -> result.accept(
                        response instanceof EntryPeerMessage.ConfigurationFetched fetched
                                ? Optional.of(fetched)
                                : Optional.empty()));
    }

    @Override
    public boolean fetchTargetChanges(StorePosition position, Consumer<Optional<StoreReply.Changes>> result) {
        return fetchTargetChanges(selectReader(), position, result);
    }

    @Override
    public boolean fetchTargetChangesFromSuccessor(
            StorePosition position, Consumer<Optional<StoreReply.Changes>> result) {
        Set<String> successors = new HashSet<>(peerQueries.connectedPeers());
        selectReader().ifPresent(successors::remove);
        return fetchTargetChanges(readerSelector.select(successors, clockMillis.getAsLong()), position, result);
    }

    private boolean fetchTargetChanges(
            Optional<String> reader, StorePosition position, Consumer<Optional<StoreReply.Changes>> result) {
        long id = ++lastQueryId;
        return sendQuery(
                reader,
                id,
                new EntryPeerMessage.TargetsQuery(id, position),
                TARGETS_TIMEOUT_MILLIS,
                this::onTimeout,
                response -> result.accept(
                        response instanceof EntryPeerMessage.TargetsChanged changed
                                ? Optional.of(new StoreReply.Changes(changed.changes(), changed.position()))
                                : Optional.empty()));
    }

    /** Completes the query to which a host has responded. */
    public void onResponse(EntryPeerMessage.Response response) {
        if (!(response instanceof EntryPeerMessage.TargetsChanged)) {
            answeredQueries++;
        }
        complete(response, response.getClass().getSimpleName());
    }

    /**
     * Completes the outstanding queries to a host at once without a result; if there were any, marks the host as
     * unresponsive.
     */
    public void onPeerLost(String peer, String cause) {
        List<Long> ids = new ArrayList<>();
        outstandingQueries.forEach((id, query) -> {
            if (query.peer().equals(peer)) {
                ids.add(id);
            }
        });
        if (!ids.isEmpty()) {
            readerSelector.markUnresponsive(peer, clockMillis.getAsLong());
            log.write("neighbour-lost", "peer", peer, "cause", cause, "questions", ids.size());
        }
        ids.forEach(id -> complete(new EntryPeerMessage.NotKnown(id), cause));
    }

    /** Lets a host be queried again that has responded on a new connection. */
    public void onPeerResponsive(String peer) {
        readerSelector.markResponsive(peer);
    }

    private boolean sendQuery(
            long id, EntryPeerMessage query, long timeoutMillis, Consumer<EntryPeerMessage.Response> result) {
        return sendQuery(selectReader(), id, query, timeoutMillis, this::onTimeout, result);
    }

    private Optional<String> selectReader() {
        return readerSelector.select(peerQueries.connectedPeers(), clockMillis.getAsLong());
    }

    private boolean sendQuery(
            Optional<String> reader,
            long id,
            EntryPeerMessage query,
            long timeoutMillis,
            Consumer<String> timeoutAction,
            Consumer<EntryPeerMessage.Response> result) {
        if (reader.isEmpty() || !peerQueries.sendQuery(reader.get(), query)) {
            return false;
        }
        Future<?> timeout =
                loop.schedule(() -> timeoutAction.accept(reader.get()), timeoutMillis, TimeUnit.MILLISECONDS);
        outstandingQueries.put(id, new OutstandingQuery(reader.get(), result, timeout));
        return true;
    }

    private void onTimeout(String peer) {
        onPeerLost(peer, "no-answer");
        peerQueries.reset(peer);
    }

    private void complete(EntryPeerMessage.Response response, String outcome) {
        OutstandingQuery query = outstandingQueries.remove(response.id());
        if (query == null) {
            return;
        }
        query.timeout().cancel(false);
        metrics.recordStoreCall("neighbour", outcome);
        query.result().accept(response);
    }
}
