package org.amaranthlock.entry.control;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.amaranthlock.coordination.loadreport.ObservedReport;
import org.amaranthlock.coordination.loadreport.ReportVersion;
import org.amaranthlock.entry.peer.EntryPeerMessage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests how load reports spread over fleets of six failure domains, in virtual time. */
class LoadReportExchangeTest {
    /** Time after which reports are used no more; see TargetLoadBalancer. */
    private static final int REPORT_EXPIRY_MILLIS = 4_000;

    /** Time after which a host that does not report is given up for requests that it serves for others. */
    private static final int HOST_SILENCE_MILLIS = 2_500;

    /** Time until all hosts have started and reported. */
    private static final int START_MILLIS = 5_000;

    private ReportFleet fleet = new ReportFleet();

    @ParameterizedTest
    @CsvSource({"3, 30", "9, 30", "30, 480", "95, 480", "330, 1300"})
    void changedLoadReachesAllHosts(int hostCount, int withinMillis) {
        fleet.start(hostCount);
        fleet.advance(START_MILLIS);
        fleet.host(1).publish(5);
        fleet.advance(withinMillis);
        for (ReportFleet.Host host : fleet.hosts.values()) {
            if (host != fleet.host(1)) {
                assertWithMessage(host.name)
                        .that(host.prefilling(fleet.host(1)))
                        .hasValue(5);
            }
        }
    }

    // Guards against hosts that take others for silent because reports take longer in a large fleet.
    @ParameterizedTest
    @CsvSource({"3", "30", "95", "330"})
    void reportsOfIdleHostsStayYoung(int hostCount) {
        fleet.start(hostCount);
        fleet.advance(4_000);
        for (int i = 0; i < 20; i++) {
            fleet.advance(150);
            assertThat(fleet.oldestReportMillis()).isAtMost(HOST_SILENCE_MILLIS);
        }
    }

    // Guards against messages that grow with the square of the hosts; direct reports at 95 hosts are 125 a second.
    @Test
    void idleHostsSendAndReceiveFewMessages() {
        double small = idleMessagesPerHostAndSecond(30);
        double medium = idleMessagesPerHostAndSecond(95);
        double large = idleMessagesPerHostAndSecond(330);
        assertThat(medium).isAtMost(2 * 94 / 1.5 / 5);
        assertThat(large).isAtMost(1.2 * small);
    }

    // Guards against a host that passes reports on and has no time left for requests.
    @ParameterizedTest
    @CsvSource({"95, 260", "330, 420"})
    void busiestHostOfAFleetUnderLoadReceivesABoundedNumberOfMessages(int hostCount, int perSecond) {
        fleet.start(hostCount);
        fleet.advance(START_MILLIS);
        Map<String, Long> before = new HashMap<>();
        fleet.hosts.values().forEach(host -> before.put(host.name, host.received));
        for (int step = 0; step < 20; step++) {
            int load = step;
            fleet.hosts.values().forEach(host -> host.publish(load));
            fleet.advance(200);
        }
        long busiest = fleet.hosts.values().stream()
                .mapToLong(host -> host.received - before.get(host.name))
                .max()
                .orElseThrow();
        assertThat(busiest / 4.0).isAtMost(perSecond);
    }

    // Guards against a fleet that knows nothing of a domain while the hosts that pass reports on are dead or frozen.
    @ParameterizedTest
    @CsvSource({"30, true", "95, true", "95, false"})
    void reportsGoOnWhenTheHostsThatPassThemOnStop(int hostCount, boolean killed) {
        fleet.start(hostCount);
        fleet.advance(START_MILLIS);
        for (int domain = 0; domain < ReportFleet.DOMAINS; domain++) {
            ReportFleet.Host stopped = fleet.hosts.get(fleet.relay(domain));
            stopped.alive = !killed;
            stopped.frozen = true;
            if (killed) {
                fleet.hosts.values().forEach(host -> host.exchange.onConnectionChanged(stopped.name));
            }
        }
        for (int i = 0; i < 40; i++) {
            fleet.advance(100);
            assertThat(fleet.oldestReportMillis()).isAtMost(REPORT_EXPIRY_MILLIS);
        }
    }

