package org.amaranthlock.coordination.rollout;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Collects the evidence of all hosts on one order and judges the new version. Not thread-safe.
 *
 * <p>Evidence of a lost host is kept; that of a restarted host is added to its earlier evidence.
 */
public final class RolloutJudge {
    /**
     * Number of failures from which on a version is bad if the old one fails clearly less; below the 50 failures that
     * {@link ExposureBounds} tolerates before a rollback.
     */
    private static final long MAX_FAILURES = 30;

    /** Ratio of the failures to those expected at the old version above which the old version fails clearly less. */
    private static final double CLEARLY_MORE = 2;

    /** Time without evidence after which a host counts as lost, in milliseconds. */
    private static final long HOST_SILENCE_MILLIS = 2_500;

    private final Map<String, KnownHost> hosts = new HashMap<>();
    private final Map<String, RouteJudge> routes = new TreeMap<>();
    private final RouteJudge allRoutes = new RouteJudge();
    private long sent;
    private long sentToNew;
    private boolean tooManyFailures;
    private boolean rolledBack;

    private record KnownHost(RolloutEvidence evidence, long atMillis) {}

    /** Adds the evidence of a host. */
    public void add(RolloutEvidence evidence, long nowMillis) {
        KnownHost before = hosts.get(evidence.host());
        boolean sameStart = before != null && before.evidence().incarnation() == evidence.incarnation();
        if (sameStart && events(evidence) < events(before.evidence())) {
            return; // older than evidence that has already been received
        }
        rolledBack |= evidence.step() == RolloutStep.ROLLED_BACK; // by an earlier controller
        hosts.put(evidence.host(), new KnownHost(evidence, nowMillis));
        List<RouteOutcomes> known = sameStart ? before.evidence().outcomes() : List.of();
        Map<String, RouteOutcomes> byKey =
                known.stream().collect(Collectors.toMap(RolloutJudge::key, outcome -> outcome, (first, _) -> first));
        List<RouteOutcomes> added = evidence.outcomes().stream()
                .map(now -> now.minus(byKey.getOrDefault(key(now), RouteOutcomes.none(now.route(), now.newVersion()))))
                .toList();
        added.stream().filter(outcome -> !outcome.newVersion()).forEach(this::addOld);
        added.stream().filter(RouteOutcomes::newVersion).forEach(this::addNew);
    }

    /** Returns the verdict on all evidence so far. */
    public Verdict verdict() {
        if (rolledBack
                || tooManyFailures
                || allRoutes.isBad()
                || routes.values().stream().anyMatch(RouteJudge::isBad)) {
            return Verdict.BAD;
        }
        return allRoutes.isGood() ? Verdict.GOOD : Verdict.UNDECIDED;
    }

    /** Returns whether a test on the version is at least halfway to finding it bad. */
    public boolean isDoubtful() {
        return allRoutes.isDoubtful() || routes.values().stream().anyMatch(RouteJudge::isDoubtful);
    }

    /** Returns the number of requests of the service since the order. */
    public long sent() {
        return sent;
    }

    /** Returns the number of requests sent to the new version since the order. */
    public long sentToNew() {
        return sentToNew;
    }

    /** Returns the number of outcomes of the new version. */
    public long outcomes() {
        return allRoutes.outcomes();
    }

    /** Returns the number of failures of the new version. */
    public long failures() {
        return allRoutes.failures();
    }

    /** Returns the number of answers of the new version that were much slower than those of the old one. */
    public long slow() {
        return routes.values().stream().mapToLong(RouteJudge::slow).sum();
    }

    /** Returns the names of the routes on which the new version is worse. */
    public List<String> badRoutes() {
        return routes.entrySet().stream()
                .filter(route -> route.getValue().isBad())
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * Returns whether all reporting hosts send all their requests to the new version and have none in flight at the
     * old.
     */
    public boolean isOldVersionIdle(long nowMillis) {
        return hosts.values().stream()
                .filter(host -> nowMillis - host.atMillis() <= HOST_SILENCE_MILLIS)
                .map(KnownHost::evidence)
                .allMatch(evidence -> evidence.step() == RolloutStep.ALL
                        && evidence.outcomes().stream()
                                .allMatch(outcome -> outcome.newVersion() || outcome.ended() >= outcome.sent()));
    }

    /**
     * Returns the mean time of a request at the old version, in milliseconds, by Little's law.
     *
     * @param elapsedMillis time since the order
     */
    public double oldVersionStayMillis(long elapsedMillis, long nowMillis) {
        List<RouteOutcomes> old = hosts.values().stream()
                .filter(host -> nowMillis - host.atMillis() <= HOST_SILENCE_MILLIS)
                .flatMap(host -> host.evidence().outcomes().stream())
                .filter(outcome -> !outcome.newVersion())
                .toList();
        long begun = old.stream().mapToLong(RouteOutcomes::sent).sum();
        long running = begun - old.stream().mapToLong(RouteOutcomes::ended).sum();
        return begun == 0 ? 0 : Math.max(0, running) * (double) elapsedMillis / begun;
    }

    private void addOld(RouteOutcomes added) {
        sent += added.sent();
        judge(added).addOld(added);
        allRoutes.addOld(withoutDurations(added));
    }

    private void addNew(RouteOutcomes added) {
        sent += added.sent();
        sentToNew += added.sent();
        judge(added).addNew(added);
        allRoutes.addNew(withoutDurations(added));
        boolean many = allRoutes.failures() >= MAX_FAILURES;
        tooManyFailures |=
                many && allRoutes.failures() > CLEARLY_MORE * allRoutes.expectedFailures() * allRoutes.outcomes();
    }

    private RouteJudge judge(RouteOutcomes added) {
        return routes.computeIfAbsent(added.route(), _ -> new RouteJudge());
    }

    /** Returns outcomes for the test on all routes, since durations of different routes cannot be compared. */
    private static RouteOutcomes withoutDurations(RouteOutcomes added) {
        return new RouteOutcomes(
                added.route(),
                added.newVersion(),
                added.sent(),
                added.ended(),
                added.answered(),
                added.failures(),
                DurationBuckets.EMPTY);
    }

    private static long events(RolloutEvidence evidence) {
        return evidence.outcomes().stream().mapToLong(RouteOutcomes::events).sum();
    }

    private static String key(RouteOutcomes outcomes) {
        return (outcomes.newVersion() ? "new " : "old ") + outcomes.route();
    }
}
