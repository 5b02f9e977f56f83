package org.amaranthlock.bench.capacity;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Costs of failures, as the growth of the work per router over the time around them. */
final class FailureExperiments {
    private static final int SECOND = 1_000;

    private final PrintWriter out;
    private final Map<String, Runnable> series = new LinkedHashMap<>();

    FailureExperiments(PrintWriter out) {
        this.out = out;
        series.put("domain", this::domain);
        series.put("partition", this::partition);
        series.put("restarts", this::restarts);
        series.put("outage", this::outage);
        series.put("change-peak", this::changePeak);
    }

    Map<String, Runnable> series() {
        return series;
    }

    private void domain() {
        Fleet fleet = new Fleet(FleetSize.idle(FleetSize.STATED.routers(), 32, 24));
        fleet.advance(350 * SECOND);
        head("loss of a failure domain: 47 of 330 idle routers at second 1");
        second(fleet, 0);
        for (FleetRouter router : fleet.routers()) {
            if (router.member().failureDomain().value().equals("domain-1")) {
                router.stop();
            }
        }
        for (int i = 1; i <= 15; i++) {
            second(fleet, i);
        }
        printAgreement(fleet, 15);
        fleet.advance(15 * SECOND);
        printAgreement(fleet, 30);
        fleet.advance(30 * SECOND);
        printAgreement(fleet, 60);
    }

    private void printAgreement(Fleet fleet, int seconds) {
        long live = fleet.routers().stream().filter(FleetRouter::running).count();
        long exact = fleet.routers().stream()
                .filter(FleetRouter::running)
                .filter(router ->
                        router.core().orElseThrow().membership().liveMembers().size() == live)
                .count();
        out.println("routers that see exactly the " + live + " live ones after " + seconds + " s: " + exact);
    }

    private void partition() {
        Fleet fleet = new Fleet(FleetSize.idle(90, 32, 24));
        fleet.advance(110 * SECOND);
        head("region 0 apart for 60 s, 90 idle routers, seconds after the cut");
        second(fleet, 0);
        fleet.connect((from, to) ->
                from.region().value().equals("region-0") == to.region().value().equals("region-0"));
        for (int i = 1; i <= 60; i++) {
            if (i <= 12 || i == 60) {
                second(fleet, i);
            } else {
                fleet.advance(SECOND);
                fleet.takeMeters();
            }
        }
        fleet.connect((from, to) -> true);
        out.println("reachable again");
        for (int i = 61; i <= 75; i++) {
            second(fleet, i);
        }
        long whole = fleet.routers().stream()
                .filter(router ->
                        router.core().orElseThrow().membership().liveMembers().size() == 90)
                .count();
        out.println("routers that see all 90 after 15 s: " + whole);
    }

    private void restarts() {
        out.println();
        out.println("one restart in 2 s, idle routers; growth over the quiet fleet per restart, whole fleet");
        out.println("routers  targets  control KB  core ms  lists  list KB");
        restarts(FleetSize.idle(30, 1_550, 1_325));
        restarts(FleetSize.idle(60, 1_550, 1_325));
        restarts(FleetSize.idle(90, 1_550, 1_325));
        restarts(FleetSize.idle(30, 3_100, 2_650));
        restarts(FleetSize.idle(30, 6_200, 5_300));
    }

    private void restarts(FleetSize size) {
        int restarts = 15;
        Fleet fleet = new Fleet(size);
        fleet.advance((20L + size.routers()) * SECOND);
        fleet.takeMeters();
        fleet.advance(2L * restarts * SECOND);
        Meter quiet = fleet.takeMeters();
        for (int i = 0; i < restarts; i++) {
            fleet.start(10 + i, i + 1);
            fleet.advance(2 * SECOND);
        }
        Meter busy = fleet.takeMeters();
        long bytes = busy.control().sum() - quiet.control().sum();
        long nanos = busy.handled().sum() - quiet.handled().sum();
        Meter.Total lists = busy.platformCalls().get("ListObjects");
        out.printf(
                Locale.ROOT,
                "%7d  %7d  %10.1f  %7.1f  %5.1f  %7.1f%n",
                size.routers(),
                size.targets(),
                bytes / 1_024.0 / restarts,
                nanos / 1_000_000.0 / restarts,
                (double) lists.count() / restarts,
                lists.sum() / 1_024.0 / restarts);
    }

