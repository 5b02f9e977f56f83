package org.amaranthlock.coordination.ledger;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.amaranthlock.protocol.objectapi.ObjectApiValue.FencedClaim;
import org.amaranthlock.protocol.objectapi.ObjectApiValue.LedgerSnapshot;
import org.amaranthlock.protocol.peer.PeerMessage.FinalOutcome;

/** Splits a snapshot into parts that each fit into one platform object; an empty part marks the end. */
final class SnapshotPartBuilder {
    private static final int CLAIM_OVERHEAD_CHARACTERS = 300;
    private static final int OUTCOME_OVERHEAD_CHARACTERS = 800;

    private final int partition;
    private final long lastSequence;
    private final int maxCharacters;
    private final List<LedgerSnapshot> parts = new ArrayList<>();
    private List<FencedClaim> claims = new ArrayList<>();
    private List<FinalOutcome> outcomes = new ArrayList<>();
    private int characters;

    SnapshotPartBuilder(int partition, long lastSequence, int maxCharacters) {
        this.partition = partition;
        this.lastSequence = lastSequence;
        this.maxCharacters = maxCharacters;
    }

    void add(FencedClaim claim) {
        ensureSpace(estimateSize(claim));
        claims.add(claim);
    }

    void add(Optional<FencedClaim> claim, FinalOutcome outcome) {
        ensureSpace(claim.map(SnapshotPartBuilder::estimateSize).orElse(0) + estimateSize(outcome));
        claim.ifPresent(claims::add);
        outcomes.add(outcome);
    }

    List<LedgerSnapshot> build() {
        finishPart();
        parts.add(new LedgerSnapshot(partition, lastSequence, List.of(), List.of()));
        return List.copyOf(parts);
    }

    private void ensureSpace(int size) {
        if (characters > 0 && characters + size > maxCharacters) {
            finishPart();
        }
        characters += size;
    }

    private void finishPart() {
        parts.add(new LedgerSnapshot(partition, lastSequence, claims, outcomes));
        claims = new ArrayList<>();
        outcomes = new ArrayList<>();
        characters = 0;
    }

    private static int estimateSize(FencedClaim claim) {
        return CLAIM_OVERHEAD_CHARACTERS + claim.claim().ledgerKey().length();
    }

    /** Returns the approximate number of characters that an outcome occupies in the platform. */
    static int estimateSize(FinalOutcome outcome) {
        int body = outcome.response().map(response -> response.body().length).orElse(0);
        return OUTCOME_OVERHEAD_CHARACTERS + body + outcome.record().ledgerKey().length();
    }
}
