package org.amaranthlock.coordination.placement;

import java.util.Arrays;
import java.util.Comparator;

/**
 * Distributes requests over targets so that all targets that receive any end at the same cost.
 *
 * <p>If each host knew the current load and chose the cheapest target, requests would raise the cheapest targets to a
 * common cost level. Hosts that know only outdated loads reach the same level, without messages, by choosing according
 * to this distribution (load interpretation; Dahlin 2000).
 */
final class WaterFilling {
    /** Minimum number of requests to distribute; so low that only targets of nearly the lowest cost receive a part. */
    private static final double MIN_REQUESTS = 1e-6;

    private WaterFilling() {}

    /**
     * Returns the part of the requests for each target; the parts sum to 1.
     *
     * @param costs cost of the next request at each target, in milliseconds
     * @param increments cost that each request adds at its target, in milliseconds
     * @param requests number of requests to distribute
     */
    static double[] parts(double[] costs, double[] increments, double requests) {
        double distributed = Math.max(MIN_REQUESTS, requests);
        double level = level(costs, increments, distributed);
        double[] parts = new double[costs.length];
        for (int i = 0; i < costs.length; i++) {
            parts[i] = Math.max(0, level - costs[i]) / increments[i] / distributed;
        }
        return parts;
    }

    private static double level(double[] costs, double[] increments, double requests) {
        Integer[] byCost = new Integer[costs.length];
        Arrays.setAll(byCost, i -> i);
        Arrays.sort(byCost, Comparator.comparingDouble(i -> costs[i]));
        double capacity = 0;
        double weightedCosts = 0;
        double level = 0;
        for (int i = 0; i < byCost.length && (i == 0 || costs[byCost[i]] < level); i++) {
            capacity += 1 / increments[byCost[i]];
            weightedCosts += costs[byCost[i]] / increments[byCost[i]];
            level = (requests + weightedCosts) / capacity;
        }
        return level;
    }
}
