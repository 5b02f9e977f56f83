package org.amaranthlock.coordination.forwarding;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Says which host of a failure domain reads the store for the others.
 *
 * <p>Load pattern: hundreds of hosts share the store's rates, and each call has a price. The host with the lowest name
 * reads; the others ask it. Hosts may disagree for a moment, which costs calls only: nobody relies on an answer that is
 * older than it could have from the store. Not thread-safe.
 */
public final class StoreReaderSelector {
    /** Time for which a host that did not answer is not asked again, milliseconds. */
    private static final long DISTRUST_MILLIS = 3_000;

    private final String ownName;
    private final Map<String, Long> distrustedUntil = new HashMap<>();

    /** Creates a choice for the host with this name. */
    public StoreReaderSelector(String ownName) {
        this.ownName = Objects.requireNonNull(ownName, "own name");
    }

    /**
     * Returns the host to ask; empty if this host is to read the store itself.
     *
     * @param reachable names of the other hosts of the failure domain to which there is a link
     */
    public Optional<String> select(Set<String> reachable, long nowMillis) {
        distrustedUntil.values().removeIf(until -> until <= nowMillis);
        TreeSet<String> candidates = new TreeSet<>(reachable);
        candidates.removeAll(distrustedUntil.keySet());
        candidates.add(ownName);
        return Optional.of(candidates.first()).filter(name -> !name.equals(ownName));
    }

    /** Notes that a host did not answer, or could not say. */
    public void markUnresponsive(String host, long nowMillis) {
        distrustedUntil.put(host, nowMillis + DISTRUST_MILLIS);
    }
}
