package org.amaranthlock.bench.capacity;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntFunction;
import org.amaranthlock.bench.capacity.ScalingTable.Metric;

/** Measures series of fleets in which one parameter grows while the others stay constant. */
final class ScalingExperiments {
    /** Limit of 4.7% of a processor core. */
    private static final double CORE_LIMIT_MICROS_PER_SECOND = 47_000;

    private static final double MEMORY_LIMIT_KB = 64 * 1_024;
    private static final double BYTES_PER_SECOND_LIMIT = 2_048;
    /** The requirement allows "several hundred" writes, which are taken as 300. */
    private static final double WRITES_PER_SECOND_LIMIT = 300;

    private static final double READS_PER_SECOND_LIMIT = 2_000;
    private static final int SMALL_FLEET_ROUTERS = 9;
    private static final int SMALL_FLEET_TARGETS = 32;
    private static final int SMALL_FLEET_ACCOUNTS = 24;
    private static final int SHORT_GENERATION_TOKENS = 8;

    private final ScalingTable table;
    private final Map<String, Runnable> series = new LinkedHashMap<>();

    ScalingExperiments(PrintWriter out) {
        table = new ScalingTable(out);
        series.put("routers", this::varyRouters);
        series.put("targets", this::varyTargets);
        series.put("accounts", this::varyAccounts);
        series.put("requests", this::varyRequestRate);
        series.put("changes", this::varyChangeRate);
        series.put("change-routers", this::varyRoutersWithChanges);
        series.put("change-entries", this::varyTargetsWithChanges);
        series.put("fleet", this::varyLoadedRouters);
        series.put("whole", this::measureAllRouters);
        series.put("stated", this::measureDesignSize);
    }

    Map<String, Runnable> series() {
        return series;
    }

    /** Runs small fleets of all kinds, so that the JIT compiler has seen every path before the first measurement. */
    static void warmUp() {
        FleetSize size =
                new FleetSize(SMALL_FLEET_ROUTERS, 300, 200, FleetSize.DESIGN_SIZE.requestsPerRouterPerSecond(), 60, 1);
        FleetMeasurement.measure(size, 10, 5);
        FleetMeasurement.measure(FleetSize.idle(30, SMALL_FLEET_TARGETS, SMALL_FLEET_ACCOUNTS), 0, 5);
    }

    private void varyRouters() {
        List<FleetMeasurement> measurements = measureEach(
                n -> FleetSize.idle(n, SMALL_FLEET_TARGETS, SMALL_FLEET_ACCOUNTS),
                0,
                2,
                SMALL_FLEET_ROUTERS,
                30,
                90,
                180,
                330);
        table.print("idle fleet by routers", FleetSize::routers, measurements, idleMetrics());
        table.printByKind("330 idle routers", measurements.getLast());
    }

    private void varyTargets() {
        List<FleetMeasurement> measurements = measureEach(
                n -> FleetSize.idle(SMALL_FLEET_ROUTERS, n, SMALL_FLEET_ACCOUNTS), 0, 4, 775, 1_550, 3_100, 6_200);
        table.print("9 idle routers by targets", FleetSize::targets, measurements, idleMetrics());
        table.printByKind("9 idle routers, 6,200 targets", measurements.getLast());
    }

    private void varyAccounts() {
        double rate = FleetSize.DESIGN_SIZE.requestsPerRouterPerSecond();
        List<FleetMeasurement> measurements = measureEach(
                n -> FleetSize.idle(SMALL_FLEET_ROUTERS, SMALL_FLEET_TARGETS, n)
                        .withRequests(rate, SHORT_GENERATION_TOKENS),
                10,
                4,
                662,
                1_325,
                2_650,
                5_300);
        table.print("9 routers with short requests by accounts", FleetSize::accounts, measurements, loadMetrics());
    }

