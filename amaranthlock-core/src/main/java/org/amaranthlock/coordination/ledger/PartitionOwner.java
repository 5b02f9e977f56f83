package org.amaranthlock.coordination.ledger;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.coordination.ObjectApiEvent;
import org.amaranthlock.coordination.OperationNumberGenerator;
import org.amaranthlock.model.HostId;
import org.amaranthlock.model.OutcomeRecord;
import org.amaranthlock.protocol.objectapi.ObjectApiValue.LedgerBatch;
import org.amaranthlock.protocol.peer.ClaimResult;
import org.amaranthlock.protocol.peer.PeerMessage.ClaimReply;
import org.amaranthlock.protocol.peer.PeerMessage.ClaimRequest;
import org.amaranthlock.protocol.peer.PeerMessage.NotOwner;
import org.amaranthlock.protocol.peer.PeerMessage.OutcomeAck;
import org.amaranthlock.protocol.peer.PeerMessage.OutcomeBatch;
import org.amaranthlock.protocol.peer.PeerMessage.OutcomeQuery;
import org.amaranthlock.protocol.peer.PeerMessage.OutcomeReply;

/**
 * Owner-side state machine of one ledger partition: takes the partition over, commits claims and outcomes to its log
 * and replies to clients.
 *
 * <p>A router takes a partition over when it receives work for it and is the preferred owner in its own membership
 * view: it reads the log and creates the next position. Each position can be created only once, so the previous owner
 * detects at its next write that it has been fenced. The owner replies from memory only after its first position is
 * committed.
 */
final class PartitionOwner {
    /** Time for which outcomes wait for further work, so that one write records several batches. */
    private static final long MAX_OUTCOME_DELAY_MILLIS = 500;

    private static final long INITIAL_BACKOFF_MILLIS = 250;
    private static final long MAX_BACKOFF_MILLIS = 2_000;
    private static final long READ_TIMEOUT_MILLIS = 15_000;
    /** A longer gap between two ticks means that this process was paused and another owner may have taken over. */
    private static final long PAUSE_THRESHOLD_MILLIS = 500;

    private static final int MAX_SEARCHES = 8;
    /** Further queries are dropped, and their senders send them again. */
    private static final int MAX_QUERIES = 100;

    private enum Phase {
        IDLE,
        READING,
        FENCING,
        OWNING
    }

    private final int partition;
    private final LedgerMessenger messenger;
    private final OperationNumberGenerator operationNumbers;
    private final RecentOutcomes recentOutcomes;
    private final PendingWork pending = new PendingWork();
    private final Map<QueryId, OutcomeQuery> queries = new LinkedHashMap<>();
    private final List<OutcomeLogSearch> searches = new ArrayList<>();
    private final WriteRateLimiter writeLimiter = new WriteRateLimiter();
    private final LedgerLogReader reader;
    private Phase phase = Phase.IDLE;
    private boolean takeoverRequested;
    private Set<HostId> liveHostsAtCommit = Set.of();
    private boolean pausedSinceCommit;
    private long lastTickMillis = -1;
    private Optional<LedgerLogWrite> write = Optional.empty();
    private Optional<SnapshotWriter> snapshotWriter = Optional.empty();
    private long nextSequence = 1;
    private long readStartedMillis;
    private long retryAtMillis;
    private long backoffMillis = INITIAL_BACKOFF_MILLIS;

    private record QueryId(HostId from, long query) {}

    PartitionOwner(
            int partition,
            LedgerMessenger messenger,
            OperationNumberGenerator operationNumbers,
            RecentOutcomes recentOutcomes) {
        this.partition = partition;
        this.messenger = messenger;
        this.operationNumbers = operationNumbers;
        this.recentOutcomes = recentOutcomes;
        this.reader = new LedgerLogReader(partition, operationNumbers, recentOutcomes);
    }

    /** Returns whether this owner has no pending work and can be removed. */
    boolean isIdle(long nowMillis) {
        return phase == Phase.IDLE && nowMillis >= retryAtMillis && pending.isEmpty() && queries.isEmpty();
    }

