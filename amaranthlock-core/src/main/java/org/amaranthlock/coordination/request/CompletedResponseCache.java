package org.amaranthlock.coordination.request;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.amaranthlock.model.RequestId;
import org.amaranthlock.protocol.peer.CompletedResponse;

/**
 * Caches recently completed responses for clients whose connection was lost before the last tokens.
 *
 * <p>At the size limit the oldest responses are evicted first.
 */
final class CompletedResponseCache {
    /** Time in which a client may reconnect for the end of its response; an open request allows the same time. */
    static final long RETENTION_MILLIS = 30_000;

    /**
     * Maximum number of tokens of all responses. A short token takes about 64 bytes of memory, so this is 64 MB. With
     * 330 routers at 2.8 million tokens/s, 30 s of local responses need 510,000 tokens, and those of other routers as
     * many again.
     */
    static final int MAX_TOKENS = 1_000_000;

    /** Memory of a response besides its tokens, about 1 KB, counted as tokens to limit empty responses too. */
    static final int OVERHEAD_TOKENS_PER_RESPONSE = 16;

    private final Map<String, Entry> byLedgerKey = new LinkedHashMap<>();
    private long totalCost;

    void add(CompletedResponse response, long now) {
        String ledgerKey = response.record().ledgerKey();
        remove(ledgerKey);
        byLedgerKey.put(ledgerKey, new Entry(response, now + RETENTION_MILLIS));
        totalCost += cost(response);
        Iterator<Entry> oldest = byLedgerKey.values().iterator();
        while (totalCost > MAX_TOKENS) {
            totalCost -= cost(oldest.next().response);
            oldest.remove();
        }
    }

    /** Returns the cached response if the given request can resume it at the given position. */
    Optional<CompletedResponse> find(String ledgerKey, RequestId requestId, int resumeAt) {
        return find(ledgerKey).filter(response -> response.isResumableBy(requestId, resumeAt));
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

    private static int cost(CompletedResponse response) {
        return response.tokens().size() + OVERHEAD_TOKENS_PER_RESPONSE;
    }

    private record Entry(CompletedResponse response, long expiresAt) {}
}
