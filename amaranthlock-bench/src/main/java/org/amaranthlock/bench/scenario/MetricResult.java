package org.amaranthlock.bench.scenario;

import java.util.Arrays;
import java.util.List;
import org.amaranthlock.model.Arguments;

/**
 * One figure of the table, over all seeds.
 *
 * @param title what was measured, with the unit
 * @param target stated target; {@code Double.NaN} if the figure has none
 * @param upperBound whether the target is an upper bound
 * @param values the value of each seed
 */
public record MetricResult(String title, double target, boolean upperBound, List<Double> values) {
    public MetricResult {
        values = List.copyOf(values);
        Arguments.require(!values.isEmpty(), "a figure needs a value");
    }

    /** Returns the median over the seeds. */
    public double median() {
        double[] sorted = values.stream().mapToDouble(Double::doubleValue).toArray();
        Arrays.sort(sorted);
        return sorted[sorted.length / 2];
    }

    /** Returns the value that is furthest to the wrong side. */
    public double worst() {
        return upperBound
                ? values.stream().mapToDouble(Double::doubleValue).max().orElseThrow()
                : values.stream().mapToDouble(Double::doubleValue).min().orElseThrow();
    }

    /** Returns {@code met} if every seed meets the target, {@code missed} if one does not, or an empty text. */
    public String verdict() {
        if (Double.isNaN(target)) {
            return "";
        }
        boolean met = upperBound ? worst() <= target : worst() >= target;
        return met ? "met" : "missed";
    }
}
