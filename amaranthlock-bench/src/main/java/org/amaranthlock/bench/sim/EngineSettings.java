package org.amaranthlock.bench.sim;

/**
 * Properties of a simulated engine.
 *
 * @param slots requests in a batch
 * @param baseStepMillis time of a decoding step with an empty batch
 * @param stepMillisPerRequest additional time of a step per request in the batch
 * @param prefillMillisPerToken time to read a prompt token that is not cached
 * @param prefillChunkTokens prompt tokens that one step reads at most, while the rest of the batch decodes
 * @param reportDelayMillis age of a load report when it arrives
 * @param reportIntervalMillis time between load reports
 */
public record EngineSettings(
        int slots,
        double baseStepMillis,
        double stepMillisPerRequest,
        double prefillMillisPerToken,
        int prefillChunkTokens,
        long reportDelayMillis,
        long reportIntervalMillis) {
    /** Returns the tokens per second of a full batch. */
    public double capacityTokensPerSecond() {
        return slots * 1_000 / (baseStepMillis + stepMillisPerRequest * slots);
    }
}
