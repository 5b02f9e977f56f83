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
import org.amaranthlock.protocol.peer.PeerMessage.OutcomeAnswer;
import org.amaranthlock.protocol.peer.PeerMessage.OutcomeBatch;
import org.amaranthlock.protocol.peer.PeerMessage.OutcomeQuery;

/**
 * Owner side of one ledger partition.
 *
 * <p>A router takes a partition over when it receives work for it and is the preferred owner in its own view: it reads
 * the log and creates the next position. Each position can be created once, so an earlier owner notices at its next
 * write that it has been fenced. Nothing is answered from memory before the first own position is committed.
 */
final class PartitionOwner {
    private static final long OUTCOME_DELAY_MILLIS = 500;
    private static final long FIRST_BACKOFF_MILLIS = 250;
    private static final long MAX_BACKOFF_MILLIS = 2_000;
    private static final long READ_TIMEOUT_MILLIS = 15_000;
    /** A longer gap between two ticks means that this process was paused, and another owner may have taken over. */
    private static final long PAUSE_MILLIS = 500;

    private static final int MAX_SEARCHES = 8;
    private static final int MAX_QUERIES = 100;

    private enum Phase {
        IDLE,
        READING,
        FENCING,
        OWNING
    }

    private final int partition;
    private final LedgerMessenger peers;
    private final OperationNumberGenerator numbers;
    private final RecentOutcomes recent;
    private final PendingWork pending = new PendingWork();
    private final Map<QueryId, OutcomeQuery> queries = new LinkedHashMap<>();
    private final List<OutcomeLogSearch> searches = new ArrayList<>();
    private final WriteRateLimiter bucket = new WriteRateLimiter();
    private final LedgerLogReader reader;
    private Phase phase = Phase.IDLE;
    private boolean wanted;
    private Set<HostId> liveAtCommit = Set.of();
    private boolean pausedSinceCommit;
    private long lastTickMillis = -1;
    private Optional<LedgerLogWrite> write = Optional.empty();
    private Optional<SnapshotWriter> snapshots = Optional.empty();
    private long nextSequence = 1;
    private long readStartedMillis;
    private long retryAtMillis;
    private long backoffMillis = FIRST_BACKOFF_MILLIS;

    private record QueryId(HostId from, long query) {}

    PartitionOwner(int partition, LedgerMessenger peers, OperationNumberGenerator numbers, RecentOutcomes recent) {
        this.partition = partition;
        this.peers = peers;
        this.numbers = numbers;
        this.recent = recent;
        this.reader = new LedgerLogReader(partition, numbers, recent);
    }

    /** Tells whether this owner has nothing to do and can be dropped. */
    boolean isIdle(long nowMillis) {
        return phase == Phase.IDLE && nowMillis >= retryAtMillis && pending.isEmpty() && queries.isEmpty();
    }

    /** Takes the partition over without work for it. */
    void takeOwnership(long nowMillis, List<Command> commands) {
        if (phase == Phase.IDLE) {
            wanted = true;
            advance(nowMillis, commands);
        }
    }

    void handleClaim(HostId from, ClaimRequest request, long nowMillis, List<Command> commands) {
        if (!preferred()) {
            refuse(from, commands);
        } else if (!inWrite(from, request)) {
            if (nowMillis < retryAtMillis || write.map(LedgerLogWrite::stalled).orElse(false)) {
                reply(
                        from,
                        request,
                        withoutPlatform(from, request, "the platform can't be reached", nowMillis),
                        commands);
            } else {
                pending.add(from, request, nowMillis);
            }
        }
        advance(nowMillis, commands);
    }

    void handleOutcomes(HostId from, OutcomeBatch batch, long nowMillis, List<Command> commands) {
        if (!preferred()) {
            refuse(from, commands);
        } else if (!inWrite(from, batch)) {
            pending.add(from, batch, nowMillis);
        }
        advance(nowMillis, commands);
    }

    void handleQuery(HostId from, OutcomeQuery query, long nowMillis, List<Command> commands) {
        if (preferred() && queries.size() < MAX_QUERIES) {
            queries.put(new QueryId(from, query.query()), query);
        } else if (!preferred()) {
            refuse(from, commands);
        }
        advance(nowMillis, commands);
    }

    void tick(long nowMillis, List<Command> commands) {
        pausedSinceCommit |= lastTickMillis >= 0 && nowMillis - lastTickMillis > PAUSE_MILLIS;
        lastTickMillis = nowMillis;
        write.ifPresent(current -> current.tick(nowMillis, commands));
        if (phase == Phase.READING && nowMillis - readStartedMillis > READ_TIMEOUT_MILLIS) {
            readFailed(nowMillis, commands);
        }
        advance(nowMillis, commands);
    }

