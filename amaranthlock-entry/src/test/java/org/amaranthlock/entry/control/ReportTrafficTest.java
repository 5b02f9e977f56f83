package org.amaranthlock.entry.control;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.amaranthlock.coordination.brittle.BrittleReport;
import org.amaranthlock.coordination.estimate.TargetSpeed;
import org.amaranthlock.coordination.forwarding.HostLoadReport;
import org.amaranthlock.coordination.forwarding.InFlightLoad;
import org.amaranthlock.coordination.targetlimit.LimitReport;
import org.amaranthlock.model.TargetId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests what load reports take of the links of the hosts, in virtual time, with the narrowest links of deployments. */
class ReportTrafficTest {
    /** Time after which a host that does not report is given up for requests that it serves for others. */
    private static final int HOST_SILENCE_MILLIS = 2_500;

    /** Time after which reports are used no more; see TargetLoadBalancer. */
    private static final int REPORT_EXPIRY_MILLIS = 4_000;

    private static final int CHANGE_INTERVAL_MILLIS = 200;
    private static final int STREAMS = 8;
    private static final int SLOWER_TARGETS = 20;

    // Guards against requests that outlast their time limit because reports of other hosts fill the link of their host.
    @ParameterizedTest
    @ValueSource(ints = {9, 90, 330})
    void reportsOfABusyFleetKeepRequestsWaitingBriefly(int hostCount) {
        ReportFleet fleet = busyFleet(hostCount);
        for (ReportFleet.Host host : fleet.hosts.values()) {
            assertWithMessage("outgoing link of %s", host.name)
                    .that(host.outgoing.takeLongestQueueMillis())
                    .isAtMost(SimulatedLink.MAX_QUEUE_MILLIS);
            assertWithMessage("incoming link of %s", host.name)
                    .that(host.incoming.takeLongestQueueMillis())
                    .isAtMost(SimulatedLink.MAX_QUEUE_MILLIS);
        }
    }

    // Guards against hosts that take others for silent because reports wait for links.
    @ParameterizedTest
    @ValueSource(ints = {9, 90})
    void reportsOfABusyFleetStayYoung(int hostCount) {
        assertReportsStayYoung(busyFleet(hostCount));
    }

    @Test
    void reportsOfABusyFleetOf330HostsStayYoung() {
        assertReportsStayYoung(busyFleet(330));
    }

    // Guards against a busy fleet that knows nothing of a group of hosts while one that passes its reports on is
    // frozen.
    @Test
    void reportsOfABusyFleetGoOnWhenHostsThatPassThemOnFreeze() {
        ReportFleet fleet = busyFleet(90);
        for (int domain = 0; domain < ReportFleet.DOMAINS; domain++) {
            fleet.hosts.get(fleet.relay(domain)).frozen = true;
        }
        for (int step = 0; step < 20; step++) {
            changeLoad(fleet, step);
            assertWithMessage("oldest report").that(fleet.oldestReportMillis()).isAtMost(REPORT_EXPIRY_MILLIS);
        }
    }

    private static void assertReportsStayYoung(ReportFleet fleet) {
        for (int step = 0; step < 10; step++) {
            changeLoad(fleet, step);
            assertWithMessage("oldest report").that(fleet.oldestReportMillis()).isAtMost(HOST_SILENCE_MILLIS);
        }
    }

    /** Returns a fleet whose load has changed for some seconds as fast as hosts report it. */
    private static ReportFleet busyFleet(int hostCount) {
        ReportFleet fleet = new ReportFleet(SimulatedLink.NARROWEST_BYTES_PER_MILLI);
        fleet.start(hostCount);
        fleet.advance(4_000);
        for (int step = 0; step < 30; step++) {
            changeLoad(fleet, step);
        }
        return fleet;
    }

    private static void changeLoad(ReportFleet fleet, int step) {
        fleet.hosts.values().forEach(host -> host.changeLoad(report(host.name, step)));
        fleet.advance(CHANGE_INTERVAL_MILLIS);
    }

    /** Returns the report of a host that serves streams and has seen targets that are slower than others. */
    private static HostLoadReport report(String host, int step) {
        Map<TargetId, InFlightLoad> inFlight = new HashMap<>();
        for (int i = 0; i < STREAMS; i++) {
            inFlight.put(target(host, i), new InFlightLoad(step % 2, 1, 1, 6_000 + step));
        }
        Map<TargetId, TargetSpeed> speeds = new HashMap<>();
        for (int i = 0; i < SLOWER_TARGETS; i++) {
            speeds.put(target(host, i), new TargetSpeed(1.5, step));
        }
        return new HostLoadReport(
                        host, inFlight, Set.of(), Map.of(), 0, Set.of(), BrittleReport.EMPTY, LimitReport.EMPTY)
                .withSpeeds(speeds);
    }

    private static TargetId target(String host, int index) {
        return new TargetId("i-%010x".formatted(host.hashCode() * 31L + index & 0xFF_FFFF_FFFFL));
    }
}