    /** Takes the partition over even if no work for it is pending. */
    void takeOwnership(long nowMillis, List<Command> commands) {
        if (phase == Phase.IDLE) {
            takeoverRequested = true;
            advance(nowMillis, commands);
        }
    }

    void handleClaim(HostId from, ClaimRequest request, long nowMillis, List<Command> commands) {
        if (!isPreferredOwner()) {
            sendNotOwner(from, commands);
        } else if (!isBeingWritten(from, request)) {
            if (nowMillis < retryAtMillis
                    || write.map(LedgerLogWrite::isStalled).orElse(false)) {
                reply(
                        from,
                        request,
                        decideWithoutPlatform(from, request, "the platform is unreachable", nowMillis),
                        commands);
            } else {
                pending.add(from, request, nowMillis);
            }
        }
        advance(nowMillis, commands);
    }

    void handleOutcomes(HostId from, OutcomeBatch batch, long nowMillis, List<Command> commands) {
        if (!isPreferredOwner()) {
            sendNotOwner(from, commands);
        } else if (!isBeingWritten(from, batch)) {
            pending.add(from, batch, nowMillis);
        }
        advance(nowMillis, commands);
    }

    void handleQuery(HostId from, OutcomeQuery query, long nowMillis, List<Command> commands) {
        if (isPreferredOwner() && queries.size() < MAX_QUERIES) {
            queries.put(new QueryId(from, query.query()), query);
        } else if (!isPreferredOwner()) {
            sendNotOwner(from, commands);
        }
        advance(nowMillis, commands);
    }

    void tick(long nowMillis, List<Command> commands) {
        pausedSinceCommit |= lastTickMillis >= 0 && nowMillis - lastTickMillis > PAUSE_THRESHOLD_MILLIS;
        lastTickMillis = nowMillis;
        write.ifPresent(current -> current.tick(nowMillis, commands));
        if (phase == Phase.READING && nowMillis - readStartedMillis > READ_TIMEOUT_MILLIS) {
            onReadFailed(nowMillis, commands);
        }
        advance(nowMillis, commands);
    }

    void handle(ObjectApiEvent event, long nowMillis, List<Command> commands) {
        boolean handled = reader.handle(event, commands)
                || write.map(current -> current.handle(event, nowMillis, commands))
                        .orElse(false)
                || snapshotWriter.map(writer -> writer.handle(event, commands)).orElse(false)
                || handleSearches(event, commands);
        if (handled) {
            advance(nowMillis, commands);
        }
    }

    /** Performs the steps that the current state allows; called after every event. */
    private void advance(long nowMillis, List<Command> commands) {
        if (phase == Phase.READING) {
            checkRead(nowMillis, commands);
        }
        write.ifPresent(current -> handleWriteStatus(current, nowMillis, commands));
        if (write.isPresent() || phase == Phase.READING) {
            return;
        }
        if (!isPreferredOwner()) {
            stepDown(commands);
            return;
        }
        if (phase == Phase.IDLE) {
            startTakeover(nowMillis, commands);
        }
        if (phase == Phase.FENCING) {
            writeFence(nowMillis, commands);
        }
        if (phase == Phase.OWNING) {
            replyToQueries(commands);
            commitPending(nowMillis, commands);
        }
    }

    private boolean isPreferredOwner() {
        return messenger.preferredOwner(partition).equals(messenger.self());
    }

    private void startTakeover(long nowMillis, List<Command> commands) {
        if ((pending.isEmpty() && queries.isEmpty() && !takeoverRequested) || nowMillis < retryAtMillis) {
            return;
        }
        takeoverRequested = false;
        phase = Phase.READING;
        readStartedMillis = nowMillis;
        reader.start(commands);
    }

    private void checkRead(long nowMillis, List<Command> commands) {
        if (reader.phase() == LedgerLogReader.Phase.FAILED) {
            onReadFailed(nowMillis, commands);
        } else if (reader.phase() == LedgerLogReader.Phase.DONE) {
            phase = Phase.FENCING;
            nextSequence = reader.nextPosition();
            snapshotWriter = Optional.of(new SnapshotWriter(partition, operationNumbers, reader));
        }
    }

