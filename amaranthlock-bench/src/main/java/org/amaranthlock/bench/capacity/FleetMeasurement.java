package org.amaranthlock.bench.capacity;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.amaranthlock.bench.capacity.RouterMetrics.Total;

/**
 * Steady state of a fleet.
 *
 * @param size the fleet
 * @param seconds measured virtual seconds
 * @param metrics totals of all routers over the measured time
 * @param busiestControlBytes the most control bytes that one router sent, per second
 * @param coreMicros processor time of the decision core per router and second, median of the passes
 * @param codecMicros processor time to encode and decode peer messages per router and second, median of the passes
 * @param heapBytes memory that one router holds
 */
record FleetMeasurement(
        FleetSize size,
        double seconds,
        RouterMetrics metrics,
        double busiestControlBytes,
        double coreMicros,
        double codecMicros,
        double heapBytes) {
    private static final int PASSES = 5;

    /**
     * Seconds without load until the start of a fleet no longer fills the gossip: each router passes on the news of
     * all others, and its messages hold only 8 of them.
     */
    private static final int BASE_START_SECONDS = 20;

    /** Lets a fleet start, warms it up under load, measures it in several passes and lets go of it. */
    static FleetMeasurement measure(FleetSize size, int warmUpSeconds, int passSeconds) {
        return measure(size, BASE_START_SECONDS + size.routers(), warmUpSeconds, passSeconds);
    }

    /** Measures a fleet after a given time to start. */
    static FleetMeasurement measure(FleetSize size, int startSeconds, int warmUpSeconds, int passSeconds) {
        RouterFleet fleet = new RouterFleet(size);
        fleet.advance(startSeconds * 1_000L);
        fleet.enableLoad(true);
        fleet.advance(warmUpSeconds * 1_000L);
        fleet.drainMetrics();
        RouterMetrics sum = new RouterMetrics();
        List<Double> handle = new ArrayList<>();
        List<Double> codec = new ArrayList<>();
        Map<MeteredRouter, Long> control = new HashMap<>();
        double perRouter = 1_000.0 * size.routers() * passSeconds;
        for (int i = 0; i < PASSES; i++) {
            fleet.advance(passSeconds * 1_000L);
            codec.add(fleet.codecNanos() / perRouter);
            fleet.routers()
                    .forEach(router ->
                            control.merge(router, router.metrics().control().sum(), Long::sum));
            RouterMetrics pass = fleet.drainMetrics();
            handle.add(pass.handled().sum() / perRouter);
            sum.addAll(pass);
        }
        double seconds = PASSES * passSeconds;
        double busiest =
                control.values().stream().mapToLong(Long::longValue).max().orElse(0) / seconds;
        if (fleet.failedChanges() > 0) {
            throw new IllegalStateException("configuration changes failed: " + fleet.failedChanges());
        }
        long before = HeapUsage.usedBytes();
        fleet.releaseRouters();
        double heap = (double) (before - HeapUsage.usedBytes()) / size.routers();
        return new FleetMeasurement(size, seconds, sum, busiest, median(handle), median(codec), heap);
    }

    static double median(List<Double> values) {
        List<Double> sorted = values.stream().sorted().toList();
        return sorted.get(sorted.size() / 2);
    }

    double controlMessagesPerSecond() {
        return perRouterSecond(metrics.control().count());
    }

    double controlBytesPerSecond() {
        return perRouterSecond(metrics.control().sum());
    }

    /** Returns the bytes of some kinds of messages that a router sends per second. */
    double messageBytesPerSecond(String... kinds) {
        double sum = 0;
        for (String kind : kinds) {
            Total total = metrics.messages().get(kind);
            sum += total == null ? 0 : perRouterSecond(total.sum());
        }
        return sum;
    }

    double dataMessagesPerSecond() {
        return perRouterSecond(metrics.data().count());
    }

    double dataBytesPerSecond() {
        return perRouterSecond(metrics.data().sum());
    }

    /** Returns the calls of a kind per second of the whole fleet. */
    double callsPerSecond(String kind) {
        Total total = metrics.platformCalls().get(kind);
        return total == null ? 0 : total.count() / seconds;
    }

    double callBytesPerSecond(String kind) {
        Total total = metrics.platformCalls().get(kind);
        return total == null ? 0 : total.sum() / seconds;
    }

    /** Returns all platform calls per second of the whole fleet that are writes, or that are not. */
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
        return total == null ? 0 : perRouterSecond(total.sum()) / 1_000;
    }

    double perRouterSecond(double sum) {
        return sum / seconds / size.routers();
    }
}
