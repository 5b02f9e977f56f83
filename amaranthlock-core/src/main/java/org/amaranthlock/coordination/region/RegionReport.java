package org.amaranthlock.coordination.region;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.amaranthlock.model.Region;
import org.amaranthlock.model.ServiceName;

/**
 * Demand and traffic between regions of one host, as reported to the other hosts.
 *
 * @param region region of the host; empty if the host does not know regions
 * @param links traffic by the other region; regions without any are omitted
 * @param requestRates requests per second that the host sends, by service
 */
public record RegionReport(
        Optional<Region> region, Map<Region, LinkRate> links, Map<ServiceName, Double> requestRates) {
    /** Least difference of a rate that is reported, in requests per second. */
    private static final double MIN_RATE_DIFFERENCE = 1;

    /** Report of a host that does not know regions. */
    public static final RegionReport NONE = new RegionReport(Optional.empty(), Map.of(), Map.of());

    /** Copies the maps. */
    public RegionReport {
        Objects.requireNonNull(region, "region");
        links = Map.copyOf(links);
        requestRates = Map.copyOf(requestRates);
    }

    /** Returns whether any value differs so much from another report's that hosts would decide otherwise. */
    boolean differsFrom(RegionReport other) {
        return !region.equals(other.region)
                || !links.keySet().stream().allMatch(key -> link(key).isNear(other.link(key)))
                || !other.links.keySet().stream().allMatch(key -> link(key).isNear(other.link(key)))
                || differs(requestRates, other.requestRates)
                || differs(other.requestRates, requestRates);
    }

    private static boolean differs(Map<ServiceName, Double> rates, Map<ServiceName, Double> others) {
        return rates.entrySet().stream()
                .anyMatch(rate -> !LinkRate.isNear(
                        rate.getValue(), others.getOrDefault(rate.getKey(), 0.0), MIN_RATE_DIFFERENCE));
    }

    /** Returns the traffic with another region. */
    LinkRate link(Region other) {
        return links.getOrDefault(other, LinkRate.NONE);
    }
}
