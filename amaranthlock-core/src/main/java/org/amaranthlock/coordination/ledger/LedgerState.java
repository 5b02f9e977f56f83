package org.amaranthlock.coordination.ledger;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.amaranthlock.model.ExecutionStatus;
import org.amaranthlock.model.HostId;
import org.amaranthlock.model.OutcomeRecord;
import org.amaranthlock.model.RequestId;
import org.amaranthlock.protocol.objectapi.ObjectApiValue.ClaimEntry;
import org.amaranthlock.protocol.objectapi.ObjectApiValue.FencedClaim;
import org.amaranthlock.protocol.objectapi.ObjectApiValue.LedgerBatch;
import org.amaranthlock.protocol.objectapi.ObjectApiValue.LedgerEntry;
import org.amaranthlock.protocol.objectapi.ObjectApiValue.LedgerSnapshot;
import org.amaranthlock.protocol.objectapi.ObjectApiValue.OutcomeEntry;
import org.amaranthlock.protocol.peer.ClaimResult;
import org.amaranthlock.protocol.peer.PeerMessage.ClaimRequest;
import org.amaranthlock.protocol.peer.PeerMessage.FinalOutcome;

/** Claims and outcomes of a partition up to a position of its log. */
final class LedgerState {
    /** How long the outcome of an at-most-once request answers repeats of its key. */
    static final long CLOSED_RETENTION_MILLIS = 86_400_000;

    private final int partition;
    private final RecentOutcomes recent;
    private final Map<String, FencedClaim> open = new LinkedHashMap<>();
    private final Map<String, ClosedClaim> closed = new LinkedHashMap<>();

    LedgerState(int partition, RecentOutcomes recent) {
        this.partition = partition;
        this.recent = recent;
    }

    /** Adds the claims and outcomes of a snapshot or of one of its parts; parts come in order. */
    void load(LedgerSnapshot snapshot) {
        snapshot.open().forEach(claim -> open.put(claim.claim().ledgerKey(), claim));
        for (FinalOutcome outcome : snapshot.closed()) {
            String key = outcome.record().ledgerKey();
            FencedClaim claim = open.get(key);
            boolean own = claim != null
                    && claim.claim().request().equals(outcome.record().request());
            if (own) {
                open.remove(key);
            }
            OptionalLong fingerprint = own ? OptionalLong.of(claim.claim().fingerprint()) : OptionalLong.empty();
            closed.put(key, new ClosedClaim(outcome, fingerprint, own ? claim.fence() : 0));
        }
    }

    /** Applies a position of the log; positions come in order. */
    void apply(LedgerBatch batch) {
        for (LedgerEntry entry : batch.entries()) {
            switch (entry) {
                case ClaimEntry claim -> {
                    closed.remove(claim.ledgerKey());
                    open.put(claim.ledgerKey(), new FencedClaim(claim, batch.sequence()));
                }
                case OutcomeEntry outcome -> close(outcome.outcome(), batch.sequence());
            }
        }
    }

    /** Remembers the records of a position that a snapshot already contains. */
    void applyRecordsOnly(LedgerBatch batch) {
        for (LedgerEntry entry : batch.entries()) {
            if (entry instanceof OutcomeEntry outcome) {
                recent.add(partition, batch.sequence(), outcome.outcome().record());
            }
        }
    }

    private void close(FinalOutcome outcome, long sequence) {
        OutcomeRecord record = outcome.record();
        recent.add(partition, sequence, record);
        FencedClaim claim = open.get(record.ledgerKey());
        if (claim != null && claim.claim().request().equals(record.request())) {
            open.remove(record.ledgerKey());
            closed.put(
                    record.ledgerKey(),
                    new ClosedClaim(outcome, OptionalLong.of(claim.claim().fingerprint()), claim.fence()));
        }
    }

    /** Tells whether an outcome changes nothing, because the request has one and holds no open claim. */
    boolean contains(FinalOutcome outcome) {
        OutcomeRecord record = outcome.record();
        FencedClaim claim = open.get(record.ledgerKey());
        if (claim != null && claim.claim().request().equals(record.request())) {
            return false;
        }
        ClosedClaim past = closed.get(record.ledgerKey());
        boolean closedBefore = past != null && past.outcome().record().request().equals(record.request());
        return closedBefore || recent.find(record.request()).isPresent();
    }

    Optional<OutcomeRecord> outcome(RequestId request) {
        return recent.find(request);
    }

    /** Returns the verdict on a claim, or empty if it may be granted by a new entry of the log. */
    Optional<ClaimResult> decide(HostId from, ClaimRequest claim, long nowMillis) {
        FencedClaim held = open.get(claim.ledgerKey());
        if (held != null) {
            return Optional.of(decideOpen(from, claim, held));
        }
        ClosedClaim past = closed.get(claim.ledgerKey());
        if (past != null) {
            Optional<ClaimResult> verdict = decideClosed(claim, past, nowMillis);
            if (verdict.isPresent()) {
                return verdict;
            }
        }
        return recent.find(claim.request()).map(record -> new ClaimResult.Closed(record, Optional.empty(), 0));
    }

    private static ClaimResult decideOpen(HostId from, ClaimRequest claim, FencedClaim held) {
        ClaimEntry entry = held.claim();
        if (entry.fingerprint() != claim.fingerprint()) {
            return new ClaimResult.KeyReused();
        }
        boolean repeated =
                entry.request().equals(claim.request()) && entry.holder().equals(from);
        return repeated
                ? new ClaimResult.Granted(held.fence())
                : new ClaimResult.Held(entry.holder(), held.fence(), entry.request());
    }

    private static Optional<ClaimResult> decideClosed(ClaimRequest claim, ClosedClaim past, long nowMillis) {
        OutcomeRecord record = past.outcome().record();
        boolean sameRequest = record.request().equals(claim.request());
        if (!sameRequest && (record.executionStatus() == ExecutionStatus.NOT_RUN || past.expired(nowMillis))) {
            return Optional.empty();
        }
        if (past.fingerprint().isPresent() && past.fingerprint().getAsLong() != claim.fingerprint()) {
            return Optional.of(new ClaimResult.KeyReused());
        }
        return Optional.of(new ClaimResult.Closed(record, past.outcome().response(), past.fence()));
    }

    /** Forgets the outcomes that are too old to answer repeats. */
    void removeExpired(long nowMillis) {
        closed.values().removeIf(claim -> claim.expired(nowMillis));
    }

    /**
     * Returns the state as snapshot parts, the last of which is empty.
     *
     * @param maxCharacters approximate size of a part
     */
    List<LedgerSnapshot> snapshot(long upTo, int maxCharacters) {
        SnapshotParts parts = new SnapshotParts(partition, upTo, maxCharacters);
        open.values().forEach(parts::add);
        closed.values().forEach(claim -> parts.add(claim.asClaim(), claim.outcome()));
        return parts.finish();
    }

    private record ClosedClaim(FinalOutcome outcome, OptionalLong fingerprint, long fence) {
        private boolean expired(long nowMillis) {
            return nowMillis - outcome.record().endedAtMillis() > CLOSED_RETENTION_MILLIS;
        }

        private Optional<FencedClaim> asClaim() {
            if (fingerprint.isEmpty()) {
                return Optional.empty();
            }
            OutcomeRecord record = outcome.record();
            ClaimEntry claim =
                    new ClaimEntry(record.ledgerKey(), fingerprint.getAsLong(), record.request(), record.router());
            return Optional.of(new FencedClaim(claim, fence));
        }
    }
}
