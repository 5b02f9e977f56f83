package org.amaranthlock.coordination.loadreport;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.amaranthlock.coordination.forwarding.HostLoadReport;

/**
 * Keeps load reports from filling the links of the hosts, on which requests travel too.
 *
 * <p>Answers a fleet whose hosts all have much to report at once. Each host receives the reports of all others, so the
 * larger these are, the less often each host reports; and the more bytes a host that passes reports on would send, the
 * more hosts of its failure domain share that work. All hosts receive the same reports and so come to about the same
 * figures. Not thread-safe.
 */
public final class ReportTraffic {
    /**
     * Bytes a second that reports may take of the link of a host in each direction: two fifths of the narrowest link of a
     * deployment, which has 7 Mbit/s.
     */
    public static final int MAX_BYTES_PER_SECOND = 350_000;

    /** The same in the mean, so that reports that come at once need not wait long. */
    private static final int PLANNED_BYTES_PER_SECOND = MAX_BYTES_PER_SECOND * 2 / 3;

    /** Size up to which reports are sent in one message; the narrowest link carries it in 9 ms. */
    private static final int MAX_MESSAGE_BYTES = 8 << 10;

    /** Number of times that a host receives each report that is passed on. */
    private static final int COPIES_PASSED_ON = 2;

    /** Size of the report of a host that has nothing to tell. */
    private static final int REPORT_BYTES = 40;

    /** Size of an entry for a target, most of which is its id. */
    private static final int ENTRY_BYTES = 22;

    /** Time over which the rate is averaged. */
    private static final double RATE_WINDOW_MILLIS = 1_000;

    /** Most reports of a host that are counted when one arrives and those before did not. */
    private static final long MAX_UNSEEN_REPORTS = 10;

    private final Map<String, Newest> newestByHost = new HashMap<>();
    private long totalBytes;
    private double bytesPerSecond;
    private long ratedAtMillis;

    private record Newest(ReportVersion version, int bytes) {}

    /** Records the newest report of a host, which may be this one. */
    public void record(ObservedReport report, long nowMillis) {
        int bytes = approximateBytes(report.report());
        Newest before = newestByHost.put(report.host(), new Newest(report.version(), bytes));
        totalBytes += bytes - (before == null ? 0 : before.bytes());
        // Reports that were replaced on their way count, so that the rate is that of hosts that are not held up.
        long made = before == null ? 1 : reportsMade(before.version(), report.version());
        bytesPerSecond = rate(nowMillis) + made * bytes * 1_000 / RATE_WINDOW_MILLIS;
        ratedAtMillis = nowMillis;
    }

    /** Forgets the hosts that are not in {@code hosts}. */
    public void retain(Set<String> hosts) {
        newestByHost.keySet().retainAll(hosts);
        totalBytes = newestByHost.values().stream().mapToLong(Newest::bytes).sum();
    }

    /**
     * Returns the least time between two reports of a host.
     *
     * @param passedOn whether reports are passed on, and so received more than once
     */
    public long minIntervalMillis(boolean passedOn) {
        return (passedOn ? COPIES_PASSED_ON : 1) * totalBytes * 1_000 / PLANNED_BYTES_PER_SECOND;
    }

    /**
     * Returns into how many groups the hosts of a failure domain are divided, each with hosts of its own that pass its
     * reports on.
     *
     * @param members number of hosts of the failure domain
     * @param hosts number of hosts of the fleet
     * @param heartbeatMillis interval at which hosts report that have nothing to tell
     */
    public int groups(int members, int hosts, long heartbeatMillis, long nowMillis) {
        double idleRate = hosts * REPORT_BYTES * 1_000.0 / heartbeatMillis;
        double bytesOfOneGroup = Math.max(rate(nowMillis), idleRate) * members;
        return (int) Math.max(1, Math.ceil(bytesOfOneGroup / PLANNED_BYTES_PER_SECOND));
    }

    /** Divides reports into messages that keep what else is on a link waiting briefly. */
    public static List<List<ObservedReport>> messages(List<ObservedReport> reports) {
        List<List<ObservedReport>> messages = new ArrayList<>();
        List<ObservedReport> message = new ArrayList<>();
        int bytes = 0;
        for (ObservedReport report : reports) {
            int reportBytes = approximateBytes(report.report());
            if (!message.isEmpty() && bytes + reportBytes > MAX_MESSAGE_BYTES) {
                messages.add(message);
                message = new ArrayList<>();
                bytes = 0;
            }
            message.add(report);
            bytes += reportBytes;
        }
        if (!message.isEmpty()) {
            messages.add(message);
        }
        return messages;
    }

    private double rate(long nowMillis) {
        return bytesPerSecond * Math.exp(-Math.max(0, nowMillis - ratedAtMillis) / RATE_WINDOW_MILLIS);
    }

    private static long reportsMade(ReportVersion before, ReportVersion after) {
        return before.run() == after.run()
                ? Math.clamp(after.sequence() - before.sequence(), 1, MAX_UNSEEN_REPORTS)
                : 1;
    }

    static int approximateBytes(HostLoadReport report) {
        int entries = report.inFlight().size()
                + report.unreachable().size()
                + report.crashes().size()
                + report.brittle().tolerances().size()
                + report.brittle().rejections().size()
                + 2 * report.limits().limits().size()
                + report.speeds().size()
                + report.waiting().services().size();
        return REPORT_BYTES + entries * ENTRY_BYTES;
    }
}
