package org.amaranthlock.coordination.region;

import java.util.List;
import org.amaranthlock.model.Arguments;

/**
 * Splits the demand of one region for targets without an engine between the regions, so that no request would be
 * answered sooner in another one.
 *
 * <p>Load pattern: one region has more demand than another for a time, then less. Load reports do not contain requests to
 * such targets, so the delay in each region is computed from the demand of its hosts and the slots of its targets. Hosts
 * of a region compute nearly the same split and take different places in it, so that they do not all switch to another
 * region at the same time.
 */
public final class RegionSplit {
    /** Number of equal parts of the demand that are assigned to the regions one by one. */
    private static final int PARTS = 40;

    /** Utilization from which on the delay grows linearly; the formula below diverges at 1. */
    private static final double MAX_UTILIZATION = 0.98;

    /** Weight of the mean wait: 1 for the mean and 1 for the standard deviation, which is about as large. */
    private static final double WAIT_WEIGHT = 2;

    private RegionSplit() {}

    /**
     * State of a region's targets.
     *
     * @param idleMillis delay of a request if no other is there, including the crossing, in milliseconds
     * @param offered mean number of requests that its own hosts keep in service there; 0 for the host's own region
     * @param slots requests that all targets together serve at the same time
     * @param targets number of targets
     */
    public record Side(double idleMillis, double offered, double slots, int targets) {
        /** Checks that there are targets with slots. */
        public Side {
            Arguments.requirePositive(targets, "targets");
            Arguments.require(slots > 0, "slots must be positive");
            Arguments.require(offered >= 0, "offered load must not be negative");
        }

        /**
         * Returns the delay of a request in milliseconds: its mean and the deviation of the wait, for which
         * Sakasegawa's approximation (1977) is used at each target.
         */
        double delayMillis(double allOffered, double requestMillis) {
            double slotsEach = slots / targets;
            double utilization = allOffered / slots;
            double stable = Math.min(MAX_UTILIZATION, utilization);
            double waits = Math.pow(stable, Math.sqrt(2 * (slotsEach + 1)) - 1) / (slotsEach * (1 - stable));
            return idleMillis + WAIT_WEIGHT * requestMillis * waits * Math.max(1, utilization / MAX_UTILIZATION);
        }
    }

    /**
     * Returns the side that serves the request at a place in the demand.
     *
     * @param offered mean number of requests of the host's region in service
     * @param requestMillis time that a target takes for a request, in milliseconds
     * @param place position of the request in the region's demand, from 0 to below 1; each side serves a range of
     *     positions as long as its part of the demand
     */
    public static int choose(List<Side> sides, double offered, double requestMillis, double place) {
        double[] load = sides.stream().mapToDouble(Side::offered).toArray();
        int[] parts = new int[sides.size()];
        for (int part = 0; part < PARTS; part++) {
            int best = 0;
            double lowest = Double.MAX_VALUE;
            for (int i = 0; i < load.length; i++) {
                double delay = sides.get(i).delayMillis(load[i] + offered / PARTS, requestMillis);
                if (delay < lowest) {
                    lowest = delay;
                    best = i;
                }
            }
            load[best] += offered / PARTS;
            parts[best]++;
        }
        int sum = 0;
        for (int i = 0; i < parts.length; i++) {
            sum += parts[i];
            if (place * PARTS < sum) {
                return i;
            }
        }
        return parts.length - 1;
    }
}
