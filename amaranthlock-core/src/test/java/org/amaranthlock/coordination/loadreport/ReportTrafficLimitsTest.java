package org.amaranthlock.coordination.loadreport;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.amaranthlock.coordination.estimate.TargetSpeed;
import org.amaranthlock.coordination.forwarding.HostLoadReport;
import org.amaranthlock.model.TargetId;
import org.junit.jupiter.api.Test;

/** Tests what is made of the sizes and the rate of load reports. */
class ReportTrafficLimitsTest {
    private static final long HEARTBEAT_MILLIS = 1_200;

    private final ReportTraffic traffic = new ReportTraffic();

    @Test
    void idleFleetOf90HostsHasOneGroup() {
        for (int host = 0; host < 90; host++) {
            traffic.record(report(host, 1, 0), 0);
        }
        assertThat(traffic.groups(15, 90, HEARTBEAT_MILLIS, 0)).isEqualTo(1);
    }

    // Guards against groups that stay too few because the reports that do not arrive in time are not counted.
    @Test
    void reportsThatWereReplacedOnTheirWayCount() {
        for (int host = 0; host < 90; host++) {
            traffic.record(report(host, 1, 10), 0);
            traffic.record(report(host, 2, 10), 0);
        }
        int groups = traffic.groups(15, 90, HEARTBEAT_MILLIS, 0);
        for (int host = 0; host < 90; host++) {
            traffic.record(report(host, 7, 10), 0);
        }
        assertThat(traffic.groups(15, 90, HEARTBEAT_MILLIS, 0)).isAtLeast(2 * groups);
    }

    @Test
    void hostsWithMoreToReportReportLessOften() {
        for (int host = 0; host < 90; host++) {
            traffic.record(report(host, 1, 10), 0);
        }
        long before = traffic.minIntervalMillis(true);
        for (int host = 0; host < 90; host++) {
            traffic.record(report(host, 2, 100), 0);
        }
        assertThat(traffic.minIntervalMillis(true)).isAtLeast(5 * before);
        traffic.retain(Set.of());
        assertThat(traffic.minIntervalMillis(true)).isEqualTo(0);
    }

    @Test
    void messagesHoldAllReportsInTheirOrder() {
        List<ObservedReport> reports = new ArrayList<>();
        for (int host = 0; host < 90; host++) {
            reports.add(report(host, 1, 20));
        }
        List<List<ObservedReport>> messages = ReportTraffic.messages(reports);
        assertThat(messages.size()).isAtLeast(4);
        assertThat(messages.stream().flatMap(List::stream).toList())
                .containsExactlyElementsIn(reports)
                .inOrder();
    }

    // Guards against a host that is busy with old reports for seconds after it suddenly had much to pass on.
    @Test
    void passHasABoundedSizeAndOldReportsAreLeftOut() {
        ReportOutbox outbox = new ReportOutbox();
        for (int host = 0; host < 90; host++) {
            outbox.add(report(host, 1, 20));
        }
        int first = outbox.take(10_000, 0).size();
        assertThat(first).isLessThan(90);
        assertThat(outbox.take(1_000_000, 0)).hasSize(90 - first);
        outbox.add(report(0, 2, 20));
        assertThat(outbox.take(1_000_000, 10_000)).isEmpty();
        assertThat(outbox.isEmpty()).isTrue();
    }

    private static ObservedReport report(int host, long sequence, int speeds) {
        Map<TargetId, TargetSpeed> speedByTarget = new HashMap<>();
        for (int i = 0; i < speeds; i++) {
            speedByTarget.put(new TargetId("i-" + i), new TargetSpeed(1.5, sequence));
        }
        HostLoadReport report = HostLoadReport.empty("host-" + host).withSpeeds(speedByTarget);
        return new ObservedReport(report, new ReportVersion(host, sequence), 0);
    }
}
