package org.amaranthlock.faults;

import static com.google.common.truth.Truth.assertThat;

import org.amaranthlock.coordination.ledger.LedgerPartitions;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against ledger partition owners that fence each other endlessly after routers start with different membership
 * views.
 */
class PartitionOwnerStartupTest {
    private static final int ROUTERS = 5;
    private static final int REQUESTS = 200;

    /** Requests arrive while the routers discover each other, and again when they all know each other. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void ownershipStabilizesAfterStartup(long seed) {
        Cluster cluster = new Cluster(seed, ROUTERS, 0);
        scheduleOrders(cluster, 3_000);
        cluster.advance(10_000);
        int duringStartup = cluster.fencedOwnerCount();
        scheduleOrders(cluster, 3_000);
        cluster.advance(10_000);

        // Each router may take a partition over once while it knows only itself and once more as its rightful owner.
        assertThat(duringStartup).isAtMost(2 * ROUTERS * LedgerPartitions.COUNT);
        assertThat(cluster.fencedOwnerCount() - duringStartup).isEqualTo(0);
        System.out.println("seed " + seed + ": " + duringStartup + " fenced owners during startup");
    }

    private static void scheduleOrders(Cluster cluster, long overMillis) {
        for (int i = 0; i < REQUESTS; i++) {
            SimulatedClient client = SimulatedClient.order(cluster, SimulatedDeployment.FENCED_ORDER_SERVICE);
            int number = i % ROUTERS;
            cluster.simulation.schedule(i * overMillis / REQUESTS, () -> client.connect(number));
        }
    }
}
