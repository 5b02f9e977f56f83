package org.amaranthlock.standin.fleet;

/**
 * Size and speed of an engine.
 *
 * @param slots requests that run at once
 * @param queueCapacity requests that wait at most
 * @param kvCapacityTokens tokens that running requests, copies and cached parts share
 * @param baseStepMillis time of a step that no prompt delays, in milliseconds
 * @param stepMillisPerSequence what each running request adds to a step, in milliseconds
 * @param prefillTokensPerMilli prompt tokens read in a millisecond
 * @param prefillChunkTokens prompt tokens that one step reads at most
 * @param tokensPerEvent tokens in an event of a stream
 */
public record EngineConfig(
        int slots,
        int queueCapacity,
        int kvCapacityTokens,
        double baseStepMillis,
        double stepMillisPerSequence,
        double prefillTokensPerMilli,
        int prefillChunkTokens,
        int tokensPerEvent) {
    /** Checks that an engine of this shape makes progress. */
    public EngineConfig {
        if (slots < 1 || queueCapacity < 0 || kvCapacityTokens < 1 || prefillChunkTokens < 1 || tokensPerEvent < 1) {
            throw new IllegalArgumentException("slots, memory, chunk and tokens per event must be positive");
        }
    }

    /** Returns an engine for tests: an event each {@code eventMillis}, prompts read at once, much memory. */
    public static EngineConfig withEventInterval(long eventMillis) {
        return new EngineConfig(64, 64, 1_000_000, eventMillis, 0, 1_000_000, 1_000_000, 1);
    }

    /** Returns an engine with the figures of the users' sheets: 64 requests at once, 55,000 tokens. */
    public static EngineConfig specifiedEngine() {
        return new EngineConfig(64, 16, 55_000, 5.61, 0.1, 5, 500, 5);
    }
}
