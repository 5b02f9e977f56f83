package org.amaranthlock.coordination.request;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.amaranthlock.model.RequestId;
import org.amaranthlock.protocol.peer.CompletedResponse;

/** Answers that were completed lately, for callers whose connection lost the last tokens; the oldest is dropped first. */
final class CompletedResponseCache {
    /** Time for a caller to come back for the end of its answer, equal to that for the rest of an open one. */
    static final long RETENTION_MILLIS = 30_000;

    /**
     * Bound of all answers. A short token takes about 64 bytes of memory, so this is 64 MB; 330 routers at 2.8 million
     * tokens/s need 510,000 for 30 s of own answers and as many of others.
     */
    static final int MAX_TOKENS = 1_000_000;

    /** Memory of an answer besides its tokens, about 1 KB, counted as tokens so that empty answers are bounded too. */
    static final int OVERHEAD_TOKENS_PER_RESPONSE = 16;

    private final Map<String, Entry> byLedgerKey = new LinkedHashMap<>();
    private long totalCost;

    void add(CompletedResponse answer, long now) {
        String ledgerKey = answer.record().ledgerKey();
        remove(ledgerKey);
        byLedgerKey.put(ledgerKey, new Entry(answer, now + RETENTION_MILLIS));
        totalCost += cost(answer);
        Iterator<Entry> oldest = byLedgerKey.values().iterator();
        while (totalCost > MAX_TOKENS) {
            totalCost -= cost(oldest.next().response);
            oldest.remove();
        }
    }

    /** Returns the answer to a caller, if it is kept. */
    Optional<CompletedResponse> find(String ledgerKey, RequestId caller, int resumeAt) {
        return find(ledgerKey).filter(answer -> answer.isResumableBy(caller, resumeAt));
    }

    Optional<CompletedResponse> find(String ledgerKey) {
        return Optional.ofNullable(byLedgerKey.get(ledgerKey)).map(Entry::response);
    }

    void tick(long now) {
        Iterator<Entry> oldest = byLedgerKey.values().iterator();
        while (oldest.hasNext()) {
            Entry entry = oldest.next();
            if (entry.expiresAt > now) {
                return;
            }
            totalCost -= cost(entry.response);
            oldest.remove();
        }
    }

    private void remove(String ledgerKey) {
        Entry former = byLedgerKey.remove(ledgerKey);
        if (former != null) {
            totalCost -= cost(former.response);
        }
    }

    private static int cost(CompletedResponse answer) {
        return answer.tokens().size() + OVERHEAD_TOKENS_PER_RESPONSE;
    }

    private record Entry(CompletedResponse response, long expiresAt) {}
}
