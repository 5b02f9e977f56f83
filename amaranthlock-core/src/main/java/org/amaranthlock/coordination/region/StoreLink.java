package org.amaranthlock.coordination.region;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.amaranthlock.model.Region;

/**
 * Link to the region of the store, which the platform does not name: the time in which connections to the store open
 * tells it. Bytes may be added on any thread, everything else is called on one thread.
 */
public final class StoreLink {
    /** Fraction of the shortest round trip to another region below which the store is in the host's own region. */
    private static final double LOCAL_FRACTION = 0.5;

    private final LinkCounters counters;
    private final RoundTrips roundTrips = new RoundTrips();
    private boolean measured;
    private volatile Optional<Region> region = Optional.empty();

    StoreLink(LinkCounters counters) {
        this.counters = Objects.requireNonNull(counters, "counters");
    }

    /** Records in which time a connection to the store opened. */
    public void recordRoundTrip(double millis, long nowMillis) {
        roundTrips.record(millis, nowMillis);
        measured = true;
    }

    /** Adds bytes sent to the store; they count if it is known to be in another region. */
    public void addSent(long bytes) {
        region.ifPresent(other -> counters.addSent(other, LinkUse.STORE_CALLS, bytes));
    }

    /** Adds bytes received from the store; they count if it is known to be in another region. */
    public void addReceived(long bytes) {
        region.ifPresent(other -> counters.addReceived(other, LinkUse.STORE_CALLS, bytes));
    }

    /** Returns the region of the store if it is known to be another one. */
    public Optional<Region> region() {
        return region;
    }

    /** Locates the store by the shortest round trips to the other regions, in milliseconds; unknown ones are 0. */
    void locate(Map<Region, Double> roundTripMillis) {
        double storeMillis = roundTrips.shortestMillis();
        region = roundTripMillis.entrySet().stream()
                .filter(other -> measured && other.getValue() > 0)
                .filter(other -> storeMillis > LOCAL_FRACTION * other.getValue())
                .min((first, second) -> Double.compare(
                        Math.abs(first.getValue() - storeMillis), Math.abs(second.getValue() - storeMillis)))
                .map(Map.Entry::getKey);
    }
}
