package org.amaranthlock.coordination.brittle;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.Predicate;
import org.amaranthlock.model.TargetId;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Bounds what all hosts together send to brittle targets.
 *
 * <p>A brittle target gets no more requests than it runs at a time, so that none waits for room and none is rejected.
 * If some are rejected all the same, no host sends more for a second as soon as half of what the target survives is
 * reached; the rest covers requests that are on their way while the hosts hear of it. After a target rejected a request
 * or was unreachable, it is filled again slowly. What does not fit is left to the caller, so that the failure of one target does not
 * overload the others. Not thread-safe.
 */
public final class BrittleTargets {
    /** Window in which a target counts the requests that it rejects, in milliseconds. */
    private static final long WINDOW_MILLIS = 1_000;

    /** Time for which a statement holds if the target does not answer, in milliseconds. */
    private static final long STATEMENT_MILLIS = 30_000;

    /** Time for which the report of another host holds, in milliseconds; running hosts send reports more often. */
    private static final long REPORT_MILLIS = 4_000;

    /** Time until the other hosts know of a request that one host sends, or of its rejection, in milliseconds. */
    private static final double REPORT_DELAY_MILLIS = 40;

    /** Fraction of its slots that a brittle target is filled to; reports of other hosts are some milliseconds old. */
    private static final double FILL_FRACTION = 0.75;

    /** Time in which a target is filled again after it was unreachable, in milliseconds. */
    private static final long FALL_REFILL_MILLIS = 10_000;

    /** Time in which a target is filled again after it rejected a request, in milliseconds. */
    private static final long REJECTION_REFILL_MILLIS = 3_000;

    private final UniformRandomProvider random;
    private final BrittleListener listener;
    private final Deque<Long> demand = new ArrayDeque<>();
    private final Map<TargetId, Statement> statements = new HashMap<>();
    private final Map<TargetId, Deque<Long>> rejections = new HashMap<>();
    private final Map<TargetId, Long> unreachableAtMillis = new HashMap<>();

    /** Time of the last rejection at any host. */
    private final Map<TargetId, Long> rejectedAtMillis = new HashMap<>();

    private final Map<String, RemoteReport> remoteReports = new HashMap<>();
    private final Set<TargetId> reportedUnusable = new HashSet<>();

    private record Statement(int rejectionsPerSecond, long atMillis) {}

    private record RemoteReport(BrittleReport report, long atMillis) {}

    /** Creates an empty record, whose changes are passed to {@code listener}. */
    public BrittleTargets(UniformRandomProvider random, BrittleListener listener) {
        this.random = Objects.requireNonNull(random, "random");
        this.listener = Objects.requireNonNull(listener, "listener");
    }

    /** Applies what a response of a target states. */
    public void observe(TargetId target, BrittleStatement statement, long nowMillis) {
        switch (statement) {
            case BrittleStatement.Named named -> {
                Statement before = statements.put(target, new Statement(named.rejectionsPerSecond(), nowMillis));
                if (before == null) {
                    listener.onBrittle(target, named.rejectionsPerSecond());
                }
            }
            case BrittleStatement.NotNamed _ -> {
                if (statements.remove(target) != null) {
                    listener.onRobust(target);
                }
            }
            case BrittleStatement.Unusable unusable -> {
                if (reportedUnusable.add(target)) {
                    listener.onUnusable(target, unusable.text());
                }
            }
        }
    }

    /** Records that a target has rejected a request of this host for want of room; counts for brittle targets only. */
    public void recordRejection(TargetId target, long nowMillis) {
        if (!isBrittle(target, nowMillis)) {
            return;
        }
        rejections.computeIfAbsent(target, _ -> new ArrayDeque<>()).addLast(nowMillis);
        rejectedAtMillis.put(target, nowMillis);
    }

    /** Records that a target could not be reached. */
    public void recordUnreachable(TargetId target, long nowMillis) {
        unreachableAtMillis.put(target, nowMillis);
    }

    /** Replaces what another host has reported. */
    public void updateRemote(String host, BrittleReport report, long nowMillis) {
        remoteReports.put(host, new RemoteReport(report, nowMillis));
        report.rejections().keySet().forEach(target -> rejectedAtMillis.put(target, nowMillis));
    }

    /** Returns whether a target is brittle, as it stated to this host or to another one. */
    public boolean isBrittle(TargetId target, long nowMillis) {
        return tolerance(target, nowMillis).isPresent();
    }

    /**
     * Returns whether a target has room for another request.
     *
     * @param slots requests that the target runs at a time
     * @param inFlight requests of all hosts that are in flight there
     */
    public boolean hasRoom(TargetId target, int slots, int inFlight, long nowMillis) {
        OptionalInt tolerance = tolerance(target, nowMillis);
        if (tolerance.isEmpty()) {
            return true;
        }
        boolean rejecting = allRejections(target, nowMillis) >= Math.max(1, tolerance.getAsInt() / 2);
        return !rejecting && inFlight < capacity(target, slots, nowMillis);
    }

