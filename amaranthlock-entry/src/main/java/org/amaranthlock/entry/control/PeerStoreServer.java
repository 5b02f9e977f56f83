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
    private static final int KEPT_CHANGES = 400;

    /** Questions that wait at most; others are told to ask the store. */
    private static final int MOST_WAITING = 1_000;

    private final LongSupplier ageClockMillis;
    private final List<PendingQuery<ConfigurationQuery>> configurationWaiting = new ArrayList<>();
    private final List<PendingQuery<TargetsQuery>> targetsWaiting = new ArrayList<>();
    private final Deque<RetainedChange> changes = new ArrayDeque<>();
    private long configurationRevision = -1;
    private boolean followsTargets;
    private long oldestRevision;
    private long targetsRevision;

    /** A change, and the revision of the watch's answer that brought it; a removal may bear an older revision itself. */
    private record RetainedChange(StoreChange change, long revision) {}

    private record PendingQuery<Q>(Q query, Consumer<EntryPeerMessage> reply) {}

    /** Creates a relay; the clock counts suspensions. */
    public PeerStoreServer(LongSupplier ageClockMillis) {
        this.ageClockMillis = Objects.requireNonNull(ageClockMillis, "clock");
    }

    /** Takes a question about the configuration. */
    public void handleQuery(ConfigurationQuery question, Consumer<EntryPeerMessage> reply) {
        if (question.revision() != configurationRevision || configurationWaiting.size() >= MOST_WAITING) {
            reply.accept(new EntryPeerMessage.NotKnown(question.id()));
        } else {
            configurationWaiting.add(new PendingQuery<>(question, reply));
        }
    }

    /** Takes a question about targets. */
    public void handleQuery(TargetsQuery question, Consumer<EntryPeerMessage> reply) {
        if (!followsTargets || question.revision() < oldestRevision || targetsWaiting.size() >= MOST_WAITING) {
            reply.accept(new EntryPeerMessage.NotKnown(question.id()));
        } else if (question.revision() < targetsRevision) {
            answer(question, reply);
        } else {
            targetsWaiting.add(new PendingQuery<>(question, reply));
        }
    }

    /** Takes that a read of this host's own, sent at {@code sentAtMillis}, found this revision of the configuration. */
    public void onConfigurationRead(long revision, long sentAtMillis) {
        configurationRevision = revision;
        List<PendingQuery<ConfigurationQuery>> waiting = List.copyOf(configurationWaiting);
        configurationWaiting.clear();
        long age = ageClockMillis.getAsLong() - sentAtMillis;
        for (PendingQuery<ConfigurationQuery> entry : waiting) {
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
        configurationWaiting.forEach(entry ->
                entry.reply().accept(new EntryPeerMessage.NotKnown(entry.query().id())));
        configurationWaiting.clear();
    }

    /** Takes that this host watches the targets itself from a revision on. */
    public void onWatchStarted(long revision) {
        if (followsTargets && revision == targetsRevision) {
            return;
        }
        followsTargets = true;
        oldestRevision = revision;
        targetsRevision = revision;
        changes.clear();
    }

    /** Takes what this host's own watch returned; waiting hosts are answered even if nothing changed. */
    public void onTargetsChanged(List<StoreChange> found, long revision) {
        for (StoreChange change : found) {
            changes.addLast(new RetainedChange(change, revision));
        }
        while (changes.size() > KEPT_CHANGES) {
            oldestRevision = changes.removeFirst().revision();
        }
        targetsRevision = Math.max(targetsRevision, revision);
        List<PendingQuery<TargetsQuery>> waiting = List.copyOf(targetsWaiting);
        targetsWaiting.clear();
        waiting.forEach(entry -> answer(entry.query(), entry.reply()));
    }

    /** Takes that this host does not watch the targets itself, or got no answer. */
    public void onWatchStopped() {
        followsTargets = false;
        targetsWaiting.forEach(entry ->
                entry.reply().accept(new EntryPeerMessage.NotKnown(entry.query().id())));
        targetsWaiting.clear();
    }

    private void answer(TargetsQuery question, Consumer<EntryPeerMessage> reply) {
        List<StoreChange> newer = changes.stream()
                .filter(kept -> kept.revision() > question.revision())
                .map(RetainedChange::change)
                .toList();
        long revision = Math.max(targetsRevision, question.revision());
        reply.accept(new EntryPeerMessage.TargetsChanged(question.id(), revision, newer));
    }
}
