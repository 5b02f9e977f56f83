package org.amaranthlock.faults;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class FaultMatrixTest {
    @Test
    void smoke() {
        Cluster cluster = new Cluster(1, 4);
        Caller a = Caller.generation(cluster, 100);
        Caller b = Caller.order(cluster, Deployment.FENCED);
        Caller c = Caller.lookup(cluster);
        a.connect(0);
        b.connect(1);
        c.connect(2);
        cluster.run(5_000);
        System.out.println(a + "\n" + b + "\n" + c + "\n" + cluster.fencedOwners());
        assertThat(Invariants.check(cluster)).isEmpty();
    }
}
