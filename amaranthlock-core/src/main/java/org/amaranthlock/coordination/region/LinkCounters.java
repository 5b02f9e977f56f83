package org.amaranthlock.coordination.region;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.LongAdder;
import org.amaranthlock.model.Region;

/** Bytes that one host has exchanged with the other regions since its start; thread-safe. */
public final class LinkCounters {
    private final Map<Region, Map<LinkUse, Counter>> counters = new TreeMap<>();

    private record Counter(LongAdder sent, LongAdder received) {}

    /**
     * Bytes by direction.
     *
     * @param sent bytes sent to the other region
     * @param received bytes received from there
     * @param bulk sum of both for uses that are {@linkplain LinkUse#bulk bulk}
     */
    public record Totals(long sent, long received, long bulk) {}

    /** Creates counters for the links to the given regions. */
    public LinkCounters(Iterable<Region> regions) {
        for (Region region : regions) {
            Map<LinkUse, Counter> uses = new EnumMap<>(LinkUse.class);
            for (LinkUse use : LinkUse.values()) {
                uses.put(use, new Counter(new LongAdder(), new LongAdder()));
            }
            counters.put(region, uses);
        }
    }

    /** Adds bytes sent to a region. */
    public void addSent(Region region, LinkUse use, long bytes) {
        counters.get(region).get(use).sent().add(bytes);
    }

    /** Adds bytes received from a region. */
    public void addReceived(Region region, LinkUse use, long bytes) {
        counters.get(region).get(use).received().add(bytes);
    }

    /** Returns the bytes of one use in both directions. */
    public long total(Region region, LinkUse use) {
        Counter counter = counters.get(region).get(use);
        return counter.sent().sum() + counter.received().sum();
    }

    /** Returns the bytes of all uses. */
    Totals totals(Region region) {
        long sent = 0;
        long received = 0;
        long bulk = 0;
        for (Map.Entry<LinkUse, Counter> entry : counters.get(region).entrySet()) {
            long sentByUse = entry.getValue().sent().sum();
            long receivedByUse = entry.getValue().received().sum();
            sent += sentByUse;
            received += receivedByUse;
            bulk += entry.getKey().bulk() ? sentByUse + receivedByUse : 0;
        }
        return new Totals(sent, received, bulk);
    }
}
