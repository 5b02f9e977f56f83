package org.amaranthlock.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import org.amaranthlock.bench.policy.AmaranthlockPolicy;
import org.amaranthlock.bench.scenario.MetricResult;
import org.amaranthlock.bench.scenario.PolicyBenchmark;

/** Compares the tail latency of the product's policy with that of the baseline policies. */
final class BaselineComparison {
    /** Highest accepted ratio of the product's excess latency to that of the best baseline. */
    private static final double MAX_EXCESS_RATIO = 0.5;

    private BaselineComparison() {}

    /**
     * Returns, for each seed, the product's excess tail latency divided by that of the best baseline.
     *
     * @param results the metrics of each policy by its title
     * @return the ratios, or empty if the results lack the product or every baseline
     */
    static Optional<MetricResult> tailExcessRatio(Map<String, List<MetricResult>> results) {
        List<Double> product = new ArrayList<>();
        List<List<Double>> baselines = new ArrayList<>();
        results.forEach((policy, metrics) -> metrics.stream()
                .filter(metric -> metric.title().equals(PolicyBenchmark.TAIL_EXCESS))
                .forEach(metric -> {
                    if (policy.equals(AmaranthlockPolicy.TITLE)) {
                        product.addAll(metric.values());
                    } else {
                        baselines.add(metric.values());
                    }
                }));
        if (product.isEmpty() || baselines.isEmpty()) {
            return Optional.empty();
        }
        List<Double> ratios = IntStream.range(0, product.size())
                .mapToObj(seed -> excessRatio(product.get(seed), lowestExcess(baselines, seed)))
                .toList();
        return Optional.of(new MetricResult("p99 excess, ratio to best baseline", MAX_EXCESS_RATIO, true, ratios));
    }

    private static double lowestExcess(List<List<Double>> baselines, int seed) {
        return baselines.stream().mapToDouble(values -> values.get(seed)).min().orElseThrow();
    }

    /**
     * Returns the ratio of the product's excess to the lowest excess of the baselines, both in ms; 0 if the product has
     * none. The divisor is at least 1 ms: no policy can be better than a baseline without excess, so against it the
     * product's excess in ms counts in full.
     */
    private static double excessRatio(double product, double lowestBaseline) {
        return product <= 0 ? 0 : product / Math.max(1, lowestBaseline);
    }
}
