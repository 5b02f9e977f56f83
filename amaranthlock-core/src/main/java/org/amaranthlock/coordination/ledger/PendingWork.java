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

/** Claims and outcomes that wait for the next write of a partition. */
final class PendingWork {
    /** Keeps a batch below the 1 MB of a platform object. */
    private static final int MAX_CHARACTERS = 400_000;

    private static final int MAX_ENTRIES = 500;
    private static final int CLAIM_CHARACTERS = 300;
    /** The client has given up on an older claim, so a grant would only have to be closed again. */
    private static final long CLAIM_TIMEOUT_MILLIS = 1_500;

    private final Map<ClaimId, PendingClaim> claims = new LinkedHashMap<>();
    private final Map<OutcomeId, PendingOutcomes> outcomes = new LinkedHashMap<>();

    /** Identity of a claim; a repeat while it waits changes nothing. */
    record ClaimId(HostId from, RequestId request) {}

    /** A claim that waits since a time. */
    record PendingClaim(HostId from, ClaimRequest request, long sinceMillis) {}

    /** Identity of a client's batch of outcomes. */
    record OutcomeId(HostId from, long batch) {}

    /** Outcomes that wait since a time. */
    record PendingOutcomes(HostId from, OutcomeBatch batch, long sinceMillis) {}

    /** Work that the next write settles, and answers that need no write. */
    record WriteSelection(
            List<LedgerEntry> entries,
            List<PendingClaim> claims,
            List<PendingOutcomes> outcomes,
            Map<PendingClaim, ClaimResult> decided,
            List<PendingOutcomes> known) {}

    void add(HostId from, ClaimRequest request, long nowMillis) {
        claims.putIfAbsent(new ClaimId(from, request.request()), new PendingClaim(from, request, nowMillis));
    }

    void add(HostId from, OutcomeBatch batch, long nowMillis) {
        outcomes.putIfAbsent(new OutcomeId(from, batch.batch()), new PendingOutcomes(from, batch, nowMillis));
    }

    void requeue(List<PendingClaim> returnedClaims, List<PendingOutcomes> returnedOutcomes) {
        returnedClaims.forEach(claim ->
                claims.putIfAbsent(new ClaimId(claim.from(), claim.request().request()), claim));
        returnedOutcomes.forEach(item ->
                outcomes.putIfAbsent(new OutcomeId(item.from(), item.batch().batch()), item));
    }

    boolean isEmpty() {
        return claims.isEmpty() && outcomes.isEmpty();
    }

    /** Tells whether a write is due: at once for claims, after a delay for outcomes. */
    boolean due(long nowMillis, long outcomeDelayMillis) {
        if (!claims.isEmpty()) {
            return true;
        }
        return !outcomes.isEmpty()
                && nowMillis - outcomes.values().iterator().next().sinceMillis() >= outcomeDelayMillis;
    }

    /** Removes and returns all claims. */
    List<PendingClaim> takeClaims() {
        List<PendingClaim> taken = new ArrayList<>(claims.values());
        claims.clear();
        return taken;
    }

    /** Removes and returns all senders of outcomes. */
    Set<HostId> clearOutcomes() {
        Set<HostId> senders = new LinkedHashSet<>();
        outcomes.values().forEach(item -> senders.add(item.from()));
        outcomes.clear();
        return senders;
    }

    /**
     * Removes and returns the work that can be settled now.
     *
     * @param state the state that a write would follow
     * @param mayWrite whether a write may be started; if not, only work that needs none is returned
     */
    WriteSelection select(LedgerState state, boolean mayWrite, long nowMillis) {
        WriteSelection selection = new WriteSelection(
                new ArrayList<>(), new ArrayList<>(), new ArrayList<>(), new LinkedHashMap<>(), new ArrayList<>());
        Set<RequestId> closing = new HashSet<>();
        Set<String> keys = new HashSet<>();
        int characters = selectOutcomes(state, mayWrite, selection, closing, keys);
        selectClaims(state, mayWrite, selection, closing, keys, characters, nowMillis);
        outcomes.values().removeAll(selection.outcomes());
        outcomes.values().removeAll(selection.known());
        claims.values().removeAll(selection.claims());
        claims.values().removeAll(selection.decided().keySet());
        return selection;
    }

    private int selectOutcomes(
            LedgerState state, boolean mayWrite, WriteSelection selection, Set<RequestId> closing, Set<String> keys) {
        int characters = 0;
        for (PendingOutcomes item : outcomes.values()) {
            List<FinalOutcome> missing = new ArrayList<>(item.batch().outcomes());
            missing.removeIf(state::contains);
            if (missing.isEmpty()) {
                selection.known().add(item);
                continue;
            }
            int size = missing.stream().mapToInt(SnapshotParts::size).sum();
            boolean full =
                    characters + size > MAX_CHARACTERS || selection.entries().size() + missing.size() > MAX_ENTRIES;
            if (!mayWrite || (full && !selection.outcomes().isEmpty())) {
                continue;
            }
            for (FinalOutcome outcome : missing) {
                if (closing.add(outcome.record().request())) {
                    selection.entries().add(new OutcomeEntry(outcome));
                    keys.add(outcome.record().ledgerKey());
                }
            }
            selection.outcomes().add(item);
            characters += size;
        }
        return characters;
    }

    /** Claims whose key or request occurs in the same write wait for the next one. */
    private void selectClaims(
            LedgerState state,
            boolean mayWrite,
            WriteSelection selection,
            Set<RequestId> closing,
            Set<String> keys,
            int usedCharacters,
            long nowMillis) {
        int characters = usedCharacters;
        for (PendingClaim claim : claims.values()) {
            ClaimRequest request = claim.request();
            if (nowMillis - claim.sinceMillis() > CLAIM_TIMEOUT_MILLIS) {
                ClaimResult verdict = state.decide(claim.from(), request, nowMillis)
                        .orElseGet(() -> new ClaimResult.Unavailable("the ledger did not answer in time", false));
                selection.decided().put(claim, verdict);
                continue;
            }
            if (closing.contains(request.request()) || keys.contains(request.ledgerKey())) {
                continue;
            }
            Optional<ClaimResult> verdict = state.decide(claim.from(), request, nowMillis);
            if (verdict.isPresent()) {
                selection.decided().put(claim, verdict.get());
                continue;
            }
            characters += CLAIM_CHARACTERS + request.ledgerKey().length();
            if (!mayWrite
                    || (characters > MAX_CHARACTERS && !selection.entries().isEmpty())) {
                continue;
            }
            keys.add(request.ledgerKey());
            selection.claims().add(claim);
            selection
                    .entries()
                    .add(new ClaimEntry(request.ledgerKey(), request.fingerprint(), request.request(), claim.from()));
        }
    }
}
