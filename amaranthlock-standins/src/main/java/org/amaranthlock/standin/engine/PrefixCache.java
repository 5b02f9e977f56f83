package org.amaranthlock.standin.engine;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32C;

/**
 * Cache of prompt prefixes in blocks of tokens, with least-recently-used eviction; not thread-safe.
 *
 * <p>A token is a word of the prompt. A block is known by the hash of the whole prompt up to its end.
 */
final class PrefixCache {
    /** Tokens per block; usual size of paged key-value caches. */
    static final int BLOCK_TOKENS = 16;

    private final int capacityBlocks;
    private final Map<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);

    /** Result of using a prompt. */
    record Use(int cachedTokens, List<Long> added, List<Long> evicted) {}

    PrefixCache(int capacityTokens) {
        this.capacityBlocks = capacityTokens / BLOCK_TOKENS;
    }

    /** Looks a prompt up, stores its blocks and tells how many of its leading tokens were cached. */
    Use use(List<String> tokens) {
        List<Long> added = new ArrayList<>();
        int cached = 0;
        boolean hit = true;
        CRC32C checksum = new CRC32C();
        for (int end = BLOCK_TOKENS; end <= tokens.size(); end += BLOCK_TOKENS) {
            String block = String.join(" ", tokens.subList(end - BLOCK_TOKENS, end));
            checksum.update(block.getBytes(StandardCharsets.UTF_8));
            long hash = checksum.getValue();
            hit = hit && blocks.get(hash) != null;
            cached = hit ? end : cached;
            if (blocks.put(hash, Boolean.TRUE) == null) {
                added.add(hash);
            }
        }
        return new Use(cached, added, evict());
    }

    private List<Long> evict() {
        List<Long> evicted = new ArrayList<>();
        Iterator<Long> oldest = blocks.keySet().iterator();
        for (int excess = blocks.size() - capacityBlocks; excess > 0; excess--) {
            evicted.add(oldest.next());
            oldest.remove();
        }
        return evicted;
    }
}