    private void varyRequestRate() {
        List<FleetMeasurement> measurements = new ArrayList<>();
        for (double rate : new double[] {4.6, 9.2, 18.5, 37}) {
            measurements.add(FleetMeasurement.measure(
                    FleetSize.idle(SMALL_FLEET_ROUTERS, 216, 144)
                            .withRequests(rate, FleetSize.DESIGN_SIZE.tokensPerGeneration()),
                    40,
                    2));
        }
        table.print(
                "9 routers by requests/s per router",
                FleetSize::requestsPerRouterPerSecond,
                measurements,
                loadMetrics());
        table.printByKind("9 routers, 18.5 requests/s each, 540 tokens", measurements.get(2));
    }

    private void varyChangeRate() {
        List<FleetMeasurement> measurements = new ArrayList<>();
        for (double rate : new double[] {0.5, 1, 2, 4}) {
            measurements.add(FleetMeasurement.measure(
                    FleetSize.idle(SMALL_FLEET_ROUTERS, 1_550, 1_325).withChanges(rate), 10, 4));
        }
        table.print("9 routers by configuration changes/s", FleetSize::changesPerSecond, measurements, idleMetrics());
        table.printByKind("9 routers, 4 changes/s", measurements.getLast());
    }

    private void varyRoutersWithChanges() {
        List<FleetMeasurement> measurements = measureEach(
                n -> FleetSize.idle(n, SMALL_FLEET_TARGETS, SMALL_FLEET_ACCOUNTS)
                        .withChanges(1),
                10,
                2,
                SMALL_FLEET_ROUTERS,
                30,
                60,
                120);
        table.print("1 configuration change/s by routers", FleetSize::routers, measurements, idleMetrics());
    }

    private void varyTargetsWithChanges() {
        List<FleetMeasurement> measurements = measureEach(
                n -> FleetSize.idle(SMALL_FLEET_ROUTERS, n, SMALL_FLEET_ACCOUNTS)
                        .withChanges(1),
                10,
                4,
                775,
                1_550,
                3_100,
                6_200);
        table.print("1 configuration change/s by targets", FleetSize::targets, measurements, idleMetrics());
    }

    private void varyLoadedRouters() {
        double rate = FleetSize.DESIGN_SIZE.requestsPerRouterPerSecond();
        List<FleetMeasurement> measurements = measureEach(
                n -> FleetSize.idle(n, SMALL_FLEET_TARGETS, n * 4).withRequests(rate, SHORT_GENERATION_TOKENS),
                8,
                2,
                9,
                30,
                60,
                120);
        table.print("routers with 18.5 short requests/s each", FleetSize::routers, measurements, loadMetrics());
        table.printByKind("120 routers, 18.5 short requests/s each", measurements.getLast());
    }

    private void measureAllRouters() {
        double rate = FleetSize.DESIGN_SIZE.requestsPerRouterPerSecond();
        FleetMeasurement measurement = FleetMeasurement.measure(
                FleetSize.idle(FleetSize.DESIGN_SIZE.routers(), SMALL_FLEET_TARGETS, 1_000)
                        .withRequests(rate, SHORT_GENERATION_TOKENS)
                        .withChanges(FleetSize.DESIGN_SIZE.changesPerSecond()),
                8,
                1);
        table.print("330 routers, 18.5 short requests/s each", FleetSize::routers, List.of(measurement), loadMetrics());
        table.printByKind("330 routers, 18.5 short requests/s each", measurement);
    }

    /**
     * Measures the design size with short generations. The start time of 40 s is too short for the gossip about the
     * started routers to end, so the control bytes include it.
     */
    private void measureDesignSize() {
        FleetSize designSize = FleetSize.DESIGN_SIZE;
        FleetMeasurement measurement = FleetMeasurement.measure(
                designSize.withRequests(designSize.requestsPerRouterPerSecond(), SHORT_GENERATION_TOKENS), 40, 5, 1);
        table.print("design size, 8 tokens per generation", FleetSize::routers, List.of(measurement), loadMetrics());
        table.printByKind("design size, 8 tokens per generation", measurement);
    }