    private void onReadFailed(long nowMillis, List<Command> commands) {
        phase = Phase.IDLE;
        backOff(nowMillis);
        rejectClaims("the platform is unreachable", nowMillis, commands);
    }

    /** Writes an empty batch at the next position, which fences the previous owner. */
    private void writeFence(long nowMillis, List<Command> commands) {
        if (nowMillis >= retryAtMillis && writeLimiter.hasPermit(nowMillis)) {
            writeLimiter.acquire();
            PendingWork.WriteSelection emptySelection =
                    new PendingWork.WriteSelection(List.of(), List.of(), List.of(), Map.of(), List.of());
            startWrite(emptySelection, nowMillis, commands);
        }
    }

    private void commitPending(long nowMillis, List<Command> commands) {
        if (nowMillis < retryAtMillis || !pending.isWriteDue(nowMillis, MAX_OUTCOME_DELAY_MILLIS)) {
            return;
        }
        boolean mayWrite = writeLimiter.hasPermit(nowMillis);
        PendingWork.WriteSelection selection = pending.select(reader.state(), mayWrite, nowMillis);
        selection.decided().forEach((claim, result) -> reply(claim.from(), claim.request(), result, commands));
        selection.alreadyRecorded().forEach(item -> acknowledge(item, commands));
        if (!selection.entries().isEmpty()) {
            writeLimiter.acquire();
            startWrite(selection, nowMillis, commands);
        }
    }

    private void startWrite(PendingWork.WriteSelection selection, long nowMillis, List<Command> commands) {
        String batchId = messenger.self() + "/" + operationNumbers.next();
        LedgerBatch batch = new LedgerBatch(partition, nextSequence, batchId, messenger.self(), selection.entries());
        LedgerLogWrite newWrite = new LedgerLogWrite(batch, selection, operationNumbers);
        write = Optional.of(newWrite);
        newWrite.start(nowMillis, commands);
    }

    private void handleWriteStatus(LedgerLogWrite current, long nowMillis, List<Command> commands) {
        switch (current.status()) {
            case COMMITTED -> {
                write = Optional.empty();
                onCommitted(current, nowMillis, commands);
            }
            case FENCED -> {
                write = Optional.empty();
                pending.requeue(
                        current.selection().claims(), current.selection().outcomes());
                phase = Phase.READING;
                readStartedMillis = nowMillis;
                reader.resume(nextSequence, commands);
                commands.add(timelineEvent("ledger-fenced", "another owner wrote log position " + nextSequence));
            }
            case ABORTED -> {
                write = Optional.empty();
                pending.requeue(
                        current.selection().claims(), current.selection().outcomes());
                backOff(nowMillis);
                rejectClaims("the platform did not execute the write", nowMillis, commands);
            }
            default -> {}
        }
    }

    private void onCommitted(LedgerLogWrite current, long nowMillis, List<Command> commands) {
        backoffMillis = INITIAL_BACKOFF_MILLIS;
        pausedSinceCommit = false;
        liveHostsAtCommit = messenger.liveHosts();
        reader.state().apply(current.batch());
        long fence = nextSequence;
        nextSequence++;
        if (phase == Phase.FENCING) {
            phase = Phase.OWNING;
            commands.add(timelineEvent("ledger-takeover", "took ownership from log position " + fence + " on"));
        }
        for (PendingWork.PendingClaim claim : current.selection().claims()) {
            reply(claim.from(), claim.request(), new ClaimResult.Granted(fence), commands);
        }
        current.selection().outcomes().forEach(item -> acknowledge(item, commands));
        snapshotWriter.ifPresent(writer -> writer.onCommit(reader.state(), fence, nowMillis, commands));
    }

    private void stepDown(List<Command> commands) {
        phase = Phase.IDLE;
        snapshotWriter = Optional.empty();
        searches.clear();
        Set<HostId> senders = new LinkedHashSet<>(pending.removeOutcomes());
        pending.removeClaims().forEach(claim -> senders.add(claim.from()));
        queries.keySet().forEach(id -> senders.add(id.from()));
        queries.clear();
        senders.forEach(sender -> sendNotOwner(sender, commands));
    }

