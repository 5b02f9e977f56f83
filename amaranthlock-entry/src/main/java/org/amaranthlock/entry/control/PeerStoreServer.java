package org.amaranthlock.entry.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.amaranthlock.coordination.forwarding.ClockReading;
import org.amaranthlock.entry.peer.EntryPeerMessage;
import org.amaranthlock.entry.peer.EntryPeerMessage.ConfigurationQuery;
import org.amaranthlock.entry.peer.EntryPeerMessage.TargetsQuery;
import org.amaranthlock.platform.ObjectVersion;
import org.amaranthlock.platform.StoreChange;
import org.amaranthlock.platform.StorePosition;

/**
 * Responds to queries of other hosts with data that this host has read from the store.
 *
 * <p>A query waits for the next read, so that its response is about as recent as a read by the querying host. Data
 * received from another host is not passed on: two hosts that query each other would wait forever. Not thread-safe.
 */
public final class PeerStoreServer {
    /** Number of changes retained for hosts that lag behind. */
    private static final int MAX_RETAINED_CHANGES = 400;

    /** Limit of pending queries; the senders of further queries have to read the store themselves. */
    private static final int MAX_PENDING_QUERIES = 1_000;

    private final Supplier<ClockReading> clock;
    private final ResponseBudget budget;
    private final List<PendingConfigurationQuery> pendingConfigurationQueries = new ArrayList<>();
    private final List<PendingTargetsQuery> pendingTargetsQueries = new ArrayList<>();
    private final Deque<RetainedChange> retainedChanges = new ArrayDeque<>();

    /** Version of the configuration that queries can wait for; empty while this host does not read it from the store. */
    private Optional<ObjectVersion> configurationVersion = Optional.empty();

    private boolean watchingTargets;
    private long oldestRetainedRevision;
    private StorePosition targetsPosition = new StorePosition(StorePosition.UNKNOWN_ERA, 0);
    private ClockReading listSentAt;
    private ClockReading watchSentAt;

    /** When the last call that confirmed the targets was sent; empty if a peer sent the last changes. */
    private Optional<ClockReading> targetsConfirmedAt = Optional.empty();

    /**
     * A change with the revision of the watch response that reported it; a removal may itself have an older revision.
     */
    private record RetainedChange(StoreChange change, long revision) {}

    private record PendingConfigurationQuery(
            ConfigurationQuery query, ClockReading receivedAt, Consumer<EntryPeerMessage> reply) {}

    private record PendingTargetsQuery(TargetsQuery query, Consumer<EntryPeerMessage> reply) {}

