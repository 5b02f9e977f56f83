package org.amaranthlock.bench.capacity;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntFunction;
import org.amaranthlock.bench.capacity.SlopeTable.Figure;

/** Series of fleets in which one number grows and the others stay. */
final class Experiments {
    /** 4.7% of a core in microseconds per second. */
    private static final double CORE_LIMIT = 47_000;

    private static final double MEMORY_LIMIT_KB = 64 * 1_024;
    private static final double BYTES_LIMIT = 2_048;
    /** "Several hundred" writes are taken as 300. */
    private static final double WRITES_LIMIT = 300;

    private static final double READS_LIMIT = 2_000;
    private static final int FEW_ROUTERS = 9;
    private static final int FEW_TARGETS = 32;
    private static final int FEW_ACCOUNTS = 24;
    private static final int SHORT_TOKENS = 8;

    private final SlopeTable table;
    private final Map<String, Runnable> series = new LinkedHashMap<>();

    Experiments(PrintWriter out) {
        table = new SlopeTable(out);
        series.put("routers", this::routers);
        series.put("targets", this::targets);
        series.put("accounts", this::accounts);
        series.put("requests", this::requests);
        series.put("changes", this::changes);
        series.put("change-routers", this::changesByRouters);
        series.put("change-entries", this::changesByEntries);
        series.put("fleet", this::fleet);
        series.put("whole", this::whole);
        series.put("stated", this::stated);
    }

    Map<String, Runnable> series() {
        return series;
    }

    /** Runs small fleets of all kinds, so that the compiler has seen every path before a time is taken. */
    static void warmUp() {
        FleetSize size = new FleetSize(FEW_ROUTERS, 300, 200, FleetSize.STATED.requestsPerRouter(), 60, 1);
        Sample.measure(size, 10, 5);
        Sample.measure(FleetSize.idle(30, FEW_TARGETS, FEW_ACCOUNTS), 0, 5);
    }

    private void routers() {
        List<Sample> samples =
                run(n -> FleetSize.idle(n, FEW_TARGETS, FEW_ACCOUNTS), 0, 2, FEW_ROUTERS, 30, 90, 180, 330);
        table.print("idle fleet by routers", FleetSize::routers, samples, idleFigures());
        table.printKinds("330 idle routers", samples.getLast());
    }

    private void targets() {
        List<Sample> samples = run(n -> FleetSize.idle(FEW_ROUTERS, n, FEW_ACCOUNTS), 0, 4, 775, 1_550, 3_100, 6_200);
        table.print("9 idle routers by targets", FleetSize::targets, samples, idleFigures());
        table.printKinds("9 idle routers, 6,200 targets", samples.getLast());
    }

    private void accounts() {
        double rate = FleetSize.STATED.requestsPerRouter();
        List<Sample> samples = run(
                n -> FleetSize.idle(FEW_ROUTERS, FEW_TARGETS, n).withRequests(rate, SHORT_TOKENS),
                10,
                4,
                662,
                1_325,
                2_650,
                5_300);
        table.print("9 routers with short requests by accounts", FleetSize::accounts, samples, loadFigures());
    }

    private void requests() {
        List<Sample> samples = new ArrayList<>();
        for (double rate : new double[] {4.6, 9.2, 18.5, 37}) {
            samples.add(Sample.measure(
                    FleetSize.idle(FEW_ROUTERS, 216, 144).withRequests(rate, FleetSize.STATED.tokens()), 40, 2));
        }
        table.print("9 routers by requests/s per router", FleetSize::requestsPerRouter, samples, loadFigures());
        table.printKinds("9 routers, 18.5 requests/s each, 540 tokens", samples.get(2));
    }

    private void changes() {
        List<Sample> samples = new ArrayList<>();
        for (double rate : new double[] {0.5, 1, 2, 4}) {
            samples.add(Sample.measure(FleetSize.idle(FEW_ROUTERS, 1_550, 1_325).withChanges(rate), 10, 4));
        }
        table.print("9 routers by configuration changes/s", FleetSize::changesPerSecond, samples, idleFigures());
        table.printKinds("9 routers, 4 changes/s", samples.getLast());
    }

    private void changesByRouters() {
        List<Sample> samples =
                run(n -> FleetSize.idle(n, FEW_TARGETS, FEW_ACCOUNTS).withChanges(1), 10, 2, FEW_ROUTERS, 30, 60, 120);
        table.print("1 configuration change/s by routers", FleetSize::routers, samples, idleFigures());
    }

