package org.amaranthlock.bench.sim;

/**
 * Settings of a simulated engine.
 *
 * @param slots maximum number of requests in a batch
 * @param baseStepMillis duration of a decoding step with an empty batch
 * @param stepMillisPerRequest additional duration of a step per request in the batch
 * @param prefillMillisPerToken time to prefill a prompt token that is not cached
 * @param prefillChunkTokens maximum number of tokens prefilled per step, while the rest of the batch decodes
 * @param reportDelayMillis age of a load report on arrival
 * @param reportIntervalMillis interval between load reports
 */
public record EngineSettings(
        int slots,
        double baseStepMillis,
        double stepMillisPerRequest,
        double prefillMillisPerToken,
        int prefillChunkTokens,
        long reportDelayMillis,
        long reportIntervalMillis) {
    /** Returns the tokens per second that a full batch generates. */
    public double capacityTokensPerSecond() {
        return slots * 1_000 / (baseStepMillis + stepMillisPerRequest * slots);
    }
}
