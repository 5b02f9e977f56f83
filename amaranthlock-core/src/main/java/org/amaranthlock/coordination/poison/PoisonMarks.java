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
 * Table of crash scores with an index by ledger key and one by content, because it is queried for every request.
 *
 * <p>Few marks share a content, since a poison content is refused under all ledger keys.
 */
final class PoisonMarks {
    private final int capacity;
    private final Map<String, Mark> byLedgerKey = new LinkedHashMap<>();
    private final Map<Long, Set<Mark>> byFingerprint = new HashMap<>();

    /** Creates an empty table, which {@link #trim()} limits to {@code capacity} marks. */
    PoisonMarks(int capacity) {
        this.capacity = capacity;
    }

    /** Returns the mark of a ledger key, after creating it with the given crash score if it does not exist. */
    Mark getOrCreate(String ledgerKey, long fingerprint, int initialCrashScore) {
        return byLedgerKey.computeIfAbsent(ledgerKey, key -> {
            Mark mark = new Mark(fingerprint, key, initialCrashScore);
            byFingerprint
                    .computeIfAbsent(fingerprint, content -> new LinkedHashSet<>())
                    .add(mark);
            return mark;
        });
    }

    /** Returns the marks that have a ledger key or a content fingerprint. */
    Collection<Mark> find(String ledgerKey, long fingerprint) {
        Set<Mark> fingerprintMarks = byFingerprint.getOrDefault(fingerprint, Set.of());
        Mark keyMark = byLedgerKey.get(ledgerKey);
        if (keyMark == null || fingerprintMarks.contains(keyMark)) {
            return Collections.unmodifiableSet(fingerprintMarks);
        }
        Set<Mark> marks = new LinkedHashSet<>(fingerprintMarks);
        marks.add(keyMark);
        return marks;
    }

    /** Returns all marks, in the order of their creation. */
    Collection<Mark> all() {
        return Collections.unmodifiableCollection(byLedgerKey.values());
    }

    /** Removes marks; the collection may be a view of this table. */
    void remove(Collection<Mark> marks) {
        for (Mark mark : List.copyOf(marks)) {
            byLedgerKey.remove(mark.ledgerKey);
            Set<Mark> fingerprintMarks = byFingerprint.get(mark.fingerprint);
            fingerprintMarks.remove(mark);
            if (fingerprintMarks.isEmpty()) {
                byFingerprint.remove(mark.fingerprint);
            }
        }
    }

    /** Removes the marks whose last crash was at or before {@code cutoffMillis}. */
    void expire(long cutoffMillis) {
        remove(byLedgerKey.values().stream()
                .filter(mark -> mark.lastCrashMillis <= cutoffMillis)
                .toList());
    }

    /** Removes the marks that were created first, as many as exceed the capacity. */
    void trim() {
        int excess = Math.max(0, byLedgerKey.size() - capacity);
        remove(byLedgerKey.values().stream().limit(excess).toList());
    }

    /** Crash score and poison state of one request. */
    static final class Mark {
        final long fingerprint;
        final String ledgerKey;
        int crashScore;
        boolean poison;
        long lastCrashMillis;
        int sends;

        private Mark(long fingerprint, String ledgerKey, int crashScore) {
            this.fingerprint = fingerprint;
            this.ledgerKey = ledgerKey;
            this.crashScore = crashScore;
        }
    }
}
