package org.amaranthlock.coordination.forwarding;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.amaranthlock.coordination.brittle.BrittleReport;
import org.amaranthlock.coordination.targetlimit.LimitReport;
import org.amaranthlock.model.FailureDomain;
import org.amaranthlock.model.TargetId;
import org.junit.jupiter.api.Test;

class TargetLoadBalancerTest {
    private static final ServiceDefinition ENGINES =
            new ServiceDefinition(EntryTargets.SERVICE, 100, true, 0, true, true);
    private static final ServiceDefinition PLAIN =
            new ServiceDefinition(EntryTargets.SERVICE, 100, false, 0, false, false);

    private final TargetLoadBalancer loadBalancer = loadBalancer(1);

    @Test
    void doesNotChooseDrainingTarget() {
        loadBalancer.update(new TargetTable(List.of(EntryTargets.draining("t1", "a"))));
        assertThat(loadBalancer.chooseTarget(ENGINES, 0, TargetConstraint.NONE, 0))
                .isEmpty();
    }

    @Test
    void usesFailedTargetOnlyAsLastResort() {
        EntryTarget failed = EntryTargets.ready("t1", "a");
        EntryTarget available = EntryTargets.ready("t2", "b");
        loadBalancer.update(new TargetTable(List.of(failed, available)));
        loadBalancer.recordFailure(failed, 0);
        assertThat(loadBalancer.chooseTarget(ENGINES, 0, TargetConstraint.NONE, 10))
                .hasValue(available);
        assertThat(loadBalancer.chooseTarget(ENGINES, 0, TargetConstraint.avoiding(Set.of(available.id())), 10))
                .hasValue(failed);
    }

    @Test
    void prefersPlainTargetOfLocalDomainUnlessBusier() {
        EntryTarget local = EntryTargets.ready("t1", "a");
        EntryTarget remote = EntryTargets.ready("t2", "b");
        loadBalancer.update(new TargetTable(List.of(local, remote)));
        assertThat(loadBalancer.chooseTarget(PLAIN, 0, TargetConstraint.NONE, 0))
                .hasValue(local);
        loadBalancer.addLoad(local, InFlightLoad.prefilling(0));
        assertThat(loadBalancer.chooseTarget(PLAIN, 0, TargetConstraint.NONE, 0))
                .hasValue(remote);
    }

    // Most engines of a domain fail at once. Guards against all hosts of that domain choosing the one engine that is
    // left.
    @Test
    void doesNotPreferLastEngineOfLocalDomain() {
        List<EntryTarget> targets = new ArrayList<>(List.of(EntryTargets.ready("local", "a")));
        IntStream.range(0, 8).forEach(i -> targets.add(EntryTargets.ready("r" + i, "b")));
        int local = 0;
        for (int seed = 0; seed < 90; seed++) {
            TargetLoadBalancer host = loadBalancer(seed);
            host.update(new TargetTable(targets));
            boolean choseLocal = host.chooseTarget(ENGINES, 0, TargetConstraint.NONE, 0)
                    .orElseThrow()
                    .id()
                    .value()
                    .equals("local");
            local += choseLocal ? 1 : 0;
        }
        assertThat(local).isAtMost(25); // an even choice gives 10
    }

    // Seven hosts resume streams within some milliseconds. Guards against prompts that queue on one engine.
    @Test
    void hostsThatExchangeReportsSpreadTheirRequests() {
        List<TargetLoadBalancer> hosts = IntStream.range(0, 7)
                .mapToObj(TargetLoadBalancerTest::loadBalancer)
                .toList();
        List<EntryTarget> engines = IntStream.range(0, 14)
                .mapToObj(i -> EntryTargets.ready("e" + i, "b"))
                .toList();
        hosts.forEach(host -> host.update(new TargetTable(engines)));
        Map<TargetId, Integer> placed = new HashMap<>();
        for (int round = 0; round < 4; round++) {
            for (int i = 0; i < hosts.size(); i++) {
                TargetLoadBalancer host = hosts.get(i);
                EntryTarget chosen = host.chooseTarget(ENGINES, 0, TargetConstraint.NONE, round)
                        .orElseThrow();
                host.addLoad(chosen, InFlightLoad.prefilling(0));
                placed.merge(chosen.id(), 1, Integer::sum);
                HostLoadReport report = host.loadReport("host-" + i, service -> true, Map.of(), 0, round);
                long now = round;
                hosts.stream().filter(other -> other != host).forEach(other -> other.updateRemote(report, now));
            }
        }
        assertThat(placed.values().stream().mapToInt(Integer::intValue).max().orElseThrow())
                .isEqualTo(2);
    }

