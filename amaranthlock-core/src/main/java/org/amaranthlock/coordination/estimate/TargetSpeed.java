package org.amaranthlock.coordination.estimate;

import org.amaranthlock.model.Arguments;

/**
 * Observed speed of a target.
 *
 * @param ratio time that it took for a request, as a multiple of the time of its peers
 * @param answers number of answers on which the ratio is based, each counted by its weight
 */
public record TargetSpeed(double ratio, double answers) {
    /** Speed of a target without answers, which is assumed to be as fast as its peers. */
    public static final TargetSpeed UNKNOWN = new TargetSpeed(1, 0);

    /** Steps per unit of a rounded ratio. */
    private static final double PRECISION = 16;

    public TargetSpeed {
        Arguments.require(ratio > 0, "ratio must be positive");
        Arguments.require(answers >= 0, "answers must not be negative");
    }

    /** Returns the speed from the answers of both. */
    TargetSpeed plus(TargetSpeed other) {
        double all = answers + other.answers;
        return all == 0 ? UNKNOWN : new TargetSpeed((ratioSum() + other.ratioSum()) / all, all);
    }

    double ratioSum() {
        return ratio * answers;
    }

    /** Returns this speed with its ratio in steps of 1/16 and its answers as a power of two; reports then rarely differ. */
    TargetSpeed rounded() {
        return new TargetSpeed(Math.max(1, Math.round(ratio * PRECISION)) / PRECISION, powerOfTwo(answers));
    }

    /** Returns the nearest power of two, from a half on; 0 for less than a quarter. */
    private static double powerOfTwo(double value) {
        return value < 0.25 ? 0 : Math.max(0.5, Math.scalb(1.0, (int) Math.round(Math.log(value) / Math.log(2))));
    }
}
