package org.amaranthlock.faults;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against new work at a draining target, which would be lost when the target stops. */
class DrainingTargetTest {
    private static final int ROUTERS = 5;
    private static final long ARRIVAL_INTERVAL_MILLIS = 100;
    private static final long ARRIVAL_PERIOD_MILLIS = 12_000;

    /**
     * Only the host list shows that the target is draining, and one router is marked as unable to reach the platform.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void targetListedAsDrainingReceivesNoNewWorkAfterTheLimit(long seed) {
        Cluster cluster = new Cluster(seed, ROUTERS);
        cluster.blockedFromPlatform.add((int) (seed % ROUTERS));
        SimulatedTarget target =
                cluster.targets(SimulatedDeployment.DRAFT_SERVICE).getFirst();
        for (long at = 0; at < ARRIVAL_PERIOD_MILLIS; at += ARRIVAL_INTERVAL_MILLIS) {
            int number = (int) (at / ARRIVAL_INTERVAL_MILLIS % ROUTERS);
            SimulatedClient client = SimulatedClient.generation(cluster, RequestKind.SHORT_TOKENS);
            cluster.simulation.schedule(at, () -> client.connect(number));
        }
        cluster.advance(2_000);
        int before = target.newWorkTimes().size();
        cluster.listAsDraining(target);
        cluster.advance(ARRIVAL_PERIOD_MILLIS);

        assertThat(before).isGreaterThan(0);
        assertThat(Invariants.check(cluster)).isEmpty();
        assertThat(cluster.clients.stream().allMatch(SimulatedClient::isCompleted))
                .isTrue();
    }
}