    // Guards against each host having to find out by its own timeout that an engine has failed.
    @Test
    void excludesEngineUnreachableFromAnotherHost() {
        EntryTarget failed = EntryTargets.ready("t1", "a");
        EntryTarget available = EntryTargets.ready("t2", "b");
        TargetLoadBalancer other = loadBalancer(2);
        for (TargetLoadBalancer host : List.of(loadBalancer, other)) {
            host.update(new TargetTable(List.of(failed, available)));
        }
        loadBalancer.addLoad(available, InFlightLoad.generating(0));
        other.recordUnreachable(failed, 1_000);
        loadBalancer.updateRemote(other.loadReport("other", service -> true, Map.of(), 0, 1_010), 1_010);
        assertThat(loadBalancer.chooseTarget(ENGINES, 0, TargetConstraint.NONE, 1_020))
                .hasValue(available);
        assertThat(loadBalancer.chooseTarget(ENGINES, 0, TargetConstraint.NONE, 2_100))
                .hasValue(failed);
    }

    // A failure domain stops responding. Guards against connection attempts there, each of which takes its whole
    // timeout.
    @Test
    void suspectsEnginesOfFailingDomainForOneSecond() {
        List<EntryTarget> unreachable = IntStream.range(0, 4)
                .mapToObj(i -> EntryTargets.ready("d" + i, "a"))
                .toList();
        EntryTarget busy = EntryTargets.ready("b1", "b");
        List<EntryTarget> all = new ArrayList<>(unreachable);
        all.add(busy);
        loadBalancer.update(new TargetTable(all));
        IntStream.range(0, 3).forEach(i -> loadBalancer.addLoad(busy, InFlightLoad.generating(0)));
        loadBalancer.recordUnreachable(unreachable.get(0), 1_000);
        assertThat(loadBalancer.isDomainFailing(new FailureDomain("a"), 1_010)).isFalse();
        loadBalancer.recordUnreachable(unreachable.get(1), 1_010);
        assertThat(loadBalancer.chooseTarget(ENGINES, 0, TargetConstraint.NONE, 1_020))
                .hasValue(busy);
        assertThat(loadBalancer.isDomainFailing(new FailureDomain("a"), 2_020)).isFalse();
    }

    // Guards against hosts that forever exclude a target because each repeats the other's report.
    @Test
    void doesNotForwardRemoteUnreachability() {
        EntryTarget failed = EntryTargets.ready("t1", "a");
        loadBalancer.update(new TargetTable(List.of(failed)));
        loadBalancer.updateRemote(
                new HostLoadReport(
                        "other",
                        Map.of(),
                        Set.of(failed.id()),
                        Map.of(),
                        0,
                        Set.of(),
                        BrittleReport.EMPTY,
                        LimitReport.EMPTY),
                1_000);
        assertThat(loadBalancer
                        .loadReport("local", service -> true, Map.of(), 0, 1_010)
                        .unreachable())
                .isEmpty();
    }

