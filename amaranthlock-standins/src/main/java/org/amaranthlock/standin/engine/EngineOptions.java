package org.amaranthlock.standin.engine;

/**
 * Settings of an engine stand-in.
 *
 * @param host IP number to listen on
 * @param port port, 0 for an ephemeral one
 * @param model name of the loaded model
 * @param version version of the loaded model
 * @param slots streams that run at a time
 * @param paceMillis time per token of a stream that runs alone, in milliseconds
 * @param batchGrowth relative increase of the pace per further running stream
 * @param prefillMicros time per uncached prompt token, in microseconds
 * @param cacheTokens size of the prefix cache, in tokens
 * @param reportLagMillis delay of load reports and cache events, in milliseconds
 * @param eventGap each how many cache events one is lost, 0 for none
 * @param keepMillis time for which a stream without reader is kept, in milliseconds
 * @param fencing whether orders with a lower fencing number are refused
 */
public record EngineOptions(
        String host,
        int port,
        String model,
        String version,
        int slots,
        double paceMillis,
        double batchGrowth,
        double prefillMicros,
        int cacheTokens,
        long reportLagMillis,
        int eventGap,
        long keepMillis,
        boolean fencing) {
    /** Returns settings for tests: ephemeral loopback port, fast pace, 8 slots, checks fencing numbers. */
    public static EngineOptions defaults() {
        return new EngineOptions("127.0.0.1", 0, "m1", "1", 8, 2, 0.05, 20, 65_536, 0, 0, 30_000, true);
    }

    /** Returns a copy with another pace. */
    public EngineOptions withPaceMillis(double value) {
        return new EngineOptions(
                host,
                port,
                model,
                version,
                slots,
                value,
                batchGrowth,
                prefillMicros,
                cacheTokens,
                reportLagMillis,
                eventGap,
                keepMillis,
                fencing);
    }

    /** Returns a copy with another number of slots. */
    public EngineOptions withSlots(int value) {
        return new EngineOptions(
                host,
                port,
                model,
                version,
                value,
                paceMillis,
                batchGrowth,
                prefillMicros,
                cacheTokens,
                reportLagMillis,
                eventGap,
                keepMillis,
                fencing);
    }

    /** Returns a copy that checks or ignores fencing numbers. */
    public EngineOptions withFencing(boolean value) {
        return new EngineOptions(
                host,
                port,
                model,
                version,
                slots,
                paceMillis,
                batchGrowth,
                prefillMicros,
                cacheTokens,
                reportLagMillis,
                eventGap,
                keepMillis,
                value);
    }
}
