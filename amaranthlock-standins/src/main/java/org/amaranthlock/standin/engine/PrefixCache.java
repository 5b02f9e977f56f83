package org.amaranthlock.standin.engine;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32C;

/**
 * Cache of prompt prefixes in blocks of tokens, with least-recently-used eviction. Not thread-safe.
 *
 * <p>A token is a word of the prompt. The key of a block is the hash of the whole prompt up to the end of the block.
 */
final class PrefixCache {
    /** Tokens per block: the usual size in paged key-value caches. */
    static final int BLOCK_TOKENS = 16;

    private final int capacityBlocks;
    private final Map<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);

    /** Number of leading tokens that were cached, and the hashes of the blocks added and evicted. */
    record LookupResult(int cachedTokens, List<Long> added, List<Long> evicted) {}

    PrefixCache(int capacityTokens) {
        this.capacityBlocks = capacityTokens / BLOCK_TOKENS;
    }

    /** Determines how many leading tokens of a prompt are cached, and adds all its blocks to the cache. */
    LookupResult lookUpAndStore(List<String> tokens) {
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
        return new LookupResult(cached, added, evictExcess());
    }

    private List<Long> evictExcess() {
        List<Long> evicted = new ArrayList<>();
        Iterator<Long> oldest = blocks.keySet().iterator();
        for (int excess = blocks.size() - capacityBlocks; excess > 0; excess--) {
            evicted.add(oldest.next());
            oldest.remove();
        }
        return evicted;
    }
}
