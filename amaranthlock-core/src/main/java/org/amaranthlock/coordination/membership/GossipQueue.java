package org.amaranthlock.coordination.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Queue of updates that are each transmitted a limited number of times, the least transmitted first.
 *
 * @param <K> type of the key; a newer update of a key replaces the older one
 * @param <V> type of the update
 */
final class GossipQueue<K, V> {
    /** With 3 log2(n) transmissions an update reaches all n routers with high probability. */
    private static final int TRANSMISSION_FACTOR = 3;

    /** Views are small while a cluster starts; a limit based on such a view would end the transmissions too early. */
    private static final int MIN_ROUTER_COUNT = 64;

    private final Map<K, Item<V>> items = new LinkedHashMap<>();

    void add(K key, V update) {
        items.remove(key);
        items.put(key, new Item<>(update));
    }

    /** Returns the updates for the next message and removes those that have now been sent often enough. */
    List<V> nextUpdates(int limit, int routerCount) {
        if (items.isEmpty() || limit <= 0) {
            return List.of();
        }
        int maxTransmissions = maxTransmissions(routerCount);
        List<Item<V>> chosen = new ArrayList<>(items.values());
        chosen.sort(Comparator.comparingInt(item -> item.sendCount));
        List<V> updates = new ArrayList<>();
        for (Item<V> item : chosen.subList(0, Math.min(limit, chosen.size()))) {
            item.sendCount++;
            updates.add(item.update);
        }
        items.values().removeIf(item -> item.sendCount >= maxTransmissions);
        return updates;
    }

    private static int maxTransmissions(int routerCount) {
        int log2 = Integer.SIZE - Integer.numberOfLeadingZeros(Math.max(MIN_ROUTER_COUNT, routerCount));
        return TRANSMISSION_FACTOR * log2;
    }

    private static final class Item<V> {
        private final V update;
        private int sendCount;

        private Item(V update) {
            this.update = update;
        }
    }
}