    /**
     * Returns whether a request may be sent to a target that has room. When the hosts together have more requests than
     * there is room before they hear of each other's, each sends only its part of them.
     *
     * @param slots requests that the target runs at a time
     * @param inFlight requests of all hosts that are in flight there
     * @param hosts number of hosts that send to the target
     * @param alternatives number of targets among which this one was chosen
     */
    public boolean admit(TargetId target, int slots, int inFlight, int hosts, int alternatives, long nowMillis) {
        if (tolerance(target, nowMillis).isEmpty()) {
            return true;
        }
        demand.addLast(nowMillis);
        while (nowMillis - demand.peekFirst() >= WINDOW_MILLIS) {
            demand.removeFirst();
        }
        int room = capacity(target, slots, nowMillis) - inFlight;
        return isWithinPart(demand.size(), room, hosts, alternatives, random);
    }

    /** Returns what {@link #admit} would return now, with a copy of its random generator; changes nothing. */
    public boolean previewAdmit(
            TargetId target,
            int slots,
            int inFlight,
            int hosts,
            int alternatives,
            UniformRandomProvider copy,
            long nowMillis) {
        if (tolerance(target, nowMillis).isEmpty()) {
            return true;
        }
        long demanded = demand.stream()
                .filter(atMillis -> nowMillis - atMillis < WINDOW_MILLIS)
                .count();
        int room = capacity(target, slots, nowMillis) - inFlight;
        return isWithinPart(demanded + 1, room, hosts, alternatives, copy);
    }

    /** Returns whether one of the requests of the last second is within this host's part of a target's room. */
    private static boolean isWithinPart(
            long demanded, int room, int hosts, int alternatives, UniformRandomProvider random) {
        double unheard = demanded * (double) hosts / alternatives * REPORT_DELAY_MILLIS / WINDOW_MILLIS;
        return random.nextDouble() * unheard < room;
    }

    /** Returns what this host reports to the others. */
    public BrittleReport report(long nowMillis) {
        if (statements.isEmpty()) {
            return BrittleReport.EMPTY;
        }
        statements.values().removeIf(statement -> nowMillis - statement.atMillis() >= STATEMENT_MILLIS);
        Map<TargetId, Integer> tolerances = new HashMap<>();
        Map<TargetId, Integer> rejected = new HashMap<>();
        statements.forEach((target, statement) -> {
            tolerances.put(target, statement.rejectionsPerSecond());
            int count = localRejections(target, nowMillis);
            if (count > 0) {
                rejected.put(target, count);
            }
        });
        return new BrittleReport(tolerances, rejected);
    }

    /** Forgets targets that are no longer {@code known}. */
    public void retain(Predicate<TargetId> known) {
        statements.keySet().removeIf(known.negate());
        rejections.keySet().removeIf(known.negate());
        unreachableAtMillis.keySet().removeIf(known.negate());
        rejectedAtMillis.keySet().removeIf(known.negate());
        reportedUnusable.removeIf(known.negate());
    }

    /** Returns the strictest number that a target has stated to any host. */
    private OptionalInt tolerance(TargetId target, long nowMillis) {
        remoteReports.values().removeIf(remote -> nowMillis - remote.atMillis() > REPORT_MILLIS);
        int strictest = Integer.MAX_VALUE;
        Statement own = statements.get(target);
        if (own != null && nowMillis - own.atMillis() < STATEMENT_MILLIS) {
            strictest = own.rejectionsPerSecond();
        }
        for (RemoteReport remote : remoteReports.values()) {
            strictest = Math.min(strictest, remote.report().tolerances().getOrDefault(target, Integer.MAX_VALUE));
        }
        return strictest == Integer.MAX_VALUE ? OptionalInt.empty() : OptionalInt.of(strictest);
    }

    private int allRejections(TargetId target, long nowMillis) {
        int remote = remoteReports.values().stream()
                .filter(report -> nowMillis - report.atMillis() < WINDOW_MILLIS)
                .mapToInt(report -> report.report().rejections().getOrDefault(target, 0))
                .sum();
        return remote + localRejections(target, nowMillis);
    }

    private int localRejections(TargetId target, long nowMillis) {
        Deque<Long> times = rejections.getOrDefault(target, new ArrayDeque<>());
        while (!times.isEmpty() && nowMillis - times.peekFirst() >= WINDOW_MILLIS) {
            times.removeFirst();
        }
        return times.size();
    }

    /** Returns the number of requests to which a target is filled; at least one. */
    private int capacity(TargetId target, int slots, long nowMillis) {
        double full = slots * FILL_FRACTION;
        double afterFall = age(unreachableAtMillis.get(target), nowMillis) / (double) FALL_REFILL_MILLIS;
        double afterRejection = age(rejectedAtMillis.get(target), nowMillis) / (double) REJECTION_REFILL_MILLIS;
        double refilled = Math.min(1, Math.min(afterFall, afterRejection));
        return (int) Math.max(1, full * refilled);
    }

    private static long age(Long atMillis, long nowMillis) {
        return atMillis == null ? Long.MAX_VALUE : nowMillis - atMillis;
    }
}
