package org.amaranthlock.coordination.ledger;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.amaranthlock.model.OutcomeRecord;
import org.amaranthlock.model.RequestId;

/** In-memory cache of committed outcome records, shared by all partitions that this router owns. */
final class RecentOutcomes {
    /** Limits the cache to about 8 MB. */
    private static final int MAX_RECORDS = 20_000;

    private final Map<RequestId, CachedOutcome> outcomes = new LinkedHashMap<>();
    private final Map<Integer, Long> firstCachedPositions = new HashMap<>();

    /** Caches a record unless one of the same request is already cached. */
    void add(int partition, long sequence, OutcomeRecord record) {
        if (outcomes.putIfAbsent(record.request(), new CachedOutcome(partition, sequence, record)) != null
                || outcomes.size() <= MAX_RECORDS) {
            return;
        }
        var oldest = outcomes.entrySet().iterator();
        CachedOutcome evicted = oldest.next().getValue();
        oldest.remove();
        firstCachedPositions.merge(evicted.partition(), evicted.sequence() + 1, Math::max);
    }

    Optional<OutcomeRecord> find(RequestId request) {
        return Optional.ofNullable(outcomes.get(request)).map(CachedOutcome::record);
    }

    /** Resets the first cached position of a partition because its log is read again from there. */
    void resetFirstCachedPosition(int partition, long sequence) {
        firstCachedPositions.put(partition, sequence);
    }

    /** Returns the position from which on all records of a partition are cached. */
    long firstCachedPosition(int partition) {
        return firstCachedPositions.getOrDefault(partition, 1L);
    }

    private record CachedOutcome(int partition, long sequence, OutcomeRecord record) {}
}
