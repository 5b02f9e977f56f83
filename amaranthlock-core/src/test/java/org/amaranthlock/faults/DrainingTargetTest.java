package org.amaranthlock.faults;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against new work at a target that leaves, which would be cut off with it. */
class DrainingTargetTest {
    private static final int ROUTERS = 5;
    private static final long ARRIVAL_GAP_MILLIS = 100;
    private static final long ARRIVALS_MILLIS = 12_000;

    /** Only the host list tells that the target leaves, and one router can't reach the platform. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void aTargetThatLeavesByTheHostListGetsNoWorkAfterTheBound(long seed) {
        Cluster cluster = new Cluster(seed, ROUTERS);
        cluster.cutFromPlatform.add((int) (seed % ROUTERS));
        SimulatedTarget target = cluster.targets(SimulatedDeployment.DRAFTS).getFirst();
        for (long at = 0; at < ARRIVALS_MILLIS; at += ARRIVAL_GAP_MILLIS) {
            int number = (int) (at / ARRIVAL_GAP_MILLIS % ROUTERS);
            SimulatedClient caller = SimulatedClient.generation(cluster, RequestKind.SHORT_TOKENS);
            cluster.simulation.schedule(at, () -> caller.connect(number));
        }
        cluster.advance(2_000);
        int before = target.newWorkTimes().size();
        cluster.listAsDraining(target);
        cluster.advance(ARRIVALS_MILLIS);

        assertThat(before).isGreaterThan(0);
        assertThat(Invariants.check(cluster)).isEmpty();
        assertThat(cluster.clients.stream().allMatch(SimulatedClient::completed))
                .isTrue();
    }
}
