package org.amaranthlock.bench.capacity;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.amaranthlock.bench.capacity.RouterCostMetrics.Total;

/**
 * Measurement of a fleet in its steady state.
 *
 * @param size size and load of the fleet
 * @param seconds measured virtual time, in seconds
 * @param metrics totals of all routers over the measured time
 * @param busiestControlBytes control bytes per second of the router that sent the most
 * @param coreMicros processor time of the decision core per router and second, in microseconds; median of the passes
 * @param codecMicros processor time for encoding and decoding peer messages per router and second, in microseconds;
 *     median of the passes
 * @param heapBytes heap memory per router
 */
record FleetMeasurement(
        FleetSize size,
        double seconds,
        RouterCostMetrics metrics,
        double busiestControlBytes,
        double coreMicros,
        double codecMicros,
        double heapBytes) {
    private static final int PASSES = 5;

    /**
     * Time for which a fleet runs without load before its warm-up, in addition to one second per router, so that
     * membership updates from the start no longer fill the gossip messages: each router forwards the updates of all
     * others, and a message holds only 8 of them.
     */
    private static final int BASE_START_SECONDS = 20;

    /** Starts a fleet, warms it up under load, measures it in several passes and releases it. */
    static FleetMeasurement measure(FleetSize size, int warmUpSeconds, int passSeconds) {
        return measure(size, BASE_START_SECONDS + size.routers(), warmUpSeconds, passSeconds);
    }

    /** Measures a fleet that runs without load for {@code startSeconds} first. */
    static FleetMeasurement measure(FleetSize size, int startSeconds, int warmUpSeconds, int passSeconds) {
        RouterFleet fleet = new RouterFleet(size);
        fleet.advance(startSeconds * 1_000L);
        fleet.setLoadEnabled(true);
        fleet.advance(warmUpSeconds * 1_000L);
        fleet.drainMetrics();
        RouterCostMetrics totals = new RouterCostMetrics();
        List<Double> corePasses = new ArrayList<>();
        List<Double> codecPasses = new ArrayList<>();
        Map<MeteredRouter, Long> controlBytesByRouter = new HashMap<>();
        double microsDivisor = 1_000.0 * size.routers() * passSeconds;
        for (int i = 0; i < PASSES; i++) {
            fleet.advance(passSeconds * 1_000L);
            codecPasses.add(fleet.codecNanos() / microsDivisor);
            fleet.routers()
                    .forEach(router -> controlBytesByRouter.merge(
                            router, router.metrics().control().sum(), Long::sum));
            RouterCostMetrics pass = fleet.drainMetrics();
            corePasses.add(pass.handledEvents().sum() / microsDivisor);
            totals.addAll(pass);
        }
        double seconds = PASSES * passSeconds;
        double busiestControlBytes = controlBytesByRouter.values().stream()
                        .mapToLong(Long::longValue)
                        .max()
                        .orElse(0)
                / seconds;
        if (fleet.failedChanges() > 0) {
            throw new IllegalStateException(fleet.failedChanges() + " of " + fleet.requestedChanges()
                    + " configuration changes failed during the measurement of " + size);
        }
        long heapBytesBefore = HeapUsage.usedBytes();
        fleet.releaseRouters();
        double heapBytes = (double) (heapBytesBefore - HeapUsage.usedBytes()) / size.routers();
        return new FleetMeasurement(
                size, seconds, totals, busiestControlBytes, median(corePasses), median(codecPasses), heapBytes);
    }

    static double median(List<Double> values) {
        List<Double> sorted = values.stream().sorted().toList();
        return sorted.get(sorted.size() / 2);
    }

    double controlMessagesPerSecond() {
        return perRouterPerSecond(metrics.control().count());
    }

    double controlBytesPerSecond() {
        return perRouterPerSecond(metrics.control().sum());
    }

    /** Returns the bytes per second that a router sends in messages of the given kinds. */
    double messageBytesPerSecond(String... kinds) {
        double sum = 0;
        for (String kind : kinds) {
            Total total = metrics.messages().get(kind);
            sum += total == null ? 0 : perRouterPerSecond(total.sum());
        }
        return sum;
    }

    double dataMessagesPerSecond() {
        return perRouterPerSecond(metrics.data().count());
    }

    double dataBytesPerSecond() {
        return perRouterPerSecond(metrics.data().sum());
    }

    /** Returns the platform calls of a kind per second, summed over the fleet. */
    double callsPerSecond(String kind) {
        Total total = metrics.platformCalls().get(kind);
        return total == null ? 0 : total.count() / seconds;
    }

    double callBytesPerSecond(String kind) {
        Total total = metrics.platformCalls().get(kind);
        return total == null ? 0 : total.sum() / seconds;
    }

    /**
     * Returns the platform calls per second, summed over the fleet: either the writes or all other calls. A target poll
     * goes to an engine, and a watch response belongs to a call that has been counted as {@code Watch}.
     */
    double platformCallsPerSecond(boolean writes) {
        double sum = 0;
        for (String kind : new TreeMap<>(metrics.platformCalls()).keySet()) {
            boolean isCall = !kind.equals("target poll") && !kind.equals("WatchAnswer");
            boolean isWrite = kind.equals("Write") || kind.equals("Delete");
            sum += isCall && isWrite == writes ? callsPerSecond(kind) : 0;
        }
        return sum;
    }

    double eventMicrosPerSecond(String event) {
        Total total = metrics.events().get(event);
        return total == null ? 0 : perRouterPerSecond(total.sum()) / 1_000;
    }

    double perRouterPerSecond(double sum) {
        return sum / seconds / size.routers();
    }
}
