package org.amaranthlock.entry.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.amaranthlock.entry.peer.EntryPeerMessage;
import org.amaranthlock.entry.peer.EntryPeerMessage.ConfigurationQuery;
import org.amaranthlock.entry.peer.EntryPeerMessage.TargetsQuery;
import org.amaranthlock.platform.StoreChange;

/**
 * Answers other hosts from what this host itself has read in the store.
 *
 * <p>A question waits for the next read, so that its answer is about as new as a read of the asking host's own. What this
 * host has from another one it does not pass on: two hosts that ask each other would wait for ever. Not thread-safe.
 */
public final class PeerStoreServer {
    /** Changes that are kept for hosts that lag behind. */
    private static final int MAX_RETAINED_CHANGES = 400;

    /** Questions that wait at most; others are told to ask the store. */
    private static final int MAX_PENDING_QUERIES = 1_000;

    private final LongSupplier ageClockMillis;
    private final List<PendingQuery<ConfigurationQuery>> pendingConfigurationQueries = new ArrayList<>();
    private final List<PendingQuery<TargetsQuery>> pendingTargetsQueries = new ArrayList<>();
    private final Deque<RetainedChange> retainedChanges = new ArrayDeque<>();
    private long configurationRevision = -1;
    private boolean watchingTargets;
    private long oldestRetainedRevision;
    private long targetsRevision;

    /** A change, and the revision of the watch's answer that brought it; a removal may bear an older revision itself. */
    private record RetainedChange(StoreChange change, long revision) {}

    private record PendingQuery<Q>(Q query, Consumer<EntryPeerMessage> reply) {}

    /** Creates a relay; the clock counts suspensions. */
    public PeerStoreServer(LongSupplier ageClockMillis) {
        this.ageClockMillis = Objects.requireNonNull(ageClockMillis, "clock");
    }

    /** Takes a question about the configuration. */
    public void handleQuery(ConfigurationQuery query, Consumer<EntryPeerMessage> reply) {
        if (query.revision() != configurationRevision || pendingConfigurationQueries.size() >= MAX_PENDING_QUERIES) {
            reply.accept(new EntryPeerMessage.NotKnown(query.id()));
        } else {
            pendingConfigurationQueries.add(new PendingQuery<>(query, reply));
        }
    }

    /** Takes a question about targets. */
    public void handleQuery(TargetsQuery query, Consumer<EntryPeerMessage> reply) {
        if (!watchingTargets
                || query.revision() < oldestRetainedRevision
                || pendingTargetsQueries.size() >= MAX_PENDING_QUERIES) {
            reply.accept(new EntryPeerMessage.NotKnown(query.id()));
        } else if (query.revision() < targetsRevision) {
            replyWithChanges(query, reply);
        } else {
            pendingTargetsQueries.add(new PendingQuery<>(query, reply));
        }
    }

    /** Takes that a read of this host's own, sent at {@code sentAtMillis}, found this revision of the configuration. */
    public void onConfigurationRead(long revision, long sentAtMillis) {
        configurationRevision = revision;
        List<PendingQuery<ConfigurationQuery>> pending = List.copyOf(pendingConfigurationQueries);
        pendingConfigurationQueries.clear();
        long age = ageClockMillis.getAsLong() - sentAtMillis;
        for (PendingQuery<ConfigurationQuery> entry : pending) {
            long id = entry.query().id();
            boolean same = entry.query().revision() == revision;
            entry.reply()
                    .accept(
                            same
                                    ? new EntryPeerMessage.ConfigurationConfirmed(id, age)
                                    : new EntryPeerMessage.NotKnown(id));
        }
    }

    /** Takes that this host does not read the configuration itself, or got no answer. */
    public void onConfigurationUnavailable() {
        configurationRevision = -1;
        pendingConfigurationQueries.forEach(entry ->
                entry.reply().accept(new EntryPeerMessage.NotKnown(entry.query().id())));
        pendingConfigurationQueries.clear();
    }

    /** Takes that this host watches the targets itself from a revision on. */
    public void onWatchStarted(long revision) {
        if (watchingTargets && revision == targetsRevision) {
            return;
        }
        watchingTargets = true;
        oldestRetainedRevision = revision;
        targetsRevision = revision;
        retainedChanges.clear();
    }

    /** Takes what this host's own watch returned; waiting hosts are answered even if nothing changed. */
    public void onTargetsChanged(List<StoreChange> changes, long revision) {
        for (StoreChange change : changes) {
            retainedChanges.addLast(new RetainedChange(change, revision));
        }
        while (retainedChanges.size() > MAX_RETAINED_CHANGES) {
            oldestRetainedRevision = retainedChanges.removeFirst().revision();
        }
        targetsRevision = Math.max(targetsRevision, revision);
        List<PendingQuery<TargetsQuery>> pending = List.copyOf(pendingTargetsQueries);
        pendingTargetsQueries.clear();
        pending.forEach(entry -> replyWithChanges(entry.query(), entry.reply()));
    }

    /** Takes that this host does not watch the targets itself, or got no answer. */
    public void onWatchStopped() {
        watchingTargets = false;
        pendingTargetsQueries.forEach(entry ->
                entry.reply().accept(new EntryPeerMessage.NotKnown(entry.query().id())));
        pendingTargetsQueries.clear();
    }

    private void replyWithChanges(TargetsQuery query, Consumer<EntryPeerMessage> reply) {
        List<StoreChange> newer = retainedChanges.stream()
                .filter(retained -> retained.revision() > query.revision())
                .map(RetainedChange::change)
                .toList();
        long revision = Math.max(targetsRevision, query.revision());
        reply.accept(new EntryPeerMessage.TargetsChanged(query.id(), revision, newer));
    }
}