    private void backOff(long nowMillis) {
        retryAtMillis = nowMillis + backoffMillis;
        backoffMillis = Math.min(MAX_BACKOFF_MILLIS, backoffMillis * 2);
    }

    /** Rejects the pending claims; none of them is part of a write, so this owner cannot commit any of them. */
    private void rejectClaims(String reason, long nowMillis, List<Command> commands) {
        for (PendingWork.PendingClaim claim : pending.removeClaims()) {
            reply(
                    claim.from(),
                    claim.request(),
                    decideWithoutPlatform(claim.from(), claim.request(), reason, nowMillis),
                    commands);
        }
    }

    /**
     * Decides a claim while nothing can be committed.
     *
     * <p>Entries committed earlier remain valid, and an owner that holds the state knows whether the key was used.
     */
    private ClaimResult decideWithoutPlatform(HostId from, ClaimRequest request, String reason, long nowMillis) {
        if (phase != Phase.OWNING) {
            return new ClaimResult.Unavailable(reason, false);
        }
        return reader.state()
                .decideClaim(from, request, nowMillis)
                .orElseGet(() -> new ClaimResult.Unavailable(reason, isProbablyStillOwner()));
    }

    /**
     * Returns whether this router probably still owns the partition.
     *
     * <p>Since the last commit, neither was this process paused nor did a router disappear from the view. Another
     * router could take the partition over after either, since a lost router may mean that this one is isolated.
     */
    private boolean isProbablyStillOwner() {
        return !pausedSinceCommit && messenger.liveHosts().containsAll(liveHostsAtCommit);
    }

    private void replyToQueries(List<Command> commands) {
        var waiting = queries.entrySet().iterator();
        while (waiting.hasNext() && searches.size() < MAX_SEARCHES) {
            var item = waiting.next();
            waiting.remove();
            QueryId id = item.getKey();
            Optional<OutcomeRecord> record =
                    reader.state().findOutcome(item.getValue().request());
            if (record.isPresent()) {
                messenger.send(id.from(), new OutcomeReply(id.query(), record), commands);
            } else {
                OutcomeLogSearch search = new OutcomeLogSearch(
                        id.from(),
                        id.query(),
                        item.getValue().request(),
                        partition,
                        nextSequence,
                        recentOutcomes.firstCachedPosition(partition),
                        operationNumbers);
                searches.add(search);
                search.readNext(commands);
                finishSearch(search, commands);
            }
        }
    }

    private boolean handleSearches(ObjectApiEvent event, List<Command> commands) {
        if (searches.removeIf(search -> search.isFailedBy(event))) {
            return true;
        }
        for (OutcomeLogSearch search : List.copyOf(searches)) {
            if (search.handle(event, commands)) {
                finishSearch(search, commands);
                return true;
            }
        }
        return false;
    }

    private void finishSearch(OutcomeLogSearch search, List<Command> commands) {
        if (search.isDone()) {
            searches.remove(search);
            messenger.send(search.requester(), new OutcomeReply(search.query(), search.found()), commands);
        }
    }

    private boolean isBeingWritten(HostId from, ClaimRequest request) {
        return write.isPresent()
                && write.get().selection().claims().stream()
                        .anyMatch(claim -> claim.from().equals(from)
                                && claim.request().request().equals(request.request()));
    }

    private boolean isBeingWritten(HostId from, OutcomeBatch batch) {
        return write.isPresent()
                && write.get().selection().outcomes().stream()
                        .anyMatch(
                                item -> item.from().equals(from) && item.batch().batch() == batch.batch());
    }

    private void reply(HostId to, ClaimRequest request, ClaimResult result, List<Command> commands) {
        messenger.send(to, new ClaimReply(request.request(), result), commands);
    }

    private void acknowledge(PendingWork.PendingOutcomes item, List<Command> commands) {
        messenger.send(item.from(), new OutcomeAck(partition, item.batch().batch()), commands);
    }

    private void sendNotOwner(HostId to, List<Command> commands) {
        messenger.send(to, new NotOwner(partition, Optional.of(messenger.preferredOwner(partition))), commands);
    }

    private Command timelineEvent(String kind, String text) {
        return new Command.RecordTimelineEvent(kind, "partition " + partition, text);
    }
}
