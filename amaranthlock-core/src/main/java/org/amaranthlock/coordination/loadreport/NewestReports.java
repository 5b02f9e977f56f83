package org.amaranthlock.coordination.loadreport;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Which report of each other host is its newest.
 *
 * <p>A report arrives several times and over different hosts, so an older one may follow a newer one. Not thread-safe.
 */
public final class NewestReports {
    /** Time after which a host whose reports have stopped counts as silent; running hosts report more often. */
    private static final long SILENCE_MILLIS = 2_500;

    private final Map<String, Known> known = new HashMap<>();

    /**
     * Newest report of a host.
     *
     * @param replacedRun run of its process before, whose late reports are ignored
     */
    private record Known(ReportVersion version, OptionalLong replacedRun, long atMillis) {
        boolean isReplacedBy(ReportVersion newer) {
            boolean late = replacedRun.isPresent() && replacedRun.getAsLong() == newer.run();
            return newer.replaces(version) && !(late && newer.run() != ReportVersion.UNKNOWN_RUN);
        }

        Known replacedBy(ReportVersion newer, long newerAtMillis) {
            OptionalLong replaced = newer.run() == version.run() ? replacedRun : OptionalLong.of(version.run());
            return new Known(newer, replaced, newerAtMillis);
        }
    }

    /** Records a report; returns whether it is newer than all others of its host. */
    public boolean record(ObservedReport report) {
        Known before = known.get(report.host());
        if (before == null) {
            known.put(report.host(), new Known(report.version(), OptionalLong.empty(), report.atMillis()));
            return true;
        }
        if (!before.isReplacedBy(report.version())) {
            return false;
        }
        known.put(report.host(), before.replacedBy(report.version(), report.atMillis()));
        return true;
    }

    /** Returns whether a host has reported, but not for longer than a running host takes. */
    public boolean isSilent(String host, long nowMillis) {
        Known newest = known.get(host);
        return newest != null && nowMillis - newest.atMillis() > SILENCE_MILLIS;
    }

    /** Forgets the hosts that are not in {@code hosts}. */
    public void retain(Set<String> hosts) {
        known.keySet().retainAll(hosts);
    }
}