    private void outage() {
        out.println();
        out.println("platform down, 9 routers with 18.5 short requests/s each");
        out.println("seconds  waiting/router  KB/router  bytes/waiting  data bytes/router/s  core us/router/s");
        List<Slope.Point> points = new ArrayList<>();
        for (int seconds : new int[] {15, 30, 60, 120}) {
            points.add(outage(seconds));
        }
        Slope slope = Slope.fit(points);
        double waiting = FleetSize.STATED.requestsPerRouter() * 600;
        out.printf(
                Locale.ROOT,
                "line: %.1f bytes per waiting record, R2 %.3f; 600 s: %.0f records, %.1f MB%n",
                slope.slope(),
                slope.r2(),
                waiting,
                slope.slope() * waiting / 1_048_576);
    }

    private Slope.Point outage(int seconds) {
        FleetSize size = FleetSize.idle(9, 32, 144).withRequests(FleetSize.STATED.requestsPerRouter(), 8);
        Fleet fleet = new Fleet(size);
        fleet.load(true);
        fleet.advance(30 * SECOND);
        fleet.store().down(true);
        long before = Heap.usedBytes();
        long sentBefore = fleet.requestsSent();
        fleet.takeMeters();
        fleet.advance((long) seconds * SECOND);
        Meter meter = fleet.takeMeters();
        double heap = (double) (Heap.usedBytes() - before) / size.routers();
        double waiting = (double) (fleet.requestsSent() - sentBefore) / size.routers();
        out.printf(
                Locale.ROOT,
                "%7d  %14.0f  %9.1f  %13.1f  %19.1f  %16.1f%n",
                seconds,
                waiting,
                heap / 1_024,
                heap / waiting,
                (double) meter.data().sum() / size.routers() / seconds,
                meter.handled().sum() / 1_000.0 / size.routers() / seconds);
        fleet.release();
        return new Slope.Point(waiting, heap);
    }

    private void changePeak() {
        Fleet fleet = new Fleet(FleetSize.idle(30, 1_550, 1_325));
        fleet.advance(50 * SECOND);
        head("200 configuration changes in 10 s, 30 idle routers, 2,875 entries");
        second(fleet, 0);
        fleet.changesPerSecond(20);
        for (int i = 1; i <= 10; i++) {
            second(fleet, i);
        }
        fleet.changesPerSecond(0);
        for (int i = 11; i <= 14; i++) {
            second(fleet, i);
        }
        long revisions = fleet.routers().stream()
                .map(router -> router.core().orElseThrow().configuration().revision())
                .distinct()
                .count();
        out.println("changes " + fleet.changes() + ", refused " + fleet.changeErrors()
                + ", different revisions held after 4 s: " + revisions);
    }

    private void head(String title) {
        out.println();
        out.println(title);
        out.println("second  control msgs/router  control bytes/router  core us/router  busiest core us"
                + "  platform calls");
    }

    private void second(Fleet fleet, int number) {
        fleet.takeMeters();
        fleet.advance(SECOND);
        long running = fleet.routers().stream().filter(FleetRouter::running).count();
        long busiest = fleet.routers().stream()
                .mapToLong(router -> router.meter().handled().sum())
                .max()
                .orElse(0);
        Meter meter = fleet.takeMeters();
        long calls = meter.platformCalls().entrySet().stream()
                .filter(entry ->
                        !entry.getKey().equals("target poll") && !entry.getKey().equals("WatchAnswer"))
                .mapToLong(entry -> entry.getValue().count())
                .sum();
        out.printf(
                Locale.ROOT,
                "%6d  %19.1f  %20.1f  %14.1f  %15.1f  %14d%n",
                number,
                (double) meter.control().count() / running,
                (double) meter.control().sum() / running,
                meter.handled().sum() / 1_000.0 / running,
                busiest / 1_000.0,
                calls);
    }
}