    private void changesByEntries() {
        List<Sample> samples =
                run(n -> FleetSize.idle(FEW_ROUTERS, n, FEW_ACCOUNTS).withChanges(1), 10, 4, 775, 1_550, 3_100, 6_200);
        table.print("1 configuration change/s by targets", FleetSize::targets, samples, idleFigures());
    }

    private void fleet() {
        double rate = FleetSize.STATED.requestsPerRouter();
        List<Sample> samples =
                run(n -> FleetSize.idle(n, FEW_TARGETS, n * 4).withRequests(rate, SHORT_TOKENS), 8, 2, 9, 30, 60, 120);
        table.print("routers with 18.5 short requests/s each", FleetSize::routers, samples, loadFigures());
        table.printKinds("120 routers, 18.5 short requests/s each", samples.getLast());
    }

    private void whole() {
        double rate = FleetSize.STATED.requestsPerRouter();
        Sample sample = Sample.measure(
                FleetSize.idle(FleetSize.STATED.routers(), FEW_TARGETS, 1_000)
                        .withRequests(rate, SHORT_TOKENS)
                        .withChanges(FleetSize.STATED.changesPerSecond()),
                8,
                1);
        table.print("330 routers, 18.5 short requests/s each", FleetSize::routers, List.of(sample), loadFigures());
        table.printKinds("330 routers, 18.5 short requests/s each", sample);
    }

    /** The stated size except for the length of generations; the gossip of the start is still under way. */
    private void stated() {
        FleetSize stated = FleetSize.STATED;
        Sample sample = Sample.measure(stated.withRequests(stated.requestsPerRouter(), SHORT_TOKENS), 40, 5, 1);
        table.print("stated size, 8 tokens per generation", FleetSize::routers, List.of(sample), loadFigures());
        table.printKinds("stated size, 8 tokens per generation", sample);
    }

    private static List<Sample> run(IntFunction<FleetSize> size, int warmUp, int pass, int... numbers) {
        return Arrays.stream(numbers)
                .mapToObj(number -> Sample.measure(size.apply(number), warmUp, pass))
                .toList();
    }

    private static List<Figure> idleFigures() {
        return List.of(
                new Figure("control messages /router/s", Sample::controlMessages, Double.NaN),
                new Figure("control bytes sent /router/s", Sample::controlBytes, BYTES_LIMIT),
                new Figure("  membership", sample -> sample.bytes("Ping", "Ack", "PingRequest"), Double.NaN),
                new Figure("  configuration", sample -> sample.bytes("ConfigPush", "ConfigPull"), Double.NaN),
                new Figure("  shares", sample -> sample.bytes("UsageReport", "ShareGrant"), Double.NaN),
                new Figure("control bytes, busiest router /s", Sample::busiest, BYTES_LIMIT),
                new Figure("core us/router/s", Sample::handleMicros, CORE_LIMIT),
                new Figure("codec us/router/s", Sample::codecMicros, CORE_LIMIT),
                new Figure("memory KB/router", sample -> sample.heapBytes() / 1_024, MEMORY_LIMIT_KB),
                new Figure("platform writes/s, fleet", sample -> sample.platform(true), WRITES_LIMIT),
                new Figure("platform other calls/s, fleet", sample -> sample.platform(false), READS_LIMIT),
                new Figure("host list KB/s, fleet", sample -> sample.callBytes("ListHosts") / 1_024, Double.NaN),
                new Figure("load polls /router/s", Experiments::polls, Double.NaN),
                new Figure("load poll bytes sent /router/s", sample -> polls(sample) * LoadPoll.SENT, BYTES_LIMIT),
                new Figure(
                        "load poll bytes received /router/s",
                        sample -> polls(sample) * LoadPoll.RECEIVED,
                        BYTES_LIMIT));
    }

    private static double polls(Sample sample) {
        return sample.calls("target poll") / sample.size().routers();
    }

    private static List<Figure> loadFigures() {
        List<Figure> figures = new ArrayList<>(idleFigures());
        figures.add(new Figure("data messages /router/s", Sample::dataMessages, Double.NaN));
        figures.add(new Figure("data bytes sent /router/s", Sample::dataBytes, Double.NaN));
        figures.add(new Figure("core us/s for arrivals", sample -> sample.eventMicros("Arrived"), Double.NaN));
        figures.add(new Figure("core us/s for tokens", sample -> sample.eventMicros("TokensReceived"), Double.NaN));
        figures.add(new Figure("core us/s for ticks", sample -> sample.eventMicros("Tick"), Double.NaN));
        return figures;
    }
}
