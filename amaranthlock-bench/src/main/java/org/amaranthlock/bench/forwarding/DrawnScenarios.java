package org.amaranthlock.bench.forwarding;

import java.util.List;
import java.util.stream.IntStream;
import org.amaranthlock.standin.fleet.EngineConfig;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Draws scenarios at random, so that a policy can be measured on deployments that nobody looked at while it was written.
 */
final class DrawnScenarios {
    private static final long ARRIVALS_MILLIS = 60_000;
    private static final double CROSS_DOMAIN_DELAY_MILLIS = 12;
    private static final int QUEUE_CAPACITY = 64;
    private static final int PREFILL_CHUNK_TOKENS = 300;
    private static final int TOKENS_PER_EVENT = 5;
    private static final double CALM_SHARE = 0.2;

    private DrawnScenarios() {}

    /** Returns {@code count} scenarios; the same seed gives the same scenarios. */
    static List<ForwardingScenario> draw(int count, long seed) {
        return IntStream.range(0, count)
                .mapToObj(i -> draw("drawn-" + seed + "-" + i, RandomSource.XO_RO_SHI_RO_128_PP.create(seed + 31L * i)))
                .toList();
    }

    private static ForwardingScenario draw(String title, UniformRandomProvider random) {
        int slots = 8 << random.nextInt(4);
        double prefillTokensPerMilli = random.nextDouble(4, 10);
        EngineConfig engine = new EngineConfig(
                slots,
                QUEUE_CAPACITY,
                random.nextInt(40_000, 120_000),
                random.nextDouble(4, 8),
                random.nextDouble(0.05, 0.2),
                prefillTokensPerMilli,
                PREFILL_CHUNK_TOKENS,
                TOKENS_PER_EVENT);
        int engines = random.nextInt(6, 40);
        int promptTokens = random.nextInt(2_000, 10_000);
        // Share of the time that the engines spend on prompts, if no prompt is prefilled twice.
        double utilization = random.nextDouble(0.1, 0.5);
        double streamsPerSecond = utilization * engines * prefillTokensPerMilli * 1_000 / promptTokens;
        boolean calm = random.nextDouble() < CALM_SHARE;
        return new ForwardingScenario(
                title,
                random.nextInt(4, 17),
                random.nextInt(2, 5),
                engines,
                engine,
                streamsPerSecond,
                promptTokens,
                random.nextInt(60, 200),
                CROSS_DOMAIN_DELAY_MILLIS,
                calm ? 0 : random.nextLong(4_000, 12_000),
                random.nextDouble(0.3, 1),
                random.nextLong(800, 3_000),
                ARRIVALS_MILLIS);
    }
}
