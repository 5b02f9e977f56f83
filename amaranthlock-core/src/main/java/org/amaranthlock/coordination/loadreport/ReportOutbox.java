package org.amaranthlock.coordination.loadreport;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Reports that this host has yet to pass on, the newest one of each host. Not thread-safe.
 *
 * <p>A report is passed on once, even if it arrives over several hosts; one that this host knows otherwise is passed on
 * all the same, since it may be the only way to a host whose other connections are silent.
 */
public final class ReportOutbox {
    /** Age from which a report is not passed on, because a newer one is due. */
    private static final long MAX_AGE_MILLIS = 2_500;

    private final Map<String, ObservedReport> pending = new LinkedHashMap<>();
    private final Map<String, ObservedReport> passedOn = new HashMap<>();

    /** How soon reports are to be passed on. */
    public enum Urgency {
        /** The report was passed on before. */
        NONE,
        /** The report repeats the one before, which shows that its host lives. */
        REPEATED,
        /** The load has changed. */
        CHANGED
    }

    /** Adds a report. */
    public Urgency add(ObservedReport report) {
        ObservedReport before = passedOn.get(report.host());
        if (before != null && !report.version().replaces(before.version())) {
            return Urgency.NONE;
        }
        passedOn.put(report.host(), report);
        pending.put(report.host(), report);
        boolean repeated = before != null && before.report().equals(report.report());
        return repeated ? Urgency.REPEATED : Urgency.CHANGED;
    }

    /**
     * Removes and returns the reports that are to be passed on now, those first that have waited longest.
     *
     * @param maxBytes approximate size of the reports together; further ones wait, but one is always returned
     */
    public List<ObservedReport> take(long maxBytes, long nowMillis) {
        List<ObservedReport> taken = new ArrayList<>();
        long bytes = 0;
        Iterator<ObservedReport> waiting = pending.values().iterator();
        while (waiting.hasNext()) {
            ObservedReport report = waiting.next();
            if (nowMillis - report.atMillis() > MAX_AGE_MILLIS) {
                waiting.remove();
                continue;
            }
            bytes += ReportTraffic.approximateBytes(report.report());
            if (!taken.isEmpty() && bytes > maxBytes) {
                break;
            }
            taken.add(report);
            waiting.remove();
        }
        return taken;
    }

    /** Returns whether reports wait. */
    public boolean isEmpty() {
        return pending.isEmpty();
    }

    /** Forgets the hosts that are not in {@code hosts}. */
    public void retain(Set<String> hosts) {
        pending.keySet().retainAll(hosts);
        passedOn.keySet().retainAll(hosts);
    }
}