    // Guards against connections that go silent without being closed.
    @Test
    void silentConnectionsBetweenAllHostsAreReplaced() {
        fleet.start(95);
        fleet.advance(START_MILLIS);
        fleet.hosts
                .keySet()
                .forEach(from -> fleet.hosts.keySet().forEach(to -> fleet.silentLinks.add(ReportFleet.link(from, to))));
        fleet.advance(8_000);
        assertThat(fleet.oldestReportMillis()).isAtMost(REPORT_EXPIRY_MILLIS);
    }

    // Guards against old load that a host passes on when it goes on after a freeze.
    @Test
    void hostThatWasFrozenPassesOnNothingOld() {
        fleet.start(95);
        fleet.advance(START_MILLIS);
        ReportFleet.Host frozen = fleet.hosts.get(fleet.relay(0));
        frozen.frozen = true;
        fleet.advance(6_000);
        frozen.frozen = false;
        fleet.advance(START_MILLIS);
        for (ReportFleet.Host host : fleet.hosts.values()) {
            for (ObservedReport report : host.known.values()) {
                assertThat(fleet.nowMillis() - report.atMillis()).isAtMost(HOST_SILENCE_MILLIS);
            }
        }
    }

    @Test
    void hostsOfTheBuildBeforeAreReachedDirectly() {
        fleet.start(95);
        IntStream.range(0, 95).filter(i -> i % 3 == 0).forEach(i -> fleet.host(i).earlierBuild = true);
        fleet.advance(4_000);
        fleet.host(1).publish(5);
        fleet.advance(500);
        for (ReportFleet.Host host : fleet.hosts.values()) {
            if (host != fleet.host(1)) {
                assertWithMessage(host.name)
                        .that(host.prefilling(fleet.host(1)))
                        .hasValue(5);
            }
        }
    }

    @Test
    void restartedHostReplacesItsReports() {
        fleet.start(95);
        fleet.host(1).publish(5);
        fleet.advance(2_000);
        fleet.host(1).alive = false;
        ReportFleet.Host restarted = fleet.new Host(1, 1_000);
        fleet.hosts.put(restarted.name, restarted);
        restarted.exchange.start();
        restarted.publish(2);
        fleet.advance(2_000);
        assertThat(fleet.host(7).prefilling(restarted)).hasValue(2);
        assertThat(fleet.host(8).prefilling(restarted)).hasValue(2);
    }

    @Test
    void unknownHostIsNoticed() {
        fleet.start(3);
        fleet.host(0)
                .exchange
                .onReport(new EntryPeerMessage.LoadReport(
                        ReportFleet.report("stranger", 1), new ReportVersion(9, 1), false));
        assertThat(fleet.host(0).unknownHosts).containsExactly("stranger");
    }

    // Guards against shares of limits that are too large, because a host that cannot connect to this one is not
    // counted.
    @Test
    void unknownHostIsNoticedWhenOthersPassOnItsReport() {
        fleet.start(3);
        EntryPeerMessage.AgedReport aged =
                new EntryPeerMessage.AgedReport(ReportFleet.report("stranger", 1), new ReportVersion(9, 1), 0);
        fleet.host(0).exchange.onBundle(new EntryPeerMessage.ReportBundle(List.of(aged), false));
        assertThat(fleet.host(0).unknownHosts).containsExactly("stranger");
    }

    private double idleMessagesPerHostAndSecond(int hostCount) {
        fleet = new ReportFleet();
        fleet.start(hostCount);
        fleet.advance(START_MILLIS);
        long before = fleet.messages();
        int seconds = 6;
        fleet.advance(seconds * 1_000);
        return 2 * (fleet.messages() - before) / (double) seconds / hostCount;
    }
}
