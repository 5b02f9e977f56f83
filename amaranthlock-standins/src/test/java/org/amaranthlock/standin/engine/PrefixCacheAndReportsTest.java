package org.amaranthlock.standin.engine;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class PrefixCacheAndReportsTest {
    // Guards against a cache that never reuses blocks or never evicts them.
    @Test
    void cacheReusesKnownPrefixesAndEvictsLeastRecentlyUsed() {
        PrefixCache cache = new PrefixCache(2 * PrefixCache.BLOCK_TOKENS);
        List<String> first = prompt("a", 2);
        assertThat(cache.lookUpAndStore(first).cachedTokens()).isEqualTo(0);
        assertThat(cache.lookUpAndStore(first).cachedTokens()).isEqualTo(32);
        assertThat(cache.lookUpAndStore(prompt("b", 1)).evicted()).hasSize(1);
        assertThat(cache.lookUpAndStore(first).cachedTokens()).isEqualTo(0);
    }

    // Guards against reports that are more up to date than those of real engines.
    @Test
    void reportsAreDelayedAndSomeCacheEventsAreLost() {
        DelayedReports reports = new DelayedReports(100, 2);
        reports.loadChanged(0, 1, 0);
        reports.loadChanged(50, 2, 3);
        assertThat(reports.visibleLoad(149).running()).isEqualTo(1);
        assertThat(reports.visibleLoad(150).queued()).isEqualTo(3);
        for (long hash = 1; hash <= 4; hash++) {
            reports.cacheChanged(0, List.of(hash), List.of());
        }
        assertThat(reports.visibleEvents(0, 99)).isEmpty();
        assertThat(reports.visibleEvents(1, 100).stream()
                        .map(DelayedReports.CacheEvent::seq)
                        .toList())
                .containsExactly(3L);
    }

    private static List<String> prompt(String word, int blocks) {
        List<String> tokens = new ArrayList<>();
        for (int i = 0; i < blocks * PrefixCache.BLOCK_TOKENS; i++) {
            tokens.add(word + i);
        }
        return tokens;
    }
}
