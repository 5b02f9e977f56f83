package org.amaranthlock.coordination.forwarding;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.amaranthlock.model.FailureDomain;
import org.amaranthlock.model.TargetId;
import org.junit.jupiter.api.Test;

class TargetLoadBalancerTest {
    private static final ServiceDefinition ENGINES =
            new ServiceDefinition(EntryTargets.SERVICE, 100, true, 0, true, true);
    private static final ServiceDefinition PLAIN =
            new ServiceDefinition(EntryTargets.SERVICE, 100, false, 0, false, false);

    private final TargetLoadBalancer picker = picker(1);

    @Test
    void aDrainingTargetGetsNothing() {
        picker.update(new TargetTable(List.of(EntryTargets.draining("t1", "a"))));
        assertThat(picker.chooseTarget(ENGINES, 0, Set.of(), 0)).isEmpty();
    }

    @Test
    void aFailedTargetIsUsedOnlyIfNoOtherIsLeft() {
        EntryTarget failed = EntryTargets.ready("t1", "a");
        EntryTarget sound = EntryTargets.ready("t2", "b");
        picker.update(new TargetTable(List.of(failed, sound)));
        picker.recordFailure(failed, 0);
        assertThat(picker.chooseTarget(ENGINES, 0, Set.of(), 10)).hasValue(sound);
        assertThat(picker.chooseTarget(ENGINES, 0, Set.of(sound.id()), 10)).hasValue(failed);
    }

    @Test
    void aPlainTargetOfTheOwnDomainIsPreferredWhileItIsNotBusier() {
        EntryTarget local = EntryTargets.ready("t1", "a");
        EntryTarget remote = EntryTargets.ready("t2", "b");
        picker.update(new TargetTable(List.of(local, remote)));
        assertThat(picker.chooseTarget(PLAIN, 0, Set.of(), 0)).hasValue(local);
        picker.addLoad(local, InFlightLoad.prefilling(0));
        assertThat(picker.chooseTarget(PLAIN, 0, Set.of(), 0)).hasValue(remote);
    }

    // Load pattern: most engines of a domain die at once. Guards against hosts of that domain that all choose the one
    // which is left there.
    @Test
    void theLastEngineOfTheOwnDomainIsNotPreferred() {
        List<EntryTarget> targets = new ArrayList<>(List.of(EntryTargets.ready("local", "a")));
        IntStream.range(0, 8).forEach(i -> targets.add(EntryTargets.ready("r" + i, "b")));
        int local = 0;
        for (int seed = 0; seed < 90; seed++) {
            TargetLoadBalancer host = picker(seed);
            host.update(new TargetTable(targets));
            boolean choseLocal = host.chooseTarget(ENGINES, 0, Set.of(), 0)
                    .orElseThrow()
                    .id()
                    .value()
                    .equals("local");
            local += choseLocal ? 1 : 0;
        }
        assertThat(local).isAtMost(25);
    }

    // Load pattern: seven hosts resume streams within some milliseconds. Guards against queues on one engine.
    @Test
    void hostsThatHearOfEachOtherSpreadTheirRequests() {
        List<TargetLoadBalancer> hosts =
                IntStream.range(0, 7).mapToObj(TargetLoadBalancerTest::picker).toList();
        List<EntryTarget> engines = IntStream.range(0, 14)
                .mapToObj(i -> EntryTargets.ready("e" + i, "b"))
                .toList();
        hosts.forEach(host -> host.update(new TargetTable(engines)));
        Map<TargetId, Integer> placed = new HashMap<>();
        for (int round = 0; round < 4; round++) {
            for (int i = 0; i < hosts.size(); i++) {
                TargetLoadBalancer host = hosts.get(i);
                EntryTarget chosen =
                        host.chooseTarget(ENGINES, 0, Set.of(), round).orElseThrow();
                host.addLoad(chosen, InFlightLoad.prefilling(0));
                placed.merge(chosen.id(), 1, Integer::sum);
                HostLoadReport news = host.loadReport("host-" + i, service -> true, Map.of(), 0, round);
                long now = round;
                hosts.stream().filter(other -> other != host).forEach(other -> other.updateRemote(news, now));
            }
        }
        assertThat(placed.values().stream().mapToInt(Integer::intValue).max().orElseThrow())
                .isEqualTo(2);
    }

