package org.amaranthlock.coordination.ledger;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.amaranthlock.model.HostId;
import org.amaranthlock.model.RequestId;
import org.amaranthlock.protocol.objectapi.ObjectApiValue.ClaimEntry;
import org.amaranthlock.protocol.objectapi.ObjectApiValue.LedgerEntry;
import org.amaranthlock.protocol.objectapi.ObjectApiValue.OutcomeEntry;
import org.amaranthlock.protocol.peer.ClaimResult;
import org.amaranthlock.protocol.peer.PeerMessage.ClaimRequest;
import org.amaranthlock.protocol.peer.PeerMessage.FinalOutcome;
import org.amaranthlock.protocol.peer.PeerMessage.OutcomeBatch;

/** Queue of the claims and outcomes that wait for the next write of a partition. */
final class PendingWork {
    /** Keeps a batch below the platform's limit of 1 MB per object. */
    private static final int MAX_BATCH_CHARACTERS = 400_000;

    private static final int MAX_BATCH_ENTRIES = 500;
    private static final int CLAIM_OVERHEAD_CHARACTERS = 300;
    /** The client has abandoned an older claim, so a grant would only have to be closed again. */
    private static final long CLAIM_TIMEOUT_MILLIS = 1_500;

    private final Map<ClaimId, PendingClaim> claims = new LinkedHashMap<>();
    private final Map<OutcomeBatchId, PendingOutcomes> outcomes = new LinkedHashMap<>();

    /** Identifies a claim, so that a retry of a pending claim is ignored. */
    record ClaimId(HostId from, RequestId request) {}

    /** A pending claim with its time of arrival. */
    record PendingClaim(HostId from, ClaimRequest request, long receivedAtMillis) {}

    /** Identifies a batch of outcomes of a client. */
    record OutcomeBatchId(HostId from, long batch) {}

    /** A pending batch of outcomes with its time of arrival. */
    record PendingOutcomes(HostId from, OutcomeBatch batch, long receivedAtMillis) {}

    /**
     * Work for the next write, and work that needs no write.
     *
     * @param entries log entries of the next write
     * @param claims claims that the write grants
     * @param outcomes outcome batches that the write records
     * @param decided claims that are decided without a write, with their results
     * @param alreadyRecorded outcome batches that the log already contains
     */
    record WriteSelection(
            List<LedgerEntry> entries,
            List<PendingClaim> claims,
            List<PendingOutcomes> outcomes,
            Map<PendingClaim, ClaimResult> decided,
            List<PendingOutcomes> alreadyRecorded) {}

    void add(HostId from, ClaimRequest request, long nowMillis) {
        claims.putIfAbsent(new ClaimId(from, request.request()), new PendingClaim(from, request, nowMillis));
    }

    void add(HostId from, OutcomeBatch batch, long nowMillis) {
        outcomes.putIfAbsent(new OutcomeBatchId(from, batch.batch()), new PendingOutcomes(from, batch, nowMillis));
    }

    /** Returns work to the queue after a write that did not take effect. */
    void requeue(List<PendingClaim> returnedClaims, List<PendingOutcomes> returnedOutcomes) {
        returnedClaims.forEach(claim ->
                claims.putIfAbsent(new ClaimId(claim.from(), claim.request().request()), claim));
        returnedOutcomes.forEach(item -> outcomes.putIfAbsent(
                new OutcomeBatchId(item.from(), item.batch().batch()), item));
    }

    boolean isEmpty() {
        return claims.isEmpty() && outcomes.isEmpty();
    }

    /** Returns whether a write is due: immediately for claims, after a delay for outcomes. */
    boolean isWriteDue(long nowMillis, long outcomeDelayMillis) {
        if (!claims.isEmpty()) {
            return true;
        }
        return !outcomes.isEmpty()
                && nowMillis - outcomes.values().iterator().next().receivedAtMillis() >= outcomeDelayMillis;
    }

    /** Removes all claims and returns them. */
    List<PendingClaim> removeClaims() {
        List<PendingClaim> removed = new ArrayList<>(claims.values());
        claims.clear();
        return removed;
    }

