package org.amaranthlock.coordination.estimate;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.amaranthlock.model.AccountId;
import org.amaranthlock.model.Arguments;

/**
 * Time that engines take to generate an answer, learned by route and client account, with the client's hint of its
 * length as a prior.
 *
 * <p>Times are averaged on a logarithmic scale, because a few answers are many times longer than the rest. Hints are
 * unbiased but often far off, so the two estimates are weighted by their precision. Not thread-safe.
 */
public final class GenerationEstimates {
    /** Number of answers before an estimate is used. */
    private static final int MIN_SAMPLES = 4;

    /** Number of recent answers that an average is taken over. */
    private static final int WINDOW_SAMPLES = 64;

    /** Least variance of the logarithm, so that a few equal answers do not outweigh everything else. */
    private static final double MIN_VARIANCE = 0.01;

    /** Maximum number of route and account pairs; the least recently used one is evicted first. */
    private static final int CAPACITY = 8_192;

    private final Map<Key, LogAverage> byAccount = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Key, LogAverage> eldest) {
            return size() > CAPACITY;
        }
    };

    /** Generation time per token of the hint, by route. */
    private final Map<String, LogAverage> byHint = new LinkedHashMap<>();

    private record Key(String route, AccountId account) {}

    /** Records that an answer took {@code millis} from its first event to its end. */
    public void record(String route, AccountId account, OptionalLong hintTokens, long millis) {
        Arguments.requireNonNegative(millis, "generation time");
        double logMillis = Math.log(Math.max(1, millis));
        byAccount
                .computeIfAbsent(new Key(route, account), _ -> new LogAverage())
                .add(logMillis);
        if (hintTokens.isPresent() && hintTokens.getAsLong() > 0) {
            byHint.computeIfAbsent(route, _ -> new LogAverage()).add(logMillis - Math.log(hintTokens.getAsLong()));
        }
    }

    /**
     * Returns the generation time, in milliseconds, that an answer exceeds in about five of six cases; empty if too
     * little is known.
     */
    public Optional<Double> usualMinMillis(String route, AccountId account, OptionalLong hintTokens) {
        double weightedSum = 0;
        double weights = 0;
        LogAverage accountAverage = byAccount.get(new Key(route, account));
        if (accountAverage != null && accountAverage.count >= MIN_SAMPLES) {
            weights = 1 / accountAverage.variance();
            weightedSum = weights * accountAverage.mean;
        }
        LogAverage hintAverage = byHint.get(route);
        if (hintAverage != null
                && hintAverage.count >= MIN_SAMPLES
                && hintTokens.isPresent()
                && hintTokens.getAsLong() > 0) {
            double weight = 1 / hintAverage.variance();
            weights += weight;
            weightedSum += weight * (hintAverage.mean + Math.log(hintTokens.getAsLong()));
        }
        return weights == 0 ? Optional.empty() : Optional.of(Math.exp(weightedSum / weights - Math.sqrt(1 / weights)));
    }

    /** Moving average and variance of logarithms. */
    private static final class LogAverage {
        private int count;
        private double mean;
        private double squares;

        void add(double value) {
            count = Math.min(count + 1, WINDOW_SAMPLES);
            double deviation = value - mean;
            mean += deviation / count;
            squares += (deviation * (value - mean) - squares) / count;
        }

        double variance() {
            return Math.max(MIN_VARIANCE, squares);
        }
    }
}
