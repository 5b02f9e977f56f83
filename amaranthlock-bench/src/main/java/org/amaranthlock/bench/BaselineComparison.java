package org.amaranthlock.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import org.amaranthlock.bench.policy.AmaranthlockPolicy;
import org.amaranthlock.bench.scenario.MetricResult;
import org.amaranthlock.bench.scenario.PolicyBenchmark;

/** Compares figures of the product's policy with those of the baselines. */
final class BaselineComparison {
    /** The product's excess must be less than this part of the best baseline's. */
    private static final double MAX_EXCESS_RATIO = 0.5;

    private BaselineComparison() {}

    /** Returns the product's tail excess over the best baseline's, seed by seed; empty if a part is missing. */
    static Optional<MetricResult> tailExcessRatio(Map<String, List<MetricResult>> results) {
        List<Double> own = new ArrayList<>();
        List<List<Double>> baselines = new ArrayList<>();
        results.forEach((policy, figures) -> figures.stream()
                .filter(figure -> figure.title().equals(PolicyBenchmark.TAIL_EXCESS))
                .forEach(figure -> {
                    if (policy.equals(AmaranthlockPolicy.TITLE)) {
                        own.addAll(figure.values());
                    } else {
                        baselines.add(figure.values());
                    }
                }));
        if (own.isEmpty() || baselines.isEmpty()) {
            return Optional.empty();
        }
        List<Double> ratios = IntStream.range(0, own.size())
                .mapToObj(seed -> excessRatio(own.get(seed), lowestExcess(baselines, seed)))
                .toList();
        return Optional.of(new MetricResult("p99 excess, times best baseline's", MAX_EXCESS_RATIO, true, ratios));
    }

    private static double lowestExcess(List<List<Double>> baselines, int seed) {
        return baselines.stream().mapToDouble(values -> values.get(seed)).min().orElseThrow();
    }

    /** A baseline without excess leaves no room for a smaller one, so any own excess then counts in full. */
    private static double excessRatio(double own, double best) {
        return own <= 0 ? 0 : own / Math.max(1, best);
    }
}
