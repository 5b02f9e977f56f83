package org.amaranthlock.coordination.admission;

import java.util.LinkedHashMap;
import java.util.Map;
import org.amaranthlock.model.AccountId;
import org.amaranthlock.model.RequestSpec;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.Work;

/**
 * Predicts the length of answers from past answers of the same account and service.
 *
 * <p>Lengths are averaged on a logarithmic scale, because a few stragglers run many times longer than the rest. Not
 * thread-safe.
 */
final class LengthPredictor {
    /** Predicted length before anything was seen, in tokens. */
    private static final double PRIOR_TOKENS = 200;

    /** Weight of a new length against the average. */
    private static final double LEARNING_RATE = 0.05;

    /** Accounts that are remembered; least recently used ones are forgotten first. */
    private static final int CAPACITY = 8_192;

    private final Map<Key, Double> logarithms = new LinkedHashMap<>(16, 0.75f, true);

    /** Returns the predicted tokens of the answer, at least 1; a service call counts as 1. */
    double predict(RequestSpec spec) {
        return switch (spec.work()) {
            case Work.Generation generation -> {
                double logarithm = logarithms.getOrDefault(key(spec), Math.log(PRIOR_TOKENS));
                yield Math.max(1, Math.min(generation.maxTokens(), Math.exp(logarithm)));
            }
            case Work.ServiceCall _ -> 1;
        };
    }

    /** Notes the length of an answer, in tokens. */
    void recordLength(RequestSpec spec, int tokens) {
        if (!(spec.work() instanceof Work.Generation) || tokens <= 0) {
            return;
        }
        double before = logarithms.getOrDefault(key(spec), Math.log(PRIOR_TOKENS));
        logarithms.put(key(spec), before + LEARNING_RATE * (Math.log(tokens) - before));
        if (logarithms.size() > CAPACITY) {
            logarithms.remove(logarithms.keySet().iterator().next());
        }
    }

    private static Key key(RequestSpec spec) {
        return new Key(spec.account(), spec.service());
    }

    private record Key(AccountId account, ServiceName service) {}
}
