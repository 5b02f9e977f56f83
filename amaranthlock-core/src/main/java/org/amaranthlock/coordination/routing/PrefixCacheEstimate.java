package org.amaranthlock.coordination.routing;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.amaranthlock.model.Arguments;

/**
 * Estimate of the prompt prefixes that a target has cached, with least-recently-used eviction.
 *
 * <p>Not thread-safe.
 */
final class PrefixCacheEstimate {
    private final int capacity;
    private final Map<Long, Boolean> prefixes;

    PrefixCacheEstimate(int capacity) {
        this.capacity = (int) Arguments.requirePositive(capacity, "capacity");
        this.prefixes = new LinkedHashMap<>(16, 0.75f, true);
    }

    void add(Collection<Long> hashes) {
        for (Long hash : hashes) {
            prefixes.put(hash, Boolean.TRUE);
        }
        while (prefixes.size() > capacity) {
            prefixes.remove(prefixes.keySet().iterator().next());
        }
    }

    void remove(Collection<Long> hashes) {
        hashes.forEach(prefixes::remove);
    }

    /** Returns the fraction of the given prefixes, shortest first, that is cached without a gap, from 0 to 1. */
    double cachedFraction(List<Long> hashes) {
        int cached = 0;
        for (Long hash : hashes) {
            if (!prefixes.containsKey(hash)) {
                break;
            }
            cached++;
        }
        return hashes.isEmpty() ? 0 : (double) cached / hashes.size();
    }
}
