package org.amaranthlock.faults;

import static com.google.common.truth.Truth.assertThat;

import org.amaranthlock.coordination.ledger.LedgerPartitions;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against partition owners that fence each other without end after routers start with different views. */
class PartitionOwnerStartTest {
    private static final int ROUTERS = 5;
    private static final int REQUESTS = 200;

    /** Requests arrive while the routers get to know each other; a second wave follows when they have. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void ownersSettleAfterTheStart(long seed) {
        Cluster cluster = new Cluster(seed, ROUTERS, 0);
        arrivals(cluster, 3_000);
        cluster.advance(10_000);
        int atStart = cluster.fencedOwners();
        arrivals(cluster, 3_000);
        cluster.advance(10_000);

        // Each router may take a partition over once with the view of itself alone and once more when it is named.
        assertThat(atStart).isAtMost(2 * ROUTERS * LedgerPartitions.COUNT);
        assertThat(cluster.fencedOwners() - atStart).isEqualTo(0);
        System.out.println("seed " + seed + ": " + atStart + " fenced owners at the start");
    }

    private static void arrivals(Cluster cluster, long overMillis) {
        for (int i = 0; i < REQUESTS; i++) {
            SimulatedClient caller = SimulatedClient.order(cluster, SimulatedDeployment.FENCED);
            int number = i % ROUTERS;
            cluster.simulation.schedule(i * overMillis / REQUESTS, () -> caller.connect(number));
        }
    }
}
