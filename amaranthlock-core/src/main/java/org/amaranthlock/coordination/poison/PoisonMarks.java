package org.amaranthlock.coordination.poison;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Blame of requests, found by ledger key or content, because it is looked up for every request.
 *
 * <p>Few marks share a content, since a content is refused under all keys once it is condemned.
 */
final class PoisonMarks {
    private final int bound;
    private final Map<String, Mark> byLedgerKey = new LinkedHashMap<>();
    private final Map<Long, Set<Mark>> byContent = new HashMap<>();

    /** Creates an empty table that holds at most {@code bound} marks, the newest ones. */
    PoisonMarks(int bound) {
        this.bound = bound;
    }

    /** Returns the mark of a ledger key, which is created with the given blame if there is none. */
    Mark getOrCreate(String ledgerKey, long fingerprint, int initialBlame) {
        return byLedgerKey.computeIfAbsent(ledgerKey, key -> {
            Mark mark = new Mark(fingerprint, key, initialBlame);
            byContent
                    .computeIfAbsent(fingerprint, content -> new LinkedHashSet<>())
                    .add(mark);
            return mark;
        });
    }

    /** Returns the marks of a ledger key or of a content. */
    Collection<Mark> find(String ledgerKey, long fingerprint) {
        Set<Mark> ofContent = byContent.getOrDefault(fingerprint, Set.of());
        Mark ofKey = byLedgerKey.get(ledgerKey);
        if (ofKey == null || ofContent.contains(ofKey)) {
            return Collections.unmodifiableSet(ofContent);
        }
        Set<Mark> both = new LinkedHashSet<>(ofContent);
        both.add(ofKey);
        return both;
    }

    /** Returns all marks, the oldest first. */
    Collection<Mark> all() {
        return Collections.unmodifiableCollection(byLedgerKey.values());
    }

    /** Removes marks; the collection may be a view of this table. */
    void remove(Collection<Mark> marks) {
        for (Mark mark : List.copyOf(marks)) {
            byLedgerKey.remove(mark.ledgerKey);
            Set<Mark> ofContent = byContent.get(mark.fingerprint);
            ofContent.remove(mark);
            if (ofContent.isEmpty()) {
                byContent.remove(mark.fingerprint);
            }
        }
    }

    /** Removes marks from before a time. */
    void expire(long beforeMillis) {
        remove(byLedgerKey.values().stream()
                .filter(mark -> mark.atMillis <= beforeMillis)
                .toList());
    }

    /** Forgets the oldest marks above the bound. */
    void trim() {
        int excess = Math.max(0, byLedgerKey.size() - bound);
        remove(byLedgerKey.values().stream().limit(excess).toList());
    }

    /** Blame of one request. */
    static final class Mark {
        final long fingerprint;
        final String ledgerKey;
        int crashScore;
        boolean poison;
        long atMillis;
        int sends;

        private Mark(long fingerprint, String ledgerKey, int blame) {
            this.fingerprint = fingerprint;
            this.ledgerKey = ledgerKey;
            this.crashScore = blame;
        }
    }
}
