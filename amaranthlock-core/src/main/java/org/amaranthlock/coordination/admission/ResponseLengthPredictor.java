package org.amaranthlock.coordination.admission;

import java.util.LinkedHashMap;
import java.util.Map;
import org.amaranthlock.model.AccountId;
import org.amaranthlock.model.RequestSpec;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.Work;

/**
 * Predicts the length of responses from past responses of the same client account and service.
 *
 * <p>Lengths are averaged on a logarithmic scale because a few responses are many times longer than the rest. Not
 * thread-safe.
 */
final class ResponseLengthPredictor {
    /** Predicted length before the first observation, in tokens. */
    private static final double PRIOR_TOKENS = 200;

    /** Weight of a new length in the moving average. */
    private static final double LEARNING_RATE = 0.05;

    /** Maximum number of account and service pairs; the least recently used one is evicted first. */
    private static final int CAPACITY = 8_192;

    private final Map<Key, Double> meanLogTokens = new LinkedHashMap<>(16, 0.75f, true);

    /** Returns the predicted number of tokens of the response, at least 1; a service call counts as 1. */
    double predict(RequestSpec spec) {
        return switch (spec.work()) {
            case Work.Generation generation -> {
                double logTokens = meanLogTokens.getOrDefault(key(spec), Math.log(PRIOR_TOKENS));
                yield Math.max(1, Math.min(generation.maxTokens(), Math.exp(logTokens)));
            }
            case Work.ServiceCall _ -> 1;
        };
    }

    /** Records the length of a response, in tokens. */
    void recordLength(RequestSpec spec, int tokens) {
        if (!(spec.work() instanceof Work.Generation) || tokens <= 0) {
            return;
        }
        double previous = meanLogTokens.getOrDefault(key(spec), Math.log(PRIOR_TOKENS));
        meanLogTokens.put(key(spec), previous + LEARNING_RATE * (Math.log(tokens) - previous));
        if (meanLogTokens.size() > CAPACITY) {
            meanLogTokens.remove(meanLogTokens.keySet().iterator().next());
        }
    }

    private static Key key(RequestSpec spec) {
        return new Key(spec.account(), spec.service());
    }

    private record Key(AccountId account, ServiceName service) {}
}