    void handle(ObjectApiEvent event, long nowMillis, List<Command> commands) {
        boolean known = reader.handle(event, commands)
                || write.map(current -> current.handle(event, nowMillis, commands))
                        .orElse(false)
                || snapshots.map(writer -> writer.handle(event, commands)).orElse(false)
                || handleSearches(event, commands);
        if (known) {
            advance(nowMillis, commands);
        }
    }

    private void advance(long nowMillis, List<Command> commands) {
        if (phase == Phase.READING) {
            readingDone(nowMillis, commands);
        }
        write.ifPresent(current -> settle(current, nowMillis, commands));
        if (write.isPresent() || phase == Phase.READING) {
            return;
        }
        if (!preferred()) {
            stepDown(commands);
            return;
        }
        if (phase == Phase.IDLE) {
            takeOver(nowMillis, commands);
        }
        if (phase == Phase.FENCING) {
            fence(nowMillis, commands);
        }
        if (phase == Phase.OWNING) {
            answerQueries(commands);
            commit(nowMillis, commands);
        }
    }

    private boolean preferred() {
        return peers.preferredOwner(partition).equals(peers.self());
    }

    private void takeOver(long nowMillis, List<Command> commands) {
        if ((pending.isEmpty() && queries.isEmpty() && !wanted) || nowMillis < retryAtMillis) {
            return;
        }
        wanted = false;
        phase = Phase.READING;
        readStartedMillis = nowMillis;
        reader.start(commands);
    }

    private void readingDone(long nowMillis, List<Command> commands) {
        if (reader.phase() == LedgerLogReader.Phase.FAILED) {
            readFailed(nowMillis, commands);
        } else if (reader.phase() == LedgerLogReader.Phase.DONE) {
            phase = Phase.FENCING;
            nextSequence = reader.next();
            snapshots = Optional.of(new SnapshotWriter(partition, numbers, reader));
        }
    }

    private void readFailed(long nowMillis, List<Command> commands) {
        phase = Phase.IDLE;
        backOff(nowMillis);
        refuseClaims("the platform can't be reached", nowMillis, commands);
    }

    /** Creates an empty position, which fences the owner before. */
    private void fence(long nowMillis, List<Command> commands) {
        if (nowMillis >= retryAtMillis && bucket.hasPermit(nowMillis)) {
            bucket.acquire();
            PendingWork.WriteSelection nothing =
                    new PendingWork.WriteSelection(List.of(), List.of(), List.of(), Map.of(), List.of());
            startWrite(nothing, nowMillis, commands);
        }
    }

    private void commit(long nowMillis, List<Command> commands) {
        if (nowMillis < retryAtMillis || !pending.due(nowMillis, OUTCOME_DELAY_MILLIS)) {
            return;
        }
        boolean mayWrite = bucket.hasPermit(nowMillis);
        PendingWork.WriteSelection work = pending.select(reader.state(), mayWrite, nowMillis);
        work.decided().forEach((claim, verdict) -> reply(claim.from(), claim.request(), verdict, commands));
        work.known().forEach(item -> acknowledge(item, commands));
        if (!work.entries().isEmpty()) {
            bucket.acquire();
            startWrite(work, nowMillis, commands);
        }
    }

    private void startWrite(PendingWork.WriteSelection work, long nowMillis, List<Command> commands) {
        String batchId = peers.self() + "/" + numbers.next();
        LedgerBatch batch = new LedgerBatch(partition, nextSequence, batchId, peers.self(), work.entries());
        LedgerLogWrite started = new LedgerLogWrite(batch, work, numbers);
        write = Optional.of(started);
        started.start(nowMillis, commands);
    }

    private void settle(LedgerLogWrite current, long nowMillis, List<Command> commands) {
        switch (current.status()) {
            case COMMITTED -> {
                write = Optional.empty();
                committed(current, nowMillis, commands);
            }
            case FENCED -> {
                write = Optional.empty();
                pending.requeue(current.work().claims(), current.work().outcomes());
                phase = Phase.READING;
                readStartedMillis = nowMillis;
                reader.resume(nextSequence, commands);
                commands.add(trace("ledger-fenced", "another owner wrote position " + nextSequence));
            }
            case ABORTED -> {
                write = Optional.empty();
                pending.requeue(current.work().claims(), current.work().outcomes());
                backOff(nowMillis);
                refuseClaims("the platform did not accept the write", nowMillis, commands);
            }
            default -> {}
        }
    }

    private void committed(LedgerLogWrite current, long nowMillis, List<Command> commands) {
        backoffMillis = FIRST_BACKOFF_MILLIS;
        pausedSinceCommit = false;
        liveAtCommit = peers.liveHosts();
        reader.state().apply(current.batch());
        long fence = nextSequence;
        nextSequence++;
        if (phase == Phase.FENCING) {
            phase = Phase.OWNING;
            commands.add(trace("ledger-takeover", "owner from position " + fence + " on"));
        }
        for (PendingWork.PendingClaim claim : current.work().claims()) {
            reply(claim.from(), claim.request(), new ClaimResult.Granted(fence), commands);
        }
        current.work().outcomes().forEach(item -> acknowledge(item, commands));
        snapshots.ifPresent(writer -> writer.onCommit(reader.state(), fence, nowMillis, commands));
    }

