package org.amaranthlock.coordination.forwarding;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

/** Load pattern: a peak that fills all engines; bin/bench-forwarding --day peak measures the whole. */
class LoadSheddingPolicyTest {
    private static final ServiceDefinition ENGINES =
            new ServiceDefinition(EntryTargets.SERVICE, 100, true, 50_000, true, true);
    private static final long TOKENS = 6_000;

    private final LoadSheddingPolicy rule = new LoadSheddingPolicy(RandomSource.SPLIT_MIX_64.create(1L));

    @Test
    void refusesNothingWhileOneEngineIsFree() {
        assertThat(rule.retryAfterMillis(ENGINES, TOKENS, List.of(queue(), full(), load(2, 30_000))))
                .isEqualTo(OptionalLong.empty());
    }

    @Test
    void refusesWhenEachEngineIsFullOrHasAQueue() {
        assertThat(rule.retryAfterMillis(ENGINES, TOKENS, List.of(queue(), full()))
                        .isPresent())
                .isTrue();
    }

    // Guards against clients that all come back in the same moment.
    @Test
    void spreadsTheReturn() {
        List<Long> returns = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            returns.add(rule.retryAfterMillis(ENGINES, TOKENS, List.of(queue())).getAsLong());
        }
        assertThat(returns.stream().mapToLong(Long::longValue).max().getAsLong())
                .isGreaterThan(
                        2 * returns.stream().mapToLong(Long::longValue).min().getAsLong());
    }

    @Test
    void refusesNothingForWantOfEngines() {
        // A request without any engine is answered by the search for one.
        assertThat(rule.retryAfterMillis(ENGINES, TOKENS, List.of())).isEqualTo(OptionalLong.empty());
    }

    private static CandidateLoad queue() {
        return load(3, 18_000);
    }

    private static CandidateLoad full() {
        return load(0, 45_000);
    }

    private static CandidateLoad load(int reading, long tokens) {
        return new CandidateLoad(EntryTargets.ready("e", "a"), new InFlightLoad(reading, 4, 0, tokens), false, false);
    }
}
