package org.amaranthlock.bench.scenario;

import java.util.Arrays;
import java.util.List;
import org.amaranthlock.model.Arguments;

/**
 * Result of one metric over all seeds.
 *
 * @param title title of the metric, with its unit
 * @param targetValue target value; {@code Double.NaN} if the metric has none
 * @param upperBound whether the target is an upper bound, not a lower bound
 * @param values the value of each seed
 */
public record MetricResult(String title, double targetValue, boolean upperBound, List<Double> values) {
    public MetricResult {
        values = List.copyOf(values);
        Arguments.require(!values.isEmpty(), "a metric result needs at least one value");
    }

    /** Returns the median over the seeds. */
    public double median() {
        double[] sorted = values.stream().mapToDouble(Double::doubleValue).toArray();
        Arrays.sort(sorted);
        return sorted[sorted.length / 2];
    }

    /** Returns the worst value: the highest for an upper bound, the lowest for a lower bound. */
    public double worst() {
        return upperBound
                ? values.stream().mapToDouble(Double::doubleValue).max().orElseThrow()
                : values.stream().mapToDouble(Double::doubleValue).min().orElseThrow();
    }

    /**
     * Returns {@code met} if every seed meets the target, {@code missed} if any seed does not, or an empty string if
     * there is no target.
     */
    public String targetStatus() {
        if (Double.isNaN(targetValue)) {
            return "";
        }
        boolean met = upperBound ? worst() <= targetValue : worst() >= targetValue;
        return met ? "met" : "missed";
    }
}
