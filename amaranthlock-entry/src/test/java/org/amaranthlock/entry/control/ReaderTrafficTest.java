package org.amaranthlock.entry.control;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Collection;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests what a host that reads the store for others takes of its link, in virtual time, with the narrowest links. */
class ReaderTrafficTest {
    private static final int DOMAINS = 6;
    private static final int TARGETS_PER_HOST = 2;
    private static final int SETTLE_MILLIS = 15_000;
    private static final int DOWN_MILLIS = 500;

    /** Time after which no request may reach a target that leaves. */
    private static final int DRAIN_MILLIS = 2_500;

    // Guards against requests that wait at a reader because many hosts of its domain start at once.
    @ParameterizedTest
    @ValueSource(ints = {9, 90, 330})
    void startsOfAThirdOfTheHostsKeepRequestsWaitingBriefly(int hostCount) {
        StartFleet fleet = runningFleet(hostCount);
        List<Integer> restarted = IntStream.range(0, hostCount)
                .filter(i -> i / DOMAINS % 3 == 2)
                .boxed()
                .toList();
        restarted.forEach(number -> fleet.host(number).kill());
        List<StartFleet.Host> running = List.copyOf(fleet.hosts.values());
        fleet.advance(DOWN_MILLIS);
        restarted.forEach(fleet::start);
        fleet.advance(SETTLE_MILLIS);
        assertRequestsWaitBriefly(running);
    }

    // Guards against requests that wait at a reader because the targets of a failure domain are lost or drained at
    // once.
    @ParameterizedTest
    @ValueSource(ints = {9, 90, 330})
    void changeOfManyTargetsKeepsRequestsWaitingBriefly(int hostCount) {
        StartFleet fleet = runningFleet(hostCount);
        int changed = hostCount * TARGETS_PER_HOST / DOMAINS;
        putTargets(fleet, changed, "draining");
        fleet.advance(DRAIN_MILLIS);
        for (StartFleet.Host host : fleet.hosts.values()) {
            for (int i = 0; i < changed; i++) {
                assertWithMessage("%s uses %s", host.name, target(i))
                        .that(host.uses(target(i)))
                        .isFalse();
            }
        }
        assertRequestsWaitBriefly(fleet.hosts.values());
    }

    private static StartFleet runningFleet(int hostCount) {
        StartFleet fleet = new StartFleet(DOMAINS, true);
        putTargets(fleet, hostCount * TARGETS_PER_HOST, "ready");
        for (int i = 0; i < hostCount; i++) {
            fleet.start(i);
            fleet.advance(3_000 / hostCount);
        }
        fleet.advance(SETTLE_MILLIS);
        fleet.hosts.values().forEach(host -> host.outgoing.takeLongestQueueMillis());
        return fleet;
    }

    private static void putTargets(StartFleet fleet, int count, String state) {
        for (int i = 0; i < count; i++) {
            fleet.putTarget(target(i), state);
        }
    }

    private static String target(int index) {
        return "i-%010x".formatted(index);
    }

    private static void assertRequestsWaitBriefly(Collection<StartFleet.Host> hosts) {
        for (StartFleet.Host host : hosts) {
            assertWithMessage("outgoing link of %s", host.name)
                    .that(host.outgoing.takeLongestQueueMillis())
                    .isAtMost(SimulatedLink.MAX_QUEUE_MILLIS);
        }
    }
}
