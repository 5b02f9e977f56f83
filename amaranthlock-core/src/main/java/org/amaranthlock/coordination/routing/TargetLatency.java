package org.amaranthlock.coordination.routing;

/**
 * Observed latency of one target, as decaying averages with a short, a medium and a long half-life.
 *
 * <p>The short-term average detects a slowdown within a second; the long-term one keeps a single slow response from
 * counting against the target. Averages over several periods follow the published description of DRPC's provider
 * rating.
 *
 * <p>Not thread-safe.
 */
final class TargetLatency {
    private static final double[] HALF_LIVES_MILLIS = {1_000, 5_000, 30_000};

    /** Weight of the prior in samples, which dampens the effect of few samples. */
    private static final double PRIOR_WEIGHT = 4;

    private final DecayingAverage[] averages = new DecayingAverage[HALF_LIVES_MILLIS.length];

    TargetLatency() {
        for (int i = 0; i < averages.length; i++) {
            averages[i] = new DecayingAverage(HALF_LIVES_MILLIS[i]);
        }
    }

    /** Adds a latency in milliseconds: the time between tokens, or until the first token or the service response. */
    void add(double millis, double weight, long nowMillis) {
        for (DecayingAverage average : averages) {
            average.add(millis, weight, nowMillis);
        }
    }

    /** Returns the highest of the averages, so that a target that is slow over any period counts as slow. */
    double worstAverage(double prior, long nowMillis) {
        double highest = 0;
        for (DecayingAverage average : averages) {
            highest = Math.max(highest, average.valueWithPrior(prior, PRIOR_WEIGHT, nowMillis));
        }
        return highest;
    }

    /** Returns the average with the medium half-life. */
    double mediumTermAverage(double prior, long nowMillis) {
        return averages[1].valueWithPrior(prior, PRIOR_WEIGHT, nowMillis);
    }

    /** Returns the average with the medium half-life as of the last sample. */
    double lastMediumTermAverage(double prior) {
        return averages[1].lastValueWithPrior(prior, PRIOR_WEIGHT);
    }

    /** Returns whether the recent samples together have the weight of more than one. */
    boolean hasSamples(long nowMillis) {
        return averages[2].weight(nowMillis) > 1;
    }
}
