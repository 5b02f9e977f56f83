package org.amaranthlock.coordination.loadreport;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.amaranthlock.coordination.forwarding.HostLoadReport;
import org.junit.jupiter.api.Test;

class NewestReportsTest {
    private static final String HOST = "host-1";

    private final NewestReports reports = new NewestReports();

    // Guards against load of the past that comes back with a report that took the longer way.
    @Property(tries = 200)
    void acceptedSequenceOnlyGrows(@ForAll @Size(max = 40) List<@IntRange(min = 1, max = 20) Integer> arrivals) {
        NewestReports newest = new NewestReports();
        List<Integer> accepted = new ArrayList<>();
        for (int sequence : arrivals) {
            if (newest.record(report(7, sequence, 0))) {
                accepted.add(sequence);
            }
        }
        assertThat(accepted).isInStrictOrder();
        arrivals.stream()
                .max(Integer::compare)
                .ifPresent(last -> assertThat(accepted.getLast()).isEqualTo(last));
    }

    // Guards against the load of a killed process that is counted again after the new process has reported.
    @Test
    void lateReportOfTheProcessBeforeIsIgnored() {
        assertThat(reports.record(report(7, 90, 0))).isTrue();
        assertThat(reports.record(report(8, 1, 0))).isTrue();
        assertThat(reports.record(report(7, 91, 0))).isFalse();
        assertThat(reports.record(report(8, 2, 0))).isTrue();
    }

    @Test
    void reportsWithoutVersionAreAlwaysAccepted() {
        ObservedReport unversioned = new ObservedReport(HostLoadReport.empty(HOST), ReportVersion.UNKNOWN, 0);
        assertThat(reports.record(unversioned)).isTrue();
        assertThat(reports.record(unversioned)).isTrue();
        assertThat(reports.record(report(8, 1, 0))).isTrue();
        assertThat(reports.record(unversioned)).isTrue();
    }

    @Test
    void hostIsSilentWhenItsReportsStop() {
        assertThat(reports.isSilent(HOST, 0)).isFalse();
        reports.record(report(7, 1, 1_000));
        assertThat(reports.isSilent(HOST, 3_500)).isFalse();
        assertThat(reports.isSilent(HOST, 3_501)).isTrue();
    }

    private static ObservedReport report(long run, long sequence, long atMillis) {
        return new ObservedReport(HostLoadReport.empty(HOST), new ReportVersion(run, sequence), atMillis);
    }
}