    /** Creates a server that measures the intervals in its responses with {@code clock}. */
    public PeerStoreServer(Supplier<ClockReading> clock, ResponseBudget budget) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.budget = Objects.requireNonNull(budget, "budget");
        this.listSentAt = clock.get();
        this.watchSentAt = listSentAt;
    }

    /** Returns whether the link of this host has room for a response now, which is then to be sent. */
    boolean hasRoomFor(EntryPeerMessage response) {
        return budget.tryTake(response);
    }

    /** Handles a query about the configuration. */
    public void handleQuery(ConfigurationQuery query, Consumer<EntryPeerMessage> reply) {
        boolean known = configurationVersion.filter(query.version()::matches).isPresent();
        if (!known || pendingConfigurationQueries.size() >= MAX_PENDING_QUERIES) {
            reply.accept(new EntryPeerMessage.NotKnown(query.id()));
        } else {
            pendingConfigurationQueries.add(new PendingConfigurationQuery(query, clock.get(), reply));
        }
    }

    /** Handles a query about targets. */
    public void handleQuery(TargetsQuery query, Consumer<EntryPeerMessage> reply) {
        if (watchingTargets && !targetsPosition.isSameHistory(query.position())) {
            // The position shows the sender that it must list the targets anew.
            reply.accept(new EntryPeerMessage.TargetsChanged(query.id(), targetsPosition, List.of()));
        } else if (!watchingTargets
                || query.position().revision() < oldestRetainedRevision
                || pendingTargetsQueries.size() >= MAX_PENDING_QUERIES) {
            reply.accept(new EntryPeerMessage.NotKnown(query.id()));
        } else if (query.position().revision() < targetsPosition.revision()) {
            replyWithChanges(query, reply);
        } else {
            pendingTargetsQueries.add(new PendingTargetsQuery(query, reply));
        }
    }

    /**
     * Records that a read by this host, sent at {@code sentAt}, returned this version of the configuration, and responds to
     * all pending queries about it.
     */
    public void onConfigurationRead(ObjectVersion version, ClockReading sentAt) {
        configurationVersion = Optional.of(version);
        List<PendingConfigurationQuery> pending = List.copyOf(pendingConfigurationQueries);
        pendingConfigurationQueries.clear();
        for (PendingConfigurationQuery pendingQuery : pending) {
            long id = pendingQuery.query().id();
            boolean newest = pendingQuery.query().version().matches(version);
            long readAfterMillis = pendingQuery.receivedAt().leastMillisUntil(sentAt);
            pendingQuery
                    .reply()
                    .accept(
                            newest
                                    ? new EntryPeerMessage.ConfigurationConfirmed(id, readAfterMillis)
                                    : new EntryPeerMessage.NotKnown(id));
        }
    }

    /** Records that this host is about to read the configuration itself; queries about this version wait for it. */
    public void onConfigurationReadPlanned(ObjectVersion version) {
        configurationVersion = Optional.of(version);
    }

    /**
     * Records that this host does not read the configuration from the store itself, and responds with {@code NotKnown} to
     * all queries about it.
     */
    public void onConfigurationUnavailable() {
        configurationVersion = Optional.empty();
        onConfigurationReadFailed();
    }

    /** Responds with {@code NotKnown} to all pending queries about the configuration; later ones wait for the next read. */
    public void onConfigurationReadFailed() {
        pendingConfigurationQueries.forEach(pendingQuery -> pendingQuery
                .reply()
                .accept(new EntryPeerMessage.NotKnown(pendingQuery.query().id())));
        pendingConfigurationQueries.clear();
    }

    /** Records that this host begins to list the targets in the store. */
    public void onTargetsListSent() {
        listSentAt = clock.get();
    }

    /** Records that this host has listed the targets. */
    public void onTargetsListed() {
        targetsConfirmedAt = Optional.of(listSentAt);
    }

    /** Records that another host sent the targets, and when the call was sent that confirmed them. */
    public void onTargetsKnown(ClockReading confirmedAt) {
        targetsConfirmedAt = Optional.of(confirmedAt);
    }

    /**
     * Returns when the last call that confirmed the targets was sent; empty if this host does not watch them in the store
     * itself.
     */
    public Optional<ClockReading> targetsConfirmedAt() {
        return watchingTargets ? targetsConfirmedAt : Optional.empty();
    }

    /** Returns the position in the store up to which this host, which watches the targets, knows their changes. */
    public StorePosition targetsPosition() {
        return targetsPosition;
    }

    /** Records that this host itself watches the targets in the store from a position on. */
    public void onWatchStarted(StorePosition position) {
        watchSentAt = clock.get();
        if (watchingTargets && position.equals(targetsPosition)) {
            return;
        }
        watchingTargets = true;
        oldestRetainedRevision = position.revision();
        targetsPosition = position;
        retainedChanges.clear();
    }

    /** Records the result of this host's watch and responds to all pending queries, even if nothing changed. */
    public void onTargetsChanged(List<StoreChange> changes, StorePosition position) {
        targetsConfirmedAt = Optional.of(watchSentAt);
        for (StoreChange change : changes) {
            retainedChanges.addLast(new RetainedChange(change, position.revision()));
        }
        while (retainedChanges.size() > MAX_RETAINED_CHANGES) {
            oldestRetainedRevision = retainedChanges.removeFirst().revision();
        }
        targetsPosition = position.atLeast(targetsPosition.revision());
        List<PendingTargetsQuery> pending = List.copyOf(pendingTargetsQueries);
        pendingTargetsQueries.clear();
        pending.forEach(pendingQuery -> replyWithChanges(pendingQuery.query(), pendingQuery.reply()));
    }

    /**
     * Records that this host does not watch the targets in the store itself, or that its watch failed, and responds
     * with {@code NotKnown} to all pending queries about them.
     */
    public void onWatchStopped() {
        watchingTargets = false;
        targetsConfirmedAt = Optional.empty();
        pendingTargetsQueries.forEach(pendingQuery -> pendingQuery
                .reply()
                .accept(new EntryPeerMessage.NotKnown(pendingQuery.query().id())));
        pendingTargetsQueries.clear();
    }

    private void replyWithChanges(TargetsQuery query, Consumer<EntryPeerMessage> reply) {
        List<StoreChange> newer = retainedChanges.stream()
                .filter(retained -> retained.revision() > query.position().revision())
                .map(RetainedChange::change)
                .toList();
        StorePosition position = targetsPosition.atLeast(query.position().revision());
        EntryPeerMessage response = new EntryPeerMessage.TargetsChanged(query.id(), position, newer);
        boolean affordable = newer.isEmpty() || hasRoomFor(response);
        reply.accept(affordable ? response : new EntryPeerMessage.NotKnown(query.id()));
    }
}
