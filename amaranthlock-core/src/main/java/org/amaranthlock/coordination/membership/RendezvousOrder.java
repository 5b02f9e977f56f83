package org.amaranthlock.coordination.membership;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * Orders candidates by rendezvous hashing, so that the loss of a candidate moves only the keys for which it was first.
 */
public final class RendezvousOrder {
    private static final HashFunction HASH = Hashing.murmur3_128();
    /** With 330 routers a full cache takes about 1.4 MB. */
    private static final int MAX_CACHED_KEYS = 1_024;

    private RendezvousOrder() {}

    /** Returns the candidates in the rendezvous order of a key; ties are broken by the names of the candidates. */
    public static <T> List<T> order(String key, List<T> candidates, Function<T, String> name) {
        long keyHash = hash(key);
        List<Scored<T>> scored = new ArrayList<>(candidates.size());
        for (T candidate : candidates) {
            String candidateName = name.apply(candidate);
            scored.add(new Scored<>(candidate, candidateName, combine(keyHash, hash(candidateName))));
        }
        scored.sort(
                Comparator.<Scored<T>>comparingLong(Scored::score).reversed().thenComparing(Scored::name));
        List<T> result = new ArrayList<>(scored.size());
        for (Scored<T> item : scored) {
            result.add(item.candidate());
        }
        return List.copyOf(result);
    }

    static long hash(String text) {
        return HASH.hashString(text, StandardCharsets.UTF_8).asLong();
    }

    private static long combine(long keyHash, long nameHash) {
        return HASH.newHasher(16).putLong(keyHash).putLong(nameHash).hash().asLong();
    }

    private record Scored<T>(T candidate, String name, long score) {}

    /** Least recently used (LRU) cache of the orders of keys, valid for one list of candidates. */
    static final class Cache extends LinkedHashMap<String, List<RouterMember>> {
        Cache() {
            super(16, 0.75f, true);
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, List<RouterMember>> eldest) {
            return size() > MAX_CACHED_KEYS;
        }
    }
}
