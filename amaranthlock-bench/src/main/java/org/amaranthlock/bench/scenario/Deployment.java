package org.amaranthlock.bench.scenario;

import org.amaranthlock.bench.sim.EngineSettings;

/**
 * Size and work of one deployment.
 *
 * @param title name in the table
 * @param routers entry hosts
 * @param engines model engines
 * @param regions regions
 * @param domainsPerRegion failure domains per region
 * @param engine properties of an engine
 * @param meanTokens mean length of an answer that is no straggler
 * @param lengthSpread standard deviation of the logarithm of the length
 * @param meanPromptTokens mean length of a prompt
 * @param stragglerFactor how many times longer a straggler's answer is
 * @param deadlineMillis time that callers allow for an answer that is no straggler
 * @param clientMillis one way between callers and routers
 */
public record Deployment(
        String title,
        int routers,
        int engines,
        int regions,
        int domainsPerRegion,
        EngineSettings engine,
        double meanTokens,
        double lengthSpread,
        double meanPromptTokens,
        double stragglerFactor,
        long deadlineMillis,
        double clientMillis) {
    /**
     * Prompt tokens that a step reads at most. Engines with continuous batching read long prompts in chunks; 2,048 is
     * at the upper end of usual limits, so a chunk still delays the batch by 307 ms.
     */
    public static final int PREFILL_CHUNK_TOKENS = 2_048;

    /** Load reports are two seconds late, as the fourth measure demands. */
    private static EngineSettings engine(int prefillChunkTokens) {
        return new EngineSettings(8, 30, 2.5, 0.15, prefillChunkTokens, 2_000, 500);
    }

    /** The franchise's ordering backbone: long drafts, patient staff. */
    public static Deployment frostwolle(int prefillChunkTokens) {
        return new Deployment("Frostwolle", 8, 12, 3, 2, engine(prefillChunkTokens), 300, 0.6, 800, 15, 90_000, 1);
    }

    /** The fitters' association: short quotations, impatient callers. */
    public static Deployment association(int prefillChunkTokens) {
        return new Deployment("Association", 8, 12, 3, 2, engine(prefillChunkTokens), 120, 0.5, 400, 20, 30_000, 3);
    }

    /** Returns the tokens per second of all engines with full batches. */
    public double capacityTokensPerSecond() {
        return engines * engine.capacityTokensPerSecond();
    }
}
