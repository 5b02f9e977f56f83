package org.amaranthlock.coordination.routing;

/**
 * Observed speed of one target, as moving averages over short, middle and long times.
 *
 * <p>A short average notices a slowdown within a second, a long one keeps a single slow answer from condemning the
 * target. The idea of averages at several speeds follows the published description of DRPC's provider rating.
 *
 * <p>Not thread-safe.
 */
final class TargetLatency {
    private static final double[] HALF_LIVES_MILLIS = {1_000, 5_000, 30_000};

    /** Weight of the prior in samples; few samples say little. */
    private static final double PRIOR_WEIGHT = 4;

    private final DecayingAverage[] averages = new DecayingAverage[HALF_LIVES_MILLIS.length];

    TargetLatency() {
        for (int i = 0; i < averages.length; i++) {
            averages[i] = new DecayingAverage(HALF_LIVES_MILLIS[i]);
        }
    }

    /** Adds the time between two tokens, or of a whole service answer, in milliseconds. */
    void add(double millis, double weight, long nowMillis) {
        for (DecayingAverage average : averages) {
            average.add(millis, weight, nowMillis);
        }
    }

    /** Returns the highest of the averages: slow at any time scale counts as slow. */
    double worstAverage(double prior, long nowMillis) {
        double highest = 0;
        for (DecayingAverage average : averages) {
            highest = Math.max(highest, average.valueWithPrior(prior, PRIOR_WEIGHT, nowMillis));
        }
        return highest;
    }

    /** Returns the average over the middle time. */
    double mediumTermAverage(double prior, long nowMillis) {
        return averages[1].valueWithPrior(prior, PRIOR_WEIGHT, nowMillis);
    }

    boolean hasSamples(long nowMillis) {
        return averages[2].weight(nowMillis) > 1;
    }
}