    // Guards against connections beyond a target's limit, which the target resets with the requests on them.
    @Test
    void limitsHostToItsShareOfTargetConnections() {
        EntryTarget only = EntryTargets.ready("t1", "a");
        loadBalancer.update(new TargetTable(List.of(only)));
        loadBalancer.updateRemote(
                new HostLoadReport(
                        "other", Map.of(), Set.of(), Map.of(), 0, Set.of(), BrittleReport.EMPTY, LimitReport.EMPTY),
                0);
        ServiceDefinition six = new ServiceDefinition(EntryTargets.SERVICE, 6, false, 0, false, false);
        IntStream.range(0, 3).forEach(i -> {
            assertThat(loadBalancer.chooseTarget(six, 0, TargetConstraint.NONE, 0))
                    .hasValue(only);
            loadBalancer.addLoad(only, InFlightLoad.prefilling(0));
        });
        assertThat(loadBalancer.chooseTarget(six, 0, TargetConstraint.NONE, 0)).isEmpty();
        loadBalancer.removeLoad(only, InFlightLoad.prefilling(0));
        assertThat(loadBalancer.chooseTarget(six, 0, TargetConstraint.NONE, 0)).hasValue(only);
    }

    @Test
    void expiresReportsOfSilentHost() {
        EntryTarget first = EntryTargets.ready("t1", "a");
        EntryTarget second = EntryTargets.ready("t2", "b");
        loadBalancer.update(new TargetTable(List.of(first, second)));
        loadBalancer.updateRemote(
                new HostLoadReport(
                        "other",
                        Map.of(first.id(), new InFlightLoad(0, 9, 0, 0)),
                        Set.of(),
                        Map.of(),
                        0,
                        Set.of(),
                        BrittleReport.EMPTY,
                        LimitReport.EMPTY),
                0);
        loadBalancer.addLoad(second, InFlightLoad.generating(0));
        assertThat(loadBalancer.chooseTarget(ENGINES, 0, TargetConstraint.NONE, 3_900))
                .hasValue(second);
        assertThat(loadBalancer.chooseTarget(ENGINES, 0, TargetConstraint.NONE, 4_100))
                .hasValue(first);
    }

    private static TargetLoadBalancer loadBalancer(long seed) {
        return EntryTargets.loadBalancer(seed);
    }

    @Test
    void hostIsCutOnceAllTargetsAreUnreachable() {
        register(3);
        unreachable(2, 0);
        assertThat(loadBalancer.isCut(EntryTargets.SERVICE, 0)).isFalse();
        unreachable(3, 0);
        assertThat(loadBalancer.isCut(EntryTargets.SERVICE, 0)).isTrue();
    }

    // Guards against a host that gives up targets because some of many are unreachable.
    @Test
    void hostIsNotCutWhileTargetResponds() {
        register(20);
        unreachable(10, 2_000);
        loadBalancer.recordSuccess(EntryTargets.ready("t19", "a"), 1_500);
        assertThat(loadBalancer.isCut(EntryTargets.SERVICE, 2_000)).isFalse();
        assertThat(loadBalancer.isCut(EntryTargets.SERVICE, 2_500)).isTrue();
    }

    @Test
    void hostHasPathAgainOnceTargetResponds() {
        register(3);
        unreachable(3, 0);
        loadBalancer.recordSuccess(EntryTargets.ready("t1", "a"), 100);
        assertThat(loadBalancer.isCut(EntryTargets.SERVICE, 1_200)).isFalse();
    }

    // Guards against hosts that give up healthy engines because a host reports them that has lost its own path.
    @Test
    void unreachableTargetsOfCutHostAreIgnored() {
        register(2);
        EntryTarget first = EntryTargets.ready("t0", "a");
        HostLoadReport report = new HostLoadReport(
                "other",
                Map.of(),
                Set.of(first.id()),
                Map.of(),
                0,
                Set.of(EntryTargets.SERVICE),
                BrittleReport.EMPTY,
                LimitReport.EMPTY);
        loadBalancer.updateRemote(report, 0);
        assertThat(loadBalancer.isReachable(first, 0)).isTrue();
    }

    private void register(int count) {
        List<EntryTarget> targets = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            targets.add(EntryTargets.ready("t" + i, "a"));
        }
        loadBalancer.update(new TargetTable(targets));
    }

    private void unreachable(int count, long nowMillis) {
        for (int i = 0; i < count; i++) {
            loadBalancer.recordUnreachable(EntryTargets.ready("t" + i, "a"), nowMillis);
        }
    }
}
