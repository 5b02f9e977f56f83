package org.amaranthlock.standin.fleet;

/**
 * Size and speed of an engine.
 *
 * @param slots maximum number of concurrently running requests
 * @param queueCapacity maximum number of waiting requests
 * @param kvCapacityTokens size of the KV cache in tokens, shared by running requests, copies and cached prompt parts
 * @param baseStepMillis duration of a step without running requests and without prefill, in milliseconds
 * @param stepMillisPerSequence time that each running request adds to a step, in milliseconds
 * @param prefillTokensPerMilli prompt tokens prefilled per millisecond
 * @param prefillChunkTokens maximum number of prompt tokens prefilled in one step
 * @param tokensPerEvent tokens in one event of a stream
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
    /** Rejects sizes with which the engine could not make progress. */
    public EngineConfig {
        if (slots < 1 || queueCapacity < 0 || kvCapacityTokens < 1 || prefillChunkTokens < 1 || tokensPerEvent < 1) {
            throw new IllegalArgumentException(
                    "slots, kvCapacityTokens, prefillChunkTokens and tokensPerEvent must be positive"
                            + " and queueCapacity must not be negative");
        }
    }

    /**
     * Returns an engine for tests and demos that generates an event every {@code eventMillis}.
     *
     * <p>It prefills any prompt in one step and has an ample KV cache.
     */
    public static EngineConfig withEventInterval(long eventMillis) {
        return new EngineConfig(64, 64, 1_000_000, eventMillis, 0, 1_000_000, 1_000_000, 1);
    }

    /** Returns the engine of the platform's specification sheets: 64 concurrent requests, 55,000 tokens of KV cache. */
    public static EngineConfig specifiedEngine() {
        return new EngineConfig(64, 16, 55_000, 5.61, 0.1, 5, 500, 5);
    }
}
