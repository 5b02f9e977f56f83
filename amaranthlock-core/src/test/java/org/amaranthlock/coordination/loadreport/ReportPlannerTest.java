package org.amaranthlock.coordination.loadreport;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.amaranthlock.model.FailureDomain;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the recipients of load reports in fleets of six failure domains. */
class ReportPlannerTest {
    private static final int DOMAINS = 6;

    @Test
    void hostOfSmallFleetReportsToAllOthers() {
        ReportPlan plan = plan(0, 9, host -> true);
        assertThat(plan.direct()).hasSize(8);
        assertThat(plan.usesRelays()).isFalse();
    }

    // Guards against messages that grow with the square of the hosts.
    @ParameterizedTest
    @ValueSource(ints = {30, 95, 330})
    void hostOfLargeFleetReportsToTwoHostsOfItsDomain(int hosts) {
        for (int host = 0; host < hosts; host++) {
            ReportPlan plan = plan(host, hosts, other -> true);
            assertThat(plan.direct()).isEmpty();
            assertThat(plan.relays().size() + (plan.relaysItself() ? 1 : 0)).isEqualTo(2);
            int domain = host % DOMAINS;
            assertThat(plan.relays().stream().allMatch(name -> domainOf(name) == domain))
                    .isTrue();
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {30, 95, 330})
    void twoHostsOfEachDomainReachAllHosts(int hosts) {
        Set<String> relays = relaysOf(0, hosts, host -> true);
        assertThat(relays).hasSize(2);
        for (String relay : relays) {
            Set<String> reached = new HashSet<>();
            ReportPlan plan = plan(index(relay), hosts, other -> true);
            reached.addAll(plan.members());
            for (String remote : plan.remoteRelays()) {
                reached.add(remote);
                reached.addAll(plan(index(remote), hosts, other -> true).members());
            }
            assertWithMessage("hosts reached through %s", relay).that(reached).hasSize(hosts - 1);
        }
    }

    // Guards against a report that is lost because one host in each domain is frozen.
    @Test
    void theTwoRelaysOfADomainUseBothOfEachOtherDomain() {
        for (String relay : relaysOf(0, 95, host -> true)) {
            assertThat(plan(index(relay), 95, other -> true).remoteRelays()).hasSize(2 * (DOMAINS - 1));
        }
    }

    // Guards against one host of a domain that passes on what is too much for its link.
    @ParameterizedTest
    @CsvSource({"90, 3", "330, 8", "330, 27"})
    void hostsOfGroupsShareTheWorkEvenly(int hosts, int groups) {
        Map<String, Integer> reportersByRelay = new HashMap<>();
        Map<String, Integer> relaysByRemoteRelay = new HashMap<>();
        for (int host = 0; host < hosts; host++) {
            Set<String> relays = relaysOf(host, hosts, groups);
            assertThat(relays).hasSize(2);
            relays.forEach(relay -> reportersByRelay.merge(relay, 1, Integer::sum));
        }
        for (String relay : reportersByRelay.keySet()) {
            Set<String> remote =
                    plan(index(relay), hosts, groups, other -> true).remoteRelays();
            assertThat(remote).hasSize(2 * (DOMAINS - 1));
            remote.forEach(name -> relaysByRemoteRelay.merge(name, 1, Integer::sum));
        }
        assertThat(reportersByRelay).hasSize(2 * groups * DOMAINS);
        int membersOfGroup = (int) Math.ceil(hosts / (double) DOMAINS / groups);
        assertThat(Collections.max(reportersByRelay.values())).isAtMost(membersOfGroup);
        assertThat(new HashSet<>(relaysByRemoteRelay.values())).containsExactly(2 * (DOMAINS - 1));
    }

    // Guards against hosts that nobody passes a report on to, because the hosts of other domains have other groups.
    @Test
    void relaysOfEachGroupReachAllHosts() {
        for (int host = 0; host < 90; host++) {
            for (String relay : relaysOf(host, 90, 3)) {
                Set<String> reached =
                        new HashSet<>(plan(index(relay), 90, 3, other -> true).members());
                for (String remote : plan(index(relay), 90, 3, other -> true).remoteRelays()) {
                    reached.add(remote);
                    reached.addAll(plan(index(remote), 90, 2, other -> true).members());
                }
                assertWithMessage("hosts reached through %s", relay)
                        .that(reached)
                        .hasSize(89);
            }
        }
    }

    @Test
    void moreGroupsThanPairsOfHostsUseAllHosts() {
        assertThat(relaysOf(0, 30, 100)).hasSize(2);
    }

    @Test
    void hostThatDoesNotRespondIsReplaced() {
        Set<String> before = relaysOf(6, 95, host -> true);
        String silent = before.iterator().next();
        Set<String> after = relaysOf(6, 95, host -> !host.equals(silent));
        assertThat(after).hasSize(2);
        assertThat(after).doesNotContain(silent);
    }

    @Test
    void hostWithoutOthersInItsDomainPassesOnItsOwnReport() {
        ReportPlan plan =
                new ReportPlanner("alone", new FailureDomain("other"), true).plan(peers(95, host -> true), 96, 1);
        assertThat(plan.relays()).isEmpty();
        assertThat(plan.relaysItself()).isTrue();
        assertThat(plan.remoteRelays()).hasSize(2 * DOMAINS);
    }

    // Guards against hosts of the build before that hear nothing of this one while a fleet is upgraded.
    @Test
    void hostsOfEarlierBuildsGetReportsDirectly() {
        List<ReportPeer> peers = new ArrayList<>(peers(95, host -> true));
        peers.add(new ReportPeer("old", domain(3), false, true));
        ReportPlan plan = new ReportPlanner("host-0", domain(0), true).plan(peers, 96, 1);
        assertThat(plan.direct()).containsExactly("old");
        assertThat(plan.passOnRecipients()).doesNotContain("old");
    }

    @Test
    void switchedOffMechanismLeavesDirectReportsAndGoesOnServingOthers() {
        ReportPlan plan = new ReportPlanner("host-0", domain(0), false).plan(peers(95, host -> true), 95, 1);
        assertThat(plan.direct()).hasSize(95);
        assertThat(plan.usesRelays()).isFalse();
        assertThat(plan.members()).isNotEmpty();
    }

    private static Set<String> relaysOf(int host, int hosts, Predicate<String> responsive) {
        return relays(host, plan(host, hosts, responsive));
    }

    private static Set<String> relaysOf(int host, int hosts, int groups) {
        return relays(host, plan(host, hosts, groups, other -> true));
    }

    private static Set<String> relays(int host, ReportPlan plan) {
        Set<String> relays = new HashSet<>(plan.relays());
        if (plan.relaysItself()) {
            relays.add("host-" + host);
        }
        return relays;
    }

    private static ReportPlan plan(int host, int hosts, Predicate<String> responsive) {
        return plan(host, hosts, 1, responsive);
    }

    private static ReportPlan plan(int host, int hosts, int groups, Predicate<String> responsive) {
        List<ReportPeer> others = peers(hosts, responsive).stream()
                .filter(peer -> !peer.name().equals("host-" + host))
                .toList();
        return new ReportPlanner("host-" + host, domain(host), true).plan(others, hosts, groups);
    }

    private static List<ReportPeer> peers(int hosts, Predicate<String> responsive) {
        return IntStream.range(0, hosts)
                .mapToObj(i -> new ReportPeer("host-" + i, domain(i), true, responsive.test("host-" + i)))
                .collect(Collectors.toList());
    }

    private static FailureDomain domain(int host) {
        return new FailureDomain("domain-" + host % DOMAINS);
    }

    private static int index(String host) {
        return Integer.parseInt(host.substring("host-".length()));
    }

    private static int domainOf(String host) {
        return index(host) % DOMAINS;
    }
}
