package org.amaranthlock.coordination.routing;

import org.amaranthlock.model.Arguments;

/**
 * Moving average that forgets with a half-life, for samples at irregular times.
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

    /** Returns the average, drawn towards {@code prior} as if that had been seen with {@code priorWeight}. */
    double valueWithPrior(double prior, double priorWeight, long nowMillis) {
        decay(nowMillis);
        return (weightedSum + prior * priorWeight) / (weight + priorWeight);
    }

    /** Returns the weight of the samples that are not forgotten. */
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
