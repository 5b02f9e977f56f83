package org.amaranthlock.coordination.region;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.amaranthlock.model.Region;
import org.amaranthlock.model.ServiceName;

/**
 * Requests that the other hosts of each region send, from their reports.
 *
 * <p>Load pattern: one region has more demand than another for a time, then less. Not thread-safe.
 */
final class RegionDemand {
    private Map<Region, Map<ServiceName, Double>> perMilli = Map.of();

    /** Replaces the demand by the sum of the hosts' reports. */
    void update(Collection<RegionReport> reports) {
        Map<Region, Map<ServiceName, Double>> sums = new HashMap<>();
        for (RegionReport report : reports) {
            report.region().ifPresent(region -> {
                Map<ServiceName, Double> sum = sums.computeIfAbsent(region, _ -> new HashMap<>());
                report.requestRates().forEach((service, rate) -> sum.merge(service, rate / 1_000, Double::sum));
            });
        }
        perMilli = sums;
    }

    /** Returns the requests per millisecond that the other hosts of a region send to a service. */
    double perMilli(Region region, ServiceName service) {
        return perMilli.getOrDefault(region, Map.of()).getOrDefault(service, 0.0);
    }
}
