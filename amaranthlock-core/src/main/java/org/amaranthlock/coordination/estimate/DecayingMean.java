package org.amaranthlock.coordination.estimate;

/** Mean of values whose weight decays exponentially with their age. Not thread-safe. */
final class DecayingMean {
    private final double decayMillis;
    private double sum;
    private double weight;
    private long atMillis;

    /** Creates a mean of which a value keeps 1/e of its weight after {@code decayMillis}. */
    DecayingMean(double decayMillis) {
        this.decayMillis = decayMillis;
    }

    void add(double value, long nowMillis) {
        double left = left(nowMillis);
        sum = sum * left + value;
        weight = weight * left + 1;
        atMillis = Math.max(atMillis, nowMillis);
    }

    boolean isEmpty() {
        return weight == 0;
    }

    /** Returns the mean; NaN if there was no value. */
    double mean() {
        return sum / weight;
    }

    /** Returns the number of values, each by its weight now. */
    double weight(long nowMillis) {
        return weight * left(nowMillis);
    }

    private double left(long nowMillis) {
        return Math.exp(-Math.max(0, nowMillis - atMillis) / decayMillis);
    }
}
