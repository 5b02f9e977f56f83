package org.amaranthlock.coordination.loadreport;

import java.util.ArrayList;
import java.util.HashMap;
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

    private final Map<String, Pending> pending = new LinkedHashMap<>();
    private final Map<String, ObservedReport> passedOn = new HashMap<>();

    private record Pending(ObservedReport report, boolean ofLocalDomain) {}

    /**
     * Reports to send.
     *
     * @param all reports for the hosts of the local failure domain
     * @param ofLocalDomain those of hosts of the local failure domain, for the other domains
     */
    public record Batch(List<ObservedReport> all, List<ObservedReport> ofLocalDomain) {}

    /** How soon reports are to be passed on. */
    public enum Urgency {
        /** The report was passed on before. */
        NONE,
        /** The report repeats the one before, which shows that its host lives. */
        REPEATED,
        /** The load has changed. */
        CHANGED
    }

    /**
     * Adds a report.
     *
     * @param ofLocalDomain whether its host is in the local failure domain
     */
    public Urgency add(ObservedReport report, boolean ofLocalDomain) {
        ObservedReport before = passedOn.get(report.host());
        if (before != null && !report.version().replaces(before.version())) {
            return Urgency.NONE;
        }
        passedOn.put(report.host(), report);
        pending.put(report.host(), new Pending(report, ofLocalDomain));
        boolean repeated = before != null && before.report().equals(report.report());
        return repeated ? Urgency.REPEATED : Urgency.CHANGED;
    }

    /** Removes and returns the reports that are to be passed on. */
    public Batch take(long nowMillis) {
        List<ObservedReport> all = new ArrayList<>();
        List<ObservedReport> ofLocalDomain = new ArrayList<>();
        for (Pending next : pending.values()) {
            if (nowMillis - next.report().atMillis() <= MAX_AGE_MILLIS) {
                all.add(next.report());
                if (next.ofLocalDomain()) {
                    ofLocalDomain.add(next.report());
                }
            }
        }
        pending.clear();
        return new Batch(all, ofLocalDomain);
    }

    /** Forgets the hosts that are not in {@code hosts}. */
    public void retain(Set<String> hosts) {
        pending.keySet().retainAll(hosts);
        passedOn.keySet().retainAll(hosts);
    }
}