    /** Removes all outcomes and returns their senders. */
    Set<HostId> removeOutcomes() {
        Set<HostId> senders = new LinkedHashSet<>();
        outcomes.values().forEach(item -> senders.add(item.from()));
        outcomes.clear();
        return senders;
    }

    /**
     * Removes and returns the work that can be completed or written now.
     *
     * @param state the committed state that a write would extend
     * @param mayWrite whether a write may be started; if not, only work that needs no write is returned
     */
    WriteSelection select(LedgerState state, boolean mayWrite, long nowMillis) {
        WriteSelection selection = new WriteSelection(
                new ArrayList<>(), new ArrayList<>(), new ArrayList<>(), new LinkedHashMap<>(), new ArrayList<>());
        Set<RequestId> requestsInWrite = new HashSet<>();
        Set<String> keysInWrite = new HashSet<>();
        int characters = selectOutcomes(state, mayWrite, selection, requestsInWrite, keysInWrite);
        selectClaims(state, mayWrite, selection, requestsInWrite, keysInWrite, characters, nowMillis);
        outcomes.values().removeAll(selection.outcomes());
        outcomes.values().removeAll(selection.alreadyRecorded());
        claims.values().removeAll(selection.claims());
        claims.values().removeAll(selection.decided().keySet());
        return selection;
    }

    private int selectOutcomes(
            LedgerState state,
            boolean mayWrite,
            WriteSelection selection,
            Set<RequestId> requestsInWrite,
            Set<String> keysInWrite) {
        int characters = 0;
        for (PendingOutcomes item : outcomes.values()) {
            List<FinalOutcome> missing = new ArrayList<>(item.batch().outcomes());
            missing.removeIf(state::isAlreadyRecorded);
            if (missing.isEmpty()) {
                selection.alreadyRecorded().add(item);
                continue;
            }
            int size =
                    missing.stream().mapToInt(SnapshotPartBuilder::estimateSize).sum();
            boolean full = characters + size > MAX_BATCH_CHARACTERS
                    || selection.entries().size() + missing.size() > MAX_BATCH_ENTRIES;
            if (!mayWrite || (full && !selection.outcomes().isEmpty())) {
                continue;
            }
            for (FinalOutcome outcome : missing) {
                if (requestsInWrite.add(outcome.record().request())) {
                    selection.entries().add(new OutcomeEntry(outcome));
                    keysInWrite.add(outcome.record().ledgerKey());
                }
            }
            selection.outcomes().add(item);
            characters += size;
        }
        return characters;
    }

    /** Selects claims; those whose key or request already occurs in the same write wait for the next one. */
    private void selectClaims(
            LedgerState state,
            boolean mayWrite,
            WriteSelection selection,
            Set<RequestId> requestsInWrite,
            Set<String> keysInWrite,
            int usedCharacters,
            long nowMillis) {
        int characters = usedCharacters;
        for (PendingClaim claim : claims.values()) {
            ClaimRequest request = claim.request();
            if (nowMillis - claim.receivedAtMillis() > CLAIM_TIMEOUT_MILLIS) {
                ClaimResult result = state.decideClaim(claim.from(), request, nowMillis)
                        .orElseGet(() -> new ClaimResult.Unavailable("the ledger did not respond in time", false));
                selection.decided().put(claim, result);
                continue;
            }
            if (requestsInWrite.contains(request.request()) || keysInWrite.contains(request.ledgerKey())) {
                continue;
            }
            Optional<ClaimResult> result = state.decideClaim(claim.from(), request, nowMillis);
            if (result.isPresent()) {
                selection.decided().put(claim, result.get());
                continue;
            }
            characters += CLAIM_OVERHEAD_CHARACTERS + request.ledgerKey().length();
            if (!mayWrite
                    || (characters > MAX_BATCH_CHARACTERS
                            && !selection.entries().isEmpty())) {
                continue;
            }
            keysInWrite.add(request.ledgerKey());
            selection.claims().add(claim);
            selection
                    .entries()
                    .add(new ClaimEntry(request.ledgerKey(), request.fingerprint(), request.request(), claim.from()));
        }
    }
}