    private static List<FleetMeasurement> measureEach(
            IntFunction<FleetSize> size, int warmUp, int pass, int... numbers) {
        return Arrays.stream(numbers)
                .mapToObj(number -> FleetMeasurement.measure(size.apply(number), warmUp, pass))
                .toList();
    }

    private static List<Metric> idleMetrics() {
        return List.of(
                new Metric("control messages /router/s", FleetMeasurement::controlMessagesPerSecond, Double.NaN),
                new Metric(
                        "control bytes sent /router/s",
                        FleetMeasurement::controlBytesPerSecond,
                        BYTES_PER_SECOND_LIMIT),
                new Metric(
                        "  membership",
                        measurement -> measurement.messageBytesPerSecond("Ping", "Ack", "PingRequest"),
                        Double.NaN),
                new Metric(
                        "  configuration",
                        measurement -> measurement.messageBytesPerSecond("ConfigPush", "ConfigPull"),
                        Double.NaN),
                new Metric(
                        "  rate-limit shares",
                        measurement -> measurement.messageBytesPerSecond("UsageReport", "ShareGrant"),
                        Double.NaN),
                new Metric(
                        "control bytes, busiest router /s",
                        FleetMeasurement::busiestControlBytes,
                        BYTES_PER_SECOND_LIMIT),
                new Metric("core us/router/s", FleetMeasurement::coreMicros, CORE_LIMIT_MICROS_PER_SECOND),
                new Metric("codec us/router/s", FleetMeasurement::codecMicros, CORE_LIMIT_MICROS_PER_SECOND),
                new Metric("memory KB/router", measurement -> measurement.heapBytes() / 1_024, MEMORY_LIMIT_KB),
                new Metric(
                        "platform writes/s, fleet",
                        measurement -> measurement.platformCallsPerSecond(true),
                        WRITES_PER_SECOND_LIMIT),
                new Metric(
                        "platform other calls/s, fleet",
                        measurement -> measurement.platformCallsPerSecond(false),
                        READS_PER_SECOND_LIMIT),
                new Metric(
                        "host list KB/s, fleet",
                        measurement -> measurement.callBytesPerSecond("ListHosts") / 1_024,
                        Double.NaN),
                new Metric("load polls /router/s", ScalingExperiments::pollsPerRouter, Double.NaN),
                new Metric(
                        "load poll bytes sent /router/s",
                        measurement -> pollsPerRouter(measurement) * LoadPollSize.SENT_BYTES,
                        BYTES_PER_SECOND_LIMIT),
                new Metric(
                        "load poll bytes received /router/s",
                        measurement -> pollsPerRouter(measurement) * LoadPollSize.RECEIVED_BYTES,
                        BYTES_PER_SECOND_LIMIT));
    }

    private static double pollsPerRouter(FleetMeasurement measurement) {
        return measurement.callsPerSecond("target poll") / measurement.size().routers();
    }

    private static List<Metric> loadMetrics() {
        List<Metric> metrics = new ArrayList<>(idleMetrics());
        metrics.add(new Metric("data messages /router/s", FleetMeasurement::dataMessagesPerSecond, Double.NaN));
        metrics.add(new Metric("data bytes sent /router/s", FleetMeasurement::dataBytesPerSecond, Double.NaN));
        metrics.add(new Metric(
                "core us/s for arrivals", measurement -> measurement.eventMicrosPerSecond("Arrived"), Double.NaN));
        metrics.add(new Metric(
                "core us/s for tokens", measurement -> measurement.eventMicrosPerSecond("TokensReceived"), Double.NaN));
        metrics.add(
                new Metric("core us/s for ticks", measurement -> measurement.eventMicrosPerSecond("Tick"), Double.NaN));
        return metrics;
    }
}
