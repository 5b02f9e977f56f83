package org.amaranthlock.coordination.routing;

import org.amaranthlock.model.Arguments;

/**
 * Exponentially decaying average, with a given half-life, of samples taken at irregular times.
 *
 * <p>Not thread-safe.
 */
final class DecayingAverage {
    private final double halfLifeMillis;
    private double weightedSum;
    private double weight;
    private long lastMillis;

    DecayingAverage(double halfLifeMillis) {
        Arguments.require(halfLifeMillis > 0, "halfLifeMillis must be positive: " + halfLifeMillis);
        this.halfLifeMillis = halfLifeMillis;
    }

    /** Adds a sample. */
    void add(double sample, double sampleWeight, long nowMillis) {
        decay(nowMillis);
        weightedSum += sample * sampleWeight;
        weight += sampleWeight;
    }

    /** Returns the average, including {@code prior} as a sample of weight {@code priorWeight}. */
    double valueWithPrior(double prior, double priorWeight, long nowMillis) {
        decay(nowMillis);
        return (weightedSum + prior * priorWeight) / (weight + priorWeight);
    }

    /** Returns the average as of the last sample, including {@code prior} as a sample of weight {@code priorWeight}. */
    double lastValueWithPrior(double prior, double priorWeight) {
        return valueWithPrior(prior, priorWeight, lastMillis);
    }

    /** Returns the decayed total weight of the samples. */
    double weight(long nowMillis) {
        decay(nowMillis);
        return weight;
    }

    private void decay(long nowMillis) {
        long elapsed = nowMillis - lastMillis;
        if (elapsed > 0) {
            double factor = Math.pow(0.5, elapsed / halfLifeMillis);
            weightedSum *= factor;
            weight *= factor;
            lastMillis = nowMillis;
        }
    }
}
