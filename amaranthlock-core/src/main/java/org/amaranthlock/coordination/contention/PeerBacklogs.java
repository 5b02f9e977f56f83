package org.amaranthlock.coordination.contention;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ObjLongConsumer;
import org.amaranthlock.model.AccountId;

/** Backlogs of the other hosts for one service, from their reports. Not thread-safe. */
final class PeerBacklogs {
    /** Time after which the backlogs of a host expire, in milliseconds; the same as for load reports. */
    private static final long EXPIRY_MILLIS = 4_000;

    /** Time after which a host without reports is forgotten, in milliseconds. */
    private static final long FORGET_MILLIS = 60_000;

    private final Map<String, Report> reports = new HashMap<>();

    /** Cached sum of the reports by priority and account; empty after a change. */
    private Optional<List<Backlog>> sum = Optional.empty();

    private long sumExpiresMillis;
    private long oldestMillis = Long.MAX_VALUE / 2;
    private long newestMillis = Long.MIN_VALUE / 2;

    private record Report(ServiceBacklog backlog, long atMillis) {
        /** Returns the prefill time started for each account between this report and the next one, in milliseconds. */
        Map<AccountId, Long> startedSince(ServiceBacklog next) {
            Map<AccountId, Long> since = new HashMap<>();
            next.startedMillis().forEach((account, millis) -> {
                long earlier = backlog.startedMillis().getOrDefault(account, 0L);
                // A lower count means that the host was restarted, or that it has counted from 0 again.
                since.put(account, millis < earlier ? millis : millis - earlier);
            });
            since.values().removeIf(millis -> millis == 0);
            return since;
        }

        boolean isExpired(long nowMillis) {
            return nowMillis - atMillis > EXPIRY_MILLIS;
        }
    }

    /**
     * Applies a report.
     *
     * @param started receives the prefill time that the host has started for an account since its previous report, in
     *     milliseconds
     */
    void update(String host, ServiceBacklog backlog, long madeAtMillis, ObjLongConsumer<AccountId> started) {
        Report before = reports.get(host);
        if (before != null && before.atMillis > madeAtMillis) {
            return;
        }
        if (before != null) { // the first report of a host does not tell when the work was started
            before.startedSince(backlog).forEach(started::accept);
        }
        sum = Optional.empty();
        reports.put(host, new Report(backlog, madeAtMillis));
        oldestMillis = Math.min(oldestMillis, madeAtMillis);
        newestMillis = Math.max(newestMillis, madeAtMillis);
    }

    /** Returns the time between the oldest and the newest report, in milliseconds; negative if there was none. */
    long knownForMillis() {
        return newestMillis - oldestMillis;
    }

    /** Returns the time at which the newest report was made; long ago if there was none. */
    long newestMillis() {
        return newestMillis;
    }

    /** Returns what waits at the other hosts, by priority and account, without reports expired by then. */
    List<Backlog> waiting(long nowMillis) {
        if (sum.isEmpty() || nowMillis > sumExpiresMillis) {
            reports.values().removeIf(report -> nowMillis - report.atMillis > FORGET_MILLIS);
            Map<Key, Backlog> sums = new HashMap<>();
            sumExpiresMillis = Long.MAX_VALUE;
            for (Report report : reports.values()) {
                if (report.backlog.waiting().isEmpty() || report.isExpired(nowMillis)) {
                    continue;
                }
                sumExpiresMillis = Math.min(sumExpiresMillis, report.atMillis + EXPIRY_MILLIS);
                report.backlog
                        .waiting()
                        .forEach(backlog ->
                                sums.merge(new Key(backlog.priority(), backlog.account()), backlog, Backlog::plus));
            }
            sum = Optional.of(List.copyOf(sums.values()));
        }
        return sum.get();
    }

    private record Key(int priority, AccountId account) {}
}
