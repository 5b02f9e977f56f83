package org.amaranthlock.bench.capacity;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntFunction;
import org.amaranthlock.bench.capacity.ScalingTable.Metric;

/** Series of fleets in which one number grows and the others stay. */
final class ScalingExperiments {
    /** 4.7% of a core in microseconds per second. */
    private static final double CORE_LIMIT_MICROS_PER_SECOND = 47_000;

    private static final double MEMORY_LIMIT_KB = 64 * 1_024;
    private static final double BYTES_PER_SECOND_LIMIT = 2_048;
    /** "Several hundred" writes are taken as 300. */
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

    /** Runs small fleets of all kinds, so that the compiler has seen every path before a time is taken. */
    static void warmUp() {
        FleetSize size = new FleetSize(SMALL_FLEET_ROUTERS, 300, 200, FleetSize.DESIGN_SIZE.requestsPerRouter(), 60, 1);
        FleetMeasurement.measure(size, 10, 5);
        FleetMeasurement.measure(FleetSize.idle(30, SMALL_FLEET_TARGETS, SMALL_FLEET_ACCOUNTS), 0, 5);
    }

    private void varyRouters() {
        List<FleetMeasurement> samples = measureEach(
                n -> FleetSize.idle(n, SMALL_FLEET_TARGETS, SMALL_FLEET_ACCOUNTS),
                0,
                2,
                SMALL_FLEET_ROUTERS,
                30,
                90,
                180,
                330);
        table.print("idle fleet by routers", FleetSize::routers, samples, idleMetrics());
        table.printByKind("330 idle routers", samples.getLast());
    }

    private void varyTargets() {
        List<FleetMeasurement> samples = measureEach(
                n -> FleetSize.idle(SMALL_FLEET_ROUTERS, n, SMALL_FLEET_ACCOUNTS), 0, 4, 775, 1_550, 3_100, 6_200);
        table.print("9 idle routers by targets", FleetSize::targets, samples, idleMetrics());
        table.printByKind("9 idle routers, 6,200 targets", samples.getLast());
    }

    private void varyAccounts() {
        double rate = FleetSize.DESIGN_SIZE.requestsPerRouter();
        List<FleetMeasurement> samples = measureEach(
                n -> FleetSize.idle(SMALL_FLEET_ROUTERS, SMALL_FLEET_TARGETS, n)
                        .withRequests(rate, SHORT_GENERATION_TOKENS),
                10,
                4,
                662,
                1_325,
                2_650,
                5_300);
        table.print("9 routers with short requests by accounts", FleetSize::accounts, samples, loadMetrics());
    }

    private void varyRequestRate() {
        List<FleetMeasurement> samples = new ArrayList<>();
        for (double rate : new double[] {4.6, 9.2, 18.5, 37}) {
            samples.add(FleetMeasurement.measure(
                    FleetSize.idle(SMALL_FLEET_ROUTERS, 216, 144)
                            .withRequests(rate, FleetSize.DESIGN_SIZE.tokensPerGeneration()),
                    40,
                    2));
        }
        table.print("9 routers by requests/s per router", FleetSize::requestsPerRouter, samples, loadMetrics());
        table.printByKind("9 routers, 18.5 requests/s each, 540 tokens", samples.get(2));
    }

    private void varyChangeRate() {
        List<FleetMeasurement> samples = new ArrayList<>();
        for (double rate : new double[] {0.5, 1, 2, 4}) {
            samples.add(FleetMeasurement.measure(
                    FleetSize.idle(SMALL_FLEET_ROUTERS, 1_550, 1_325).withChanges(rate), 10, 4));
        }
        table.print("9 routers by configuration changes/s", FleetSize::changesPerSecond, samples, idleMetrics());
        table.printByKind("9 routers, 4 changes/s", samples.getLast());
    }

    private void varyRoutersWithChanges() {
        List<FleetMeasurement> samples = measureEach(
                n -> FleetSize.idle(n, SMALL_FLEET_TARGETS, SMALL_FLEET_ACCOUNTS)
                        .withChanges(1),
                10,
                2,
                SMALL_FLEET_ROUTERS,
                30,
                60,
                120);
        table.print("1 configuration change/s by routers", FleetSize::routers, samples, idleMetrics());
    }

    private void varyTargetsWithChanges() {
        List<FleetMeasurement> samples = measureEach(
                n -> FleetSize.idle(SMALL_FLEET_ROUTERS, n, SMALL_FLEET_ACCOUNTS)
                        .withChanges(1),
                10,
                4,
                775,
                1_550,
                3_100,
                6_200);
        table.print("1 configuration change/s by targets", FleetSize::targets, samples, idleMetrics());
    }

