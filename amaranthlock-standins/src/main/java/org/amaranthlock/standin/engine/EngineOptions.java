package org.amaranthlock.standin.engine;

/**
 * Settings of an engine stand-in.
 *
 * @param host the IP address to listen on
 * @param port the port, or 0 for an ephemeral port
 * @param model the name of the loaded model
 * @param version the version of the loaded model
 * @param slots the maximum number of concurrently running streams
 * @param tokenLatencyMillis the time per token of a stream that runs alone, in milliseconds
 * @param batchGrowth the relative increase of the time per token for each further running stream
 * @param prefillMicros the time per uncached prompt token, in microseconds
 * @param cacheTokens the size of the prefix cache, in tokens
 * @param reportDelayMillis the delay of load reports and cache events, in milliseconds
 * @param eventLossInterval the interval of lost cache events: every n-th event is lost; 0 loses none
 * @param unreadRetentionMillis the time for which a stream without a reader is retained, in milliseconds
 * @param fencing whether commands with a fencing token lower than the highest one seen are rejected
 */
public record EngineOptions(
        String host,
        int port,
        String model,
        String version,
        int slots,
        double tokenLatencyMillis,
        double batchGrowth,
        double prefillMicros,
        int cacheTokens,
        long reportDelayMillis,
        int eventLossInterval,
        long unreadRetentionMillis,
        boolean fencing) {
    /** Returns settings for tests: ephemeral loopback port, 2 ms per token, 8 slots, fencing tokens checked. */
    public static EngineOptions defaults() {
        return new EngineOptions("127.0.0.1", 0, "m1", "1", 8, 2, 0.05, 20, 65_536, 0, 0, 30_000, true);
    }

    /** Returns a copy with the given time per token. */
    public EngineOptions withTokenLatencyMillis(double value) {
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
                reportDelayMillis,
                eventLossInterval,
                unreadRetentionMillis,
                fencing);
    }

    /** Returns a copy with the given number of slots. */
    public EngineOptions withSlots(int value) {
        return new EngineOptions(
                host,
                port,
                model,
                version,
                value,
                tokenLatencyMillis,
                batchGrowth,
                prefillMicros,
                cacheTokens,
                reportDelayMillis,
                eventLossInterval,
                unreadRetentionMillis,
                fencing);
    }

    /** Returns a copy that checks or ignores fencing tokens. */
    public EngineOptions withFencing(boolean value) {
        return new EngineOptions(
                host,
                port,
                model,
                version,
                slots,
                tokenLatencyMillis,
                batchGrowth,
                prefillMicros,
                cacheTokens,
                reportDelayMillis,
                eventLossInterval,
                unreadRetentionMillis,
                value);
    }
}