    private void stepDown(List<Command> commands) {
        phase = Phase.IDLE;
        snapshots = Optional.empty();
        searches.clear();
        Set<HostId> senders = new LinkedHashSet<>(pending.clearOutcomes());
        pending.takeClaims().forEach(claim -> senders.add(claim.from()));
        queries.keySet().forEach(id -> senders.add(id.from()));
        queries.clear();
        senders.forEach(sender -> refuse(sender, commands));
    }

    private void backOff(long nowMillis) {
        retryAtMillis = nowMillis + backoffMillis;
        backoffMillis = Math.min(MAX_BACKOFF_MILLIS, backoffMillis * 2);
    }

    /** Refuses the waiting claims; none of them is in a write, so none can be committed by this owner. */
    private void refuseClaims(String reason, long nowMillis, List<Command> commands) {
        for (PendingWork.PendingClaim claim : pending.takeClaims()) {
            reply(
                    claim.from(),
                    claim.request(),
                    withoutPlatform(claim.from(), claim.request(), reason, nowMillis),
                    commands);
        }
    }

    /**
     * Decides on a claim while nothing can be committed: what was committed before is still true, and an owner that
     * has the state knows whether the key was used.
     */
    private ClaimResult withoutPlatform(HostId from, ClaimRequest request, String reason, long nowMillis) {
        if (phase != Phase.OWNING) {
            return new ClaimResult.Unavailable(reason, false);
        }
        return reader.state()
                .decide(from, request, nowMillis)
                .orElseGet(() -> new ClaimResult.Unavailable(reason, probablyStillOwner()));
    }

    /**
     * Tells whether nothing has happened since the last commit that would let another router take the partition over:
     * neither a pause of this process nor the loss of a router, which may be this one's own isolation.
     */
    private boolean probablyStillOwner() {
        return !pausedSinceCommit && peers.liveHosts().containsAll(liveAtCommit);
    }

    private void answerQueries(List<Command> commands) {
        var waiting = queries.entrySet().iterator();
        while (waiting.hasNext() && searches.size() < MAX_SEARCHES) {
            var item = waiting.next();
            waiting.remove();
            QueryId id = item.getKey();
            Optional<OutcomeRecord> record =
                    reader.state().outcome(item.getValue().request());
            if (record.isPresent()) {
                peers.send(id.from(), new OutcomeAnswer(id.query(), record), commands);
            } else {
                OutcomeLogSearch search = new OutcomeLogSearch(
                        id.from(),
                        id.query(),
                        item.getValue().request(),
                        partition,
                        nextSequence,
                        recent.firstCachedPosition(partition),
                        numbers);
                searches.add(search);
                search.next(commands);
                finish(search, commands);
            }
        }
    }

    private boolean handleSearches(ObjectApiEvent event, List<Command> commands) {
        if (searches.removeIf(search -> search.failedBy(event))) {
            return true;
        }
        for (OutcomeLogSearch search : List.copyOf(searches)) {
            if (search.handle(event, commands)) {
                finish(search, commands);
                return true;
            }
        }
        return false;
    }

    private void finish(OutcomeLogSearch search, List<Command> commands) {
        if (search.done()) {
            searches.remove(search);
            peers.send(search.requester(), new OutcomeAnswer(search.query(), search.found()), commands);
        }
    }

    private boolean inWrite(HostId from, ClaimRequest request) {
        return write.isPresent()
                && write.get().work().claims().stream()
                        .anyMatch(claim -> claim.from().equals(from)
                                && claim.request().request().equals(request.request()));
    }

    private boolean inWrite(HostId from, OutcomeBatch batch) {
        return write.isPresent()
                && write.get().work().outcomes().stream()
                        .anyMatch(
                                item -> item.from().equals(from) && item.batch().batch() == batch.batch());
    }

    private void reply(HostId to, ClaimRequest request, ClaimResult verdict, List<Command> commands) {
        peers.send(to, new ClaimReply(request.request(), verdict), commands);
    }

    private void acknowledge(PendingWork.PendingOutcomes item, List<Command> commands) {
        peers.send(item.from(), new OutcomeAck(partition, item.batch().batch()), commands);
    }

    private void refuse(HostId to, List<Command> commands) {
        peers.send(to, new NotOwner(partition, Optional.of(peers.preferredOwner(partition))), commands);
    }

    private Command trace(String kind, String text) {
        return new Command.RecordTimelineEvent(kind, "partition " + partition, text);
    }
}
