package org.amaranthlock.coordination.forwarding;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Selects the host of a failure domain that reads the store on behalf of the others.
 *
 * <p>Hundreds of hosts share the rate limits of the store, and each call is charged. The host with the lowest name
 * reads the store, and the others query it. Hosts may temporarily disagree on the reader, which only costs additional
 * calls: no host relies on a response that is older than one it could get from the store. Not thread-safe.
 */
public final class StoreReaderSelector {
    /** Time for which an unresponsive host is not queried again, in milliseconds. */
    private static final long EXCLUSION_MILLIS = 3_000;

    private final String localName;
    private final Map<String, Long> excludedUntil = new HashMap<>();

    /** Creates a selector for the host with the given name. */
    public StoreReaderSelector(String localName) {
        this.localName = Objects.requireNonNull(localName, "local name");
    }

    /**
     * Returns the host to query; empty if this host is to read the store itself.
     *
     * @param reachable names of the other hosts of the failure domain to which this host is connected
     */
    public Optional<String> select(Set<String> reachable, long nowMillis) {
        excludedUntil.values().removeIf(until -> until <= nowMillis);
        TreeSet<String> candidates = new TreeSet<>(reachable);
        candidates.removeAll(excludedUntil.keySet());
        candidates.add(localName);
        return Optional.of(candidates.first()).filter(name -> !name.equals(localName));
    }

    /**
     * Returns whether this host is the one to read the store if the selected host cannot.
     *
     * @param reachable names of the other hosts of the failure domain to which this host is connected
     */
    public boolean isSuccessor(Set<String> reachable, long nowMillis) {
        return select(reachable, nowMillis)
                .map(reader -> reachable.stream()
                        .filter(other -> !other.equals(reader) && !excludedUntil.containsKey(other))
                        .allMatch(other -> localName.compareTo(other) < 0))
                .orElse(false);
    }

    /** Records that a host did not respond to a query, or could not serve it. */
    public void markUnresponsive(String host, long nowMillis) {
        excludedUntil.put(host, nowMillis + EXCLUSION_MILLIS);
    }

    /** Records that a host has responded on a new connection, as a process that has started again does. */
    public void markResponsive(String host) {
        excludedUntil.remove(host);
    }
}