    // Guards against hosts that each wait for the same dead engine.
    @Test
    void anEngineThatAnotherHostCouldNotReachIsSetAside() {
        EntryTarget dead = EntryTargets.ready("t1", "a");
        EntryTarget sound = EntryTargets.ready("t2", "b");
        TargetLoadBalancer other = picker(2);
        for (TargetLoadBalancer host : List.of(picker, other)) {
            host.update(new TargetTable(List.of(dead, sound)));
        }
        picker.addLoad(sound, InFlightLoad.generating(0));
        other.recordUnreachable(dead, 1_000);
        picker.updateRemote(other.loadReport("other", service -> true, Map.of(), 0, 1_010), 1_010);
        assertThat(picker.chooseTarget(ENGINES, 0, Set.of(), 1_020)).hasValue(sound);
        assertThat(picker.chooseTarget(ENGINES, 0, Set.of(), 2_100)).hasValue(dead);
    }

    // Load pattern: a failure domain goes dark; each connection attempt there costs its whole timeout.
    @Test
    void theOtherEnginesOfAFailingDomainAreDoubtedForASecond() {
        List<EntryTarget> dark = IntStream.range(0, 4)
                .mapToObj(i -> EntryTargets.ready("d" + i, "a"))
                .toList();
        EntryTarget busy = EntryTargets.ready("b1", "b");
        List<EntryTarget> all = new ArrayList<>(dark);
        all.add(busy);
        picker.update(new TargetTable(all));
        IntStream.range(0, 3).forEach(i -> picker.addLoad(busy, InFlightLoad.generating(0)));
        picker.recordUnreachable(dark.get(0), 1_000);
        assertThat(picker.isDomainFailing(new FailureDomain("a"), 1_010)).isFalse();
        picker.recordUnreachable(dark.get(1), 1_010);
        assertThat(picker.chooseTarget(ENGINES, 0, Set.of(), 1_020)).hasValue(busy);
        assertThat(picker.isDomainFailing(new FailureDomain("a"), 2_020)).isFalse();
    }

    // Guards against hosts that pass a suspicion on to each other for ever.
    @Test
    void aSuspicionThatWasHeardIsNotPassedOn() {
        EntryTarget dead = EntryTargets.ready("t1", "a");
        picker.update(new TargetTable(List.of(dead)));
        picker.updateRemote(new HostLoadReport("other", Map.of(), Set.of(dead.id()), Map.of(), 0), 1_000);
        assertThat(picker.loadReport("own", service -> true, Map.of(), 0, 1_010).unreachable())
                .isEmpty();
    }

    // Guards against connections beyond a target's limit, which it resets with the orders on them.
    @Test
    void aHostUsesNoMoreThanItsShareOfATargetsConnections() {
        EntryTarget only = EntryTargets.ready("t1", "a");
        picker.update(new TargetTable(List.of(only)));
        picker.updateRemote(new HostLoadReport("other", Map.of(), Set.of(), Map.of(), 0), 0);
        ServiceDefinition six = new ServiceDefinition(EntryTargets.SERVICE, 6, false, 0, false, false);
        IntStream.range(0, 3).forEach(i -> {
            assertThat(picker.chooseTarget(six, 0, Set.of(), 0)).hasValue(only);
            picker.addLoad(only, InFlightLoad.prefilling(0));
        });
        assertThat(picker.chooseTarget(six, 0, Set.of(), 0)).isEmpty();
        picker.removeLoad(only, InFlightLoad.prefilling(0));
        assertThat(picker.chooseTarget(six, 0, Set.of(), 0)).hasValue(only);
    }

    @Test
    void reportsOfASilentHostDoNotCount() {
        EntryTarget first = EntryTargets.ready("t1", "a");
        EntryTarget second = EntryTargets.ready("t2", "b");
        picker.update(new TargetTable(List.of(first, second)));
        picker.updateRemote(
                new HostLoadReport("other", Map.of(first.id(), new InFlightLoad(0, 9, 0, 0)), Set.of(), Map.of(), 0),
                0);
        picker.addLoad(second, InFlightLoad.generating(0));
        assertThat(picker.chooseTarget(ENGINES, 0, Set.of(), 3_900)).hasValue(second);
        assertThat(picker.chooseTarget(ENGINES, 0, Set.of(), 4_100)).hasValue(first);
    }

    private static TargetLoadBalancer picker(long seed) {
        return EntryTargets.picker(seed);
    }
}