    private void varyLoadedRouters() {
        double rate = FleetSize.DESIGN_SIZE.requestsPerRouter();
        List<FleetMeasurement> samples = measureEach(
                n -> FleetSize.idle(n, SMALL_FLEET_TARGETS, n * 4).withRequests(rate, SHORT_GENERATION_TOKENS),
                8,
                2,
                9,
                30,
                60,
                120);
        table.print("routers with 18.5 short requests/s each", FleetSize::routers, samples, loadMetrics());
        table.printByKind("120 routers, 18.5 short requests/s each", samples.getLast());
    }

    private void measureAllRouters() {
        double rate = FleetSize.DESIGN_SIZE.requestsPerRouter();
        FleetMeasurement sample = FleetMeasurement.measure(
                FleetSize.idle(FleetSize.DESIGN_SIZE.routers(), SMALL_FLEET_TARGETS, 1_000)
                        .withRequests(rate, SHORT_GENERATION_TOKENS)
                        .withChanges(FleetSize.DESIGN_SIZE.changesPerSecond()),
                8,
                1);
        table.print("330 routers, 18.5 short requests/s each", FleetSize::routers, List.of(sample), loadMetrics());
        table.printByKind("330 routers, 18.5 short requests/s each", sample);
    }

    /** The stated size except for the length of generations; the gossip of the start is still under way. */
    private void measureDesignSize() {
        FleetSize stated = FleetSize.DESIGN_SIZE;
        FleetMeasurement sample = FleetMeasurement.measure(
                stated.withRequests(stated.requestsPerRouter(), SHORT_GENERATION_TOKENS), 40, 5, 1);
        table.print("stated size, 8 tokens per generation", FleetSize::routers, List.of(sample), loadMetrics());
        table.printByKind("stated size, 8 tokens per generation", sample);
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
                        sample -> sample.messageBytesPerSecond("Ping", "Ack", "PingRequest"),
                        Double.NaN),
                new Metric(
                        "  configuration",
                        sample -> sample.messageBytesPerSecond("ConfigPush", "ConfigPull"),
                        Double.NaN),
                new Metric("  shares", sample -> sample.messageBytesPerSecond("UsageReport", "ShareGrant"), Double.NaN),
                new Metric(
                        "control bytes, busiest router /s",
                        FleetMeasurement::busiestControlBytes,
                        BYTES_PER_SECOND_LIMIT),
                new Metric("core us/router/s", FleetMeasurement::coreMicros, CORE_LIMIT_MICROS_PER_SECOND),
                new Metric("codec us/router/s", FleetMeasurement::codecMicros, CORE_LIMIT_MICROS_PER_SECOND),
                new Metric("memory KB/router", sample -> sample.heapBytes() / 1_024, MEMORY_LIMIT_KB),
                new Metric(
                        "platform writes/s, fleet",
                        sample -> sample.platformCallsPerSecond(true),
                        WRITES_PER_SECOND_LIMIT),
                new Metric(
                        "platform other calls/s, fleet",
                        sample -> sample.platformCallsPerSecond(false),
                        READS_PER_SECOND_LIMIT),
                new Metric(
                        "host list KB/s, fleet", sample -> sample.callBytesPerSecond("ListHosts") / 1_024, Double.NaN),
                new Metric("load polls /router/s", ScalingExperiments::pollsPerRouter, Double.NaN),
                new Metric(
                        "load poll bytes sent /router/s",
                        sample -> pollsPerRouter(sample) * LoadPollSize.SENT_BYTES,
                        BYTES_PER_SECOND_LIMIT),
                new Metric(
                        "load poll bytes received /router/s",
                        sample -> pollsPerRouter(sample) * LoadPollSize.RECEIVED_BYTES,
                        BYTES_PER_SECOND_LIMIT));
    }

    private static double pollsPerRouter(FleetMeasurement sample) {
        return sample.callsPerSecond("target poll") / sample.size().routers();
    }

    private static List<Metric> loadMetrics() {
        List<Metric> figures = new ArrayList<>(idleMetrics());
        figures.add(new Metric("data messages /router/s", FleetMeasurement::dataMessagesPerSecond, Double.NaN));
        figures.add(new Metric("data bytes sent /router/s", FleetMeasurement::dataBytesPerSecond, Double.NaN));
        figures.add(new Metric("core us/s for arrivals", sample -> sample.eventMicrosPerSecond("Arrived"), Double.NaN));
        figures.add(new Metric(
                "core us/s for tokens", sample -> sample.eventMicrosPerSecond("TokensReceived"), Double.NaN));
        figures.add(new Metric("core us/s for ticks", sample -> sample.eventMicrosPerSecond("Tick"), Double.NaN));
        return figures;
    }
}
