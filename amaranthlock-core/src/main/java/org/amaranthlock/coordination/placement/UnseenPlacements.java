package org.amaranthlock.coordination.placement;

import java.util.Map;
import org.amaranthlock.coordination.forwarding.InFlightLoad;
import org.amaranthlock.model.TargetId;

/**
 * Estimates the number of streams that other hosts have placed and not yet reported.
 *
 * <p>The estimate is the rate at which the other hosts place streams, times the age at which their reports arrive. Not
 * thread-safe.
 */
public final class UnseenPlacements {
    /** Time constant of the rate, in milliseconds. */
    private static final double RATE_MILLIS = 2_000;

    /** Weight of a placement in the average age. */
    private static final double AGE_WEIGHT = 0.1;

    private double decayedCount;
    private double averageAgeMillis;
    private long countedAtMillis;

    /**
     * Records a report.
     *
     * @param before load that the same host reported before, by engine
     */
    public void record(
            Map<TargetId, InFlightLoad> before, Map<TargetId, InFlightLoad> after, long ageMillis, long nowMillis) {
        int placements = 0;
        for (Map.Entry<TargetId, InFlightLoad> engine : after.entrySet()) {
            InFlightLoad known = before.getOrDefault(engine.getKey(), InFlightLoad.NONE);
            placements += Math.max(0, engine.getValue().prefilling() - known.prefilling());
        }
        if (placements > 0) {
            decayedCount = decayedCount(nowMillis) + placements;
            countedAtMillis = nowMillis;
            averageAgeMillis += AGE_WEIGHT * (ageMillis - averageAgeMillis);
        }
    }

    /** Returns the expected number of placements that are not yet reported. */
    public double expected(long nowMillis) {
        return decayedCount(nowMillis) / RATE_MILLIS * averageAgeMillis;
    }

    private double decayedCount(long nowMillis) {
        return decayedCount * Math.exp(-(nowMillis - countedAtMillis) / RATE_MILLIS);
    }
}
