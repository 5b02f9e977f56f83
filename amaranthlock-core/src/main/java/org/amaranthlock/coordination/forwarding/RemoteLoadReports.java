package org.amaranthlock.coordination.forwarding;

import java.util.HashMap;
import java.util.LongSummaryStatistics;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.TargetId;

/** Load reports of the other hosts, and their sum. Not thread-safe. */
final class RemoteLoadReports {
    /** Time after which a host's report expires, in milliseconds; running hosts send reports more often. */
    private static final long REPORT_EXPIRY_MILLIS = 4_000;

    /** Time after which a host that does not report is taken for lost, in milliseconds. */
    private static final long HOST_SILENCE_MILLIS = 2_500;

    private final Map<String, Entry> entries = new HashMap<>();

    /** Sum over all {@link #entries}; keeps the cost of a choice independent of the number of hosts. */
    private final Map<TargetId, InFlightLoad> inFlight = new HashMap<>();

    private record Entry(HostLoadReport report, long atMillis) {}

    /** Adds a report that was made at a time, and returns the one of the same host that it replaces. */
    Optional<HostLoadReport> put(HostLoadReport report, long madeAtMillis) {
        Entry before = entries.put(report.host(), new Entry(report, madeAtMillis));
        if (before != null) {
            subtract(before.report());
        }
        report.inFlight().forEach((id, load) -> inFlight.merge(id, load, InFlightLoad::plus));
        return Optional.ofNullable(before).map(Entry::report);
    }

    /** Removes expired reports; passes the names of their hosts to {@code onExpired}. */
    void expire(long nowMillis, Consumer<String> onExpired) {
        entries.values().removeIf(entry -> {
            boolean expired = nowMillis - entry.atMillis() > REPORT_EXPIRY_MILLIS;
            if (expired) {
                subtract(entry.report());
                onExpired.accept(entry.report().host());
            }
            return expired;
        });
    }

    /** Returns the load of all other hosts on a target. */
    InFlightLoad inFlight(TargetId target) {
        return inFlight.getOrDefault(target, InFlightLoad.NONE);
    }

    /** Returns the names of the hosts whose reports are known. */
    Set<String> hosts() {
        return entries.keySet();
    }

    /** Returns whether a host has reported within the time in which a running host reports. */
    boolean isReporting(String host, long nowMillis) {
        Entry entry = entries.get(host);
        return entry != null && nowMillis - entry.atMillis() <= HOST_SILENCE_MILLIS;
    }

    /** Returns the hosts that report and have a path to the targets of a service. */
    Set<String> hostsWithPath(ServiceName service, long nowMillis) {
        return entries.entrySet().stream()
                .filter(entry -> nowMillis - entry.getValue().atMillis() <= HOST_SILENCE_MILLIS)
                .filter(entry -> !entry.getValue().report().cutServices().contains(service))
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
    }

    /** Returns the ages of the reports. */
    ReportAges ages(long nowMillis) {
        Map<TargetId, Long> oldestByTarget = new HashMap<>();
        LongSummaryStatistics ages = new LongSummaryStatistics();
        for (Entry entry : entries.values()) {
            long ageMillis = nowMillis - entry.atMillis();
            ages.accept(ageMillis);
            entry.report().inFlight().keySet().forEach(id -> oldestByTarget.merge(id, ageMillis, Math::max));
        }
        return ages.getCount() == 0
                ? ReportAges.NONE
                : new ReportAges(entries.size(), ages.getMin(), ages.getMax(), oldestByTarget);
    }

    private void subtract(HostLoadReport report) {
        report.inFlight().forEach((id, load) -> inFlight.computeIfPresent(id, (_, all) -> all.minusOrNull(load)));
    }
}
