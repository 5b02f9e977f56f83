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

/** In-memory state of a partition: its claims and outcomes up to a position of its log. */
final class LedgerState {
    /** How long the outcome of an at-most-once request is returned for retries with the same key. */
    static final long CLOSED_RETENTION_MILLIS = 86_400_000;

    private final int partition;
    private final RecentOutcomes recentOutcomes;
    private final Map<String, FencedClaim> openClaims = new LinkedHashMap<>();
    private final Map<String, ClosedClaim> closedClaims = new LinkedHashMap<>();

    LedgerState(int partition, RecentOutcomes recentOutcomes) {
        this.partition = partition;
        this.recentOutcomes = recentOutcomes;
    }

    /** Adds the claims and outcomes of a snapshot or of one of its parts; parts must be loaded in order. */
    void loadSnapshot(LedgerSnapshot snapshot) {
        snapshot.open().forEach(claim -> openClaims.put(claim.claim().ledgerKey(), claim));
        for (FinalOutcome outcome : snapshot.closed()) {
            String key = outcome.record().ledgerKey();
            FencedClaim claim = openClaims.get(key);
            boolean sameRequest = claim != null
                    && claim.claim().request().equals(outcome.record().request());
            if (sameRequest) {
                openClaims.remove(key);
            }
            OptionalLong fingerprint =
                    sameRequest ? OptionalLong.of(claim.claim().fingerprint()) : OptionalLong.empty();
            closedClaims.put(key, new ClosedClaim(outcome, fingerprint, sameRequest ? claim.fence() : 0));
        }
    }

    /** Applies a position of the log; positions must be applied in order. */
    void apply(LedgerBatch batch) {
        for (LedgerEntry entry : batch.entries()) {
            switch (entry) {
                case ClaimEntry claim -> {
                    closedClaims.remove(claim.ledgerKey());
                    openClaims.put(claim.ledgerKey(), new FencedClaim(claim, batch.sequence()));
                }
                case OutcomeEntry outcome -> close(outcome.outcome(), batch.sequence());
            }
        }
    }

    /** Caches the outcome records of a position that the snapshot already contains. */
    void applyRecordsOnly(LedgerBatch batch) {
        for (LedgerEntry entry : batch.entries()) {
            if (entry instanceof OutcomeEntry outcome) {
                recentOutcomes.add(
                        partition, batch.sequence(), outcome.outcome().record());
            }
        }
    }

    private void close(FinalOutcome outcome, long sequence) {
        OutcomeRecord record = outcome.record();
        recentOutcomes.add(partition, sequence, record);
        FencedClaim claim = openClaims.get(record.ledgerKey());
        if (claim != null && claim.claim().request().equals(record.request())) {
            openClaims.remove(record.ledgerKey());
            closedClaims.put(
                    record.ledgerKey(),
                    new ClosedClaim(outcome, OptionalLong.of(claim.claim().fingerprint()), claim.fence()));
        }
    }

    /** Returns whether the request of an outcome already has a recorded outcome and holds no open claim. */
    boolean isAlreadyRecorded(FinalOutcome outcome) {
        OutcomeRecord record = outcome.record();
        FencedClaim claim = openClaims.get(record.ledgerKey());
        if (claim != null && claim.claim().request().equals(record.request())) {
            return false;
        }
        ClosedClaim closed = closedClaims.get(record.ledgerKey());
        boolean isClosed = closed != null && closed.outcome().record().request().equals(record.request());
        return isClosed || recentOutcomes.find(record.request()).isPresent();
    }

    Optional<OutcomeRecord> findOutcome(RequestId request) {
        return recentOutcomes.find(request);
    }

    /** Returns the result of a claim, or empty if it may be granted by a new log entry. */
    Optional<ClaimResult> decideClaim(HostId from, ClaimRequest claim, long nowMillis) {
        FencedClaim open = openClaims.get(claim.ledgerKey());
        if (open != null) {
            return Optional.of(decideOpen(from, claim, open));
        }
        ClosedClaim closed = closedClaims.get(claim.ledgerKey());
        if (closed != null) {
            Optional<ClaimResult> result = decideClosed(claim, closed, nowMillis);
            if (result.isPresent()) {
                return result;
            }
        }
        return recentOutcomes.find(claim.request()).map(record -> new ClaimResult.Closed(record, Optional.empty(), 0));
    }

    private static ClaimResult decideOpen(HostId from, ClaimRequest claim, FencedClaim open) {
        ClaimEntry entry = open.claim();
        if (entry.fingerprint() != claim.fingerprint()) {
            return new ClaimResult.KeyReused();
        }
        boolean isRetry =
                entry.request().equals(claim.request()) && entry.holder().equals(from);
        return isRetry
                ? new ClaimResult.Granted(open.fence())
                : new ClaimResult.Held(entry.holder(), open.fence(), entry.request());
    }

    /** Returns empty if the key may be claimed again: its earlier request did not run or its outcome has expired. */
    private static Optional<ClaimResult> decideClosed(ClaimRequest claim, ClosedClaim closed, long nowMillis) {
        OutcomeRecord record = closed.outcome().record();
        boolean sameRequest = record.request().equals(claim.request());
        if (!sameRequest && (record.executionStatus() == ExecutionStatus.NOT_RUN || closed.isExpired(nowMillis))) {
            return Optional.empty();
        }
        if (closed.fingerprint().isPresent() && closed.fingerprint().getAsLong() != claim.fingerprint()) {
            return Optional.of(new ClaimResult.KeyReused());
        }
        return Optional.of(new ClaimResult.Closed(record, closed.outcome().response(), closed.fence()));
    }

    /** Removes the outcomes that are too old to be returned for retries. */
    void removeExpired(long nowMillis) {
        closedClaims.values().removeIf(claim -> claim.isExpired(nowMillis));
    }

    /**
     * Returns the state as snapshot parts, the last of which is empty.
     *
     * @param lastSequence last position that the state contains
     * @param maxCharacters approximate size of a part
     */
    List<LedgerSnapshot> createSnapshot(long lastSequence, int maxCharacters) {
        SnapshotPartBuilder parts = new SnapshotPartBuilder(partition, lastSequence, maxCharacters);
        openClaims.values().forEach(parts::add);
        closedClaims.values().forEach(claim -> parts.add(claim.toFencedClaim(), claim.outcome()));
        return parts.build();
    }

    private record ClosedClaim(FinalOutcome outcome, OptionalLong fingerprint, long fence) {
        private boolean isExpired(long nowMillis) {
            return nowMillis - outcome.record().endedAtMillis() > CLOSED_RETENTION_MILLIS;
        }

        private Optional<FencedClaim> toFencedClaim() {
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
