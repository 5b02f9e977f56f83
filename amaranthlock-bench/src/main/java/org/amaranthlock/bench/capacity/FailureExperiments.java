package org.amaranthlock.bench.capacity;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Measures the cost of failures as the additional work per router during and after each of them. As in
 * {@link FleetMeasurement}, an idle fleet first runs for 20 s plus one second per router, so that gossip about the
 * start does not count.
 */
final class FailureExperiments {
    private static final int MILLIS_PER_SECOND = 1_000;

    private final PrintWriter out;
    private final Map<String, Runnable> series = new LinkedHashMap<>();

    FailureExperiments(PrintWriter out) {
        this.out = out;
        series.put("domain", this::measureDomainFailure);
        series.put("partition", this::measureRegionPartition);
        series.put("restarts", this::measureRestarts);
        series.put("outage", this::measurePlatformOutage);
        series.put("change-peak", this::measureChangeBurst);
    }

    Map<String, Runnable> series() {
        return series;
    }

    private void measureDomainFailure() {
        RouterFleet fleet = new RouterFleet(FleetSize.idle(FleetSize.DESIGN_SIZE.routers(), 32, 24));
        fleet.advance(350 * MILLIS_PER_SECOND);
        printHeader("loss of a failure domain: 47 of 330 idle routers stop at second 1");
        measureSecond(fleet, 0);
        for (MeteredRouter router : fleet.routers()) {
            if (router.member().failureDomain().value().equals("domain-1")) {
                router.stop();
            }
        }
        for (int i = 1; i <= 15; i++) {
            measureSecond(fleet, i);
        }
        printMembershipAgreement(fleet, 15);
        fleet.advance(15 * MILLIS_PER_SECOND);
        printMembershipAgreement(fleet, 30);
        fleet.advance(30 * MILLIS_PER_SECOND);
        printMembershipAgreement(fleet, 60);
    }

    private void printMembershipAgreement(RouterFleet fleet, int seconds) {
        long live = fleet.routers().stream().filter(MeteredRouter::running).count();
        long agreeing = fleet.routers().stream()
                .filter(MeteredRouter::running)
                .filter(router ->
                        router.core().orElseThrow().membership().liveMembers().size() == live)
                .count();
        out.println(
                "routers whose view holds exactly the " + live + " live routers after " + seconds + " s: " + agreeing);
    }

    private void measureRegionPartition() {
        RouterFleet fleet = new RouterFleet(FleetSize.idle(90, 32, 24));
        fleet.advance(110 * MILLIS_PER_SECOND);
        printHeader("region 0 partitioned for 60 s, 90 idle routers, seconds after the partition");
        measureSecond(fleet, 0);
        fleet.setReachability((from, to) ->
                from.region().value().equals("region-0") == to.region().value().equals("region-0"));
        for (int i = 1; i <= 60; i++) {
            if (i <= 12 || i == 60) {
                measureSecond(fleet, i);
            } else {
                fleet.advance(MILLIS_PER_SECOND);
                fleet.drainMetrics();
            }
        }
        fleet.setReachability((from, to) -> true);
        out.println("partition healed");
        for (int i = 61; i <= 75; i++) {
            measureSecond(fleet, i);
        }
        long agreeing = fleet.routers().stream()
                .filter(router ->
                        router.core().orElseThrow().membership().liveMembers().size() == 90)
                .count();
        out.println("routers that see all 90 after 15 s: " + agreeing);
    }

    private void measureRestarts() {
        out.println();
        out.println("one restart every 2 s, idle routers; cost per restart above the idle fleet, whole fleet");
        out.println("routers  targets  control KB  core ms  lists  list KB");
        measureRestarts(FleetSize.idle(30, 1_550, 1_325));
        measureRestarts(FleetSize.idle(60, 1_550, 1_325));
        measureRestarts(FleetSize.idle(90, 1_550, 1_325));
        measureRestarts(FleetSize.idle(30, 3_100, 2_650));
        measureRestarts(FleetSize.idle(30, 6_200, 5_300));
    }

    private void measureRestarts(FleetSize size) {
        int restarts = 15;
        RouterFleet fleet = new RouterFleet(size);
        fleet.advance((20L + size.routers()) * MILLIS_PER_SECOND);
        fleet.drainMetrics();
        fleet.advance(2L * restarts * MILLIS_PER_SECOND);
        RouterCostMetrics idle = fleet.drainMetrics();
        for (int i = 0; i < restarts; i++) {
            // Routers below 10 include the seed routers, which stay up.
            fleet.startRouter(10 + i, i + 1);
            fleet.advance(2 * MILLIS_PER_SECOND);
        }
        RouterCostMetrics restarting = fleet.drainMetrics();
        long bytes = restarting.control().sum() - idle.control().sum();
        long nanos = restarting.handledEvents().sum() - idle.handledEvents().sum();
        RouterCostMetrics.Total listCalls = restarting.platformCalls().get("ListObjects");
        out.printf(
                Locale.ROOT,
                "%7d  %7d  %10.1f  %7.1f  %5.1f  %7.1f%n",
                size.routers(),
                size.targets(),
                bytes / 1_024.0 / restarts,
                nanos / 1_000_000.0 / restarts,
                (double) listCalls.count() / restarts,
                listCalls.sum() / 1_024.0 / restarts);
    }

