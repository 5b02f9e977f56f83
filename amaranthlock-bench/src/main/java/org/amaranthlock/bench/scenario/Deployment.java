package org.amaranthlock.bench.scenario;

import org.amaranthlock.bench.sim.EngineSettings;

/**
 * Describes the size and workload of a simulated deployment.
 *
 * @param title title in the table
 * @param routers number of routers
 * @param engines number of simulated engines
 * @param regions number of regions
 * @param domainsPerRegion number of failure domains per region
 * @param engine settings of each engine
 * @param meanResponseTokens mean number of tokens of a response, without stragglers
 * @param lengthSigma standard deviation of the logarithm of the response length
 * @param meanPromptTokens mean number of tokens of a prompt
 * @param stragglerFactor factor by which a straggler's response is longer
 * @param timeoutMillis time from the arrival of a request to its deadline, except for stragglers
 * @param clientDelayMillis one-way network delay between clients and routers
 */
public record Deployment(
        String title,
        int routers,
        int engines,
        int regions,
        int domainsPerRegion,
        EngineSettings engine,
        double meanResponseTokens,
        double lengthSigma,
        double meanPromptTokens,
        double stragglerFactor,
        long timeoutMillis,
        double clientDelayMillis) {
    /**
     * Maximum number of prompt tokens that an engine prefills per step. Engines with continuous batching prefill long
     * prompts in chunks. 2,048 is at the upper end of usual limits, so a chunk still delays the batch by 307 ms.
     */
    public static final int PREFILL_CHUNK_TOKENS = 2_048;

    /** Returns engine settings with load reports that arrive two seconds late, as the tail latency measure requires. */
    private static EngineSettings engineSettings(int prefillChunkTokens) {
        return new EngineSettings(8, 30, 2.5, 0.15, prefillChunkTokens, 2_000, 500);
    }

    /** Returns the deployment of a franchise, Frostwolle: long generated drafts and deadlines of 90 s. */
    public static Deployment frostwolle(int prefillChunkTokens) {
        return new Deployment(
                "Frostwolle", 8, 12, 3, 2, engineSettings(prefillChunkTokens), 300, 0.6, 800, 15, 90_000, 1);
    }

    /** Returns the deployment of a fitters' association: short quotations and deadlines of 30 s. */
    public static Deployment association(int prefillChunkTokens) {
        return new Deployment(
                "Association", 8, 12, 3, 2, engineSettings(prefillChunkTokens), 120, 0.5, 400, 20, 30_000, 3);
    }

    /** Returns the tokens per second that all engines generate together with full batches. */
    public double capacityTokensPerSecond() {
        return engines * engine.capacityTokensPerSecond();
    }
}
