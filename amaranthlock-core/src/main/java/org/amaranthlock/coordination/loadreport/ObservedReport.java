package org.amaranthlock.coordination.loadreport;

import java.util.Objects;
import org.amaranthlock.coordination.forwarding.HostLoadReport;

/**
 * Load report with its version and the time to which it refers.
 *
 * @param atMillis time at which its host made the report, on the clock of this host, in milliseconds; without the time
 *     that messages were under way
 */
public record ObservedReport(HostLoadReport report, ReportVersion version, long atMillis) {
    /** Checks that the report and the version are present. */
    public ObservedReport {
        Objects.requireNonNull(report, "report");
        Objects.requireNonNull(version, "version");
    }

    /** Returns the name of the host that made the report. */
    public String host() {
        return report.host();
    }
}