    private void measurePlatformOutage() {
        out.println();
        out.println("platform outage, 9 routers with 18.5 short requests/s each");
        out.println("seconds  waiting/router  KB/router  bytes/waiting  data bytes/router/s  core us/router/s");
        List<LinearFit.Point> points = new ArrayList<>();
        for (int seconds : new int[] {15, 30, 60, 120}) {
            points.add(measurePlatformOutage(seconds));
        }
        LinearFit fit = LinearFit.fit(points);
        double waitingRecords = FleetSize.DESIGN_SIZE.requestsPerRouterPerSecond() * 600;
        out.printf(
                Locale.ROOT,
                "line: %.1f bytes per waiting record, R2 %.3f; 600 s: %.0f records, %.1f MB%n",
                fit.slope(),
                fit.r2(),
                waitingRecords,
                fit.slope() * waitingRecords / 1_048_576);
    }

    private LinearFit.Point measurePlatformOutage(int seconds) {
        FleetSize size = FleetSize.idle(9, 32, 144).withRequests(FleetSize.DESIGN_SIZE.requestsPerRouterPerSecond(), 8);
        RouterFleet fleet = new RouterFleet(size);
        fleet.setLoadEnabled(true);
        fleet.advance(30 * MILLIS_PER_SECOND);
        fleet.store().setOutage(true);
        long heapBytesBefore = HeapUsage.usedBytes();
        long createdBefore = fleet.requestsCreated();
        fleet.drainMetrics();
        fleet.advance((long) seconds * MILLIS_PER_SECOND);
        RouterCostMetrics metrics = fleet.drainMetrics();
        double heapBytes = (double) (HeapUsage.usedBytes() - heapBytesBefore) / size.routers();
        // Every request created during the outage counts as one outcome record that waits for the platform.
        double waitingRecords = (double) (fleet.requestsCreated() - createdBefore) / size.routers();
        out.printf(
                Locale.ROOT,
                "%7d  %14.0f  %9.1f  %13.1f  %19.1f  %16.1f%n",
                seconds,
                waitingRecords,
                heapBytes / 1_024,
                heapBytes / waitingRecords,
                (double) metrics.data().sum() / size.routers() / seconds,
                metrics.handledEvents().sum() / 1_000.0 / size.routers() / seconds);
        fleet.releaseRouters();
        return new LinearFit.Point(waitingRecords, heapBytes);
    }

    private void measureChangeBurst() {
        RouterFleet fleet = new RouterFleet(FleetSize.idle(30, 1_550, 1_325));
        fleet.advance(50 * MILLIS_PER_SECOND);
        printHeader("200 configuration changes in 10 s, 30 idle routers, 2,875 entries");
        measureSecond(fleet, 0);
        fleet.setChangesPerSecond(20);
        for (int i = 1; i <= 10; i++) {
            measureSecond(fleet, i);
        }
        fleet.setChangesPerSecond(0);
        for (int i = 11; i <= 14; i++) {
            measureSecond(fleet, i);
        }
        long revisions = fleet.routers().stream()
                .map(router -> router.core().orElseThrow().configuration().revision())
                .distinct()
                .count();
        out.println("changes requested " + fleet.requestedChanges() + ", refused " + fleet.failedChanges()
                + ", distinct revisions held after 4 s: " + revisions);
    }

    private void printHeader(String title) {
        out.println();
        out.println(title);
        out.println("second  control msgs/router  control bytes/router  core us/router  busiest core us"
                + "  platform calls");
    }

    private void measureSecond(RouterFleet fleet, int second) {
        fleet.drainMetrics();
        fleet.advance(MILLIS_PER_SECOND);
        long running = fleet.routers().stream().filter(MeteredRouter::running).count();
        long busiest = fleet.routers().stream()
                .mapToLong(router -> router.metrics().handledEvents().sum())
                .max()
                .orElse(0);
        RouterCostMetrics metrics = fleet.drainMetrics();
        // Target polls go to engines, and watch responses belong to calls already counted.
        long calls = metrics.platformCalls().entrySet().stream()
                .filter(entry ->
                        !entry.getKey().equals("target poll") && !entry.getKey().equals("WatchAnswer"))
                .mapToLong(entry -> entry.getValue().count())
                .sum();
        out.printf(
                Locale.ROOT,
                "%6d  %19.1f  %20.1f  %14.1f  %15.1f  %14d%n",
                second,
                (double) metrics.control().count() / running,
                (double) metrics.control().sum() / running,
                metrics.handledEvents().sum() / 1_000.0 / running,
                busiest / 1_000.0,
                calls);
    }
}
