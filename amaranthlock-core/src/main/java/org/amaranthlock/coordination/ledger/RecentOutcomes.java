package org.amaranthlock.coordination.ledger;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.amaranthlock.model.OutcomeRecord;
import org.amaranthlock.model.RequestId;

/** Committed outcome records that an owner holds in memory, over all its partitions. */
final class RecentOutcomes {
    /** About 8 MB. */
    private static final int MAX_RECORDS = 20_000;

    private final Map<RequestId, Item> items = new LinkedHashMap<>();
    private final Map<Integer, Long> floors = new HashMap<>();

    /** Remembers a record; the first record of a request stays. */
    void add(int partition, long sequence, OutcomeRecord record) {
        if (items.putIfAbsent(record.request(), new Item(partition, sequence, record)) != null
                || items.size() <= MAX_RECORDS) {
            return;
        }
        var oldest = items.entrySet().iterator();
        Item evicted = oldest.next().getValue();
        oldest.remove();
        floors.merge(evicted.partition(), evicted.sequence() + 1, Math::max);
    }

    Optional<OutcomeRecord> find(RequestId request) {
        return Optional.ofNullable(items.get(request)).map(Item::record);
    }

    /** Notes that the log of a partition is read again from a position on. */
    void resetFirstCached(int partition, long sequence) {
        floors.put(partition, sequence);
    }

    /** Returns the first position of a partition whose records are all in memory. */
    long firstCachedPosition(int partition) {
        return floors.getOrDefault(partition, 1L);
    }

    private record Item(int partition, long sequence, OutcomeRecord record) {}
}
