package org.amaranthlock.faults;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;

/** Guards against sequences of faults, at any time and in any order, that break an invariant. */
class FaultProperties {
    private static final int ROUTERS = 5;
    private static final long WORK_MILLIS = 4_000;
    private static final long FAULT_SPAN_MILLIS = 5_000;

    /** A fault that strikes a router and a target at a time after the start of the work. */
    record Strike(Fault fault, int router, int target, int atMillis) {}

    @Provide
    Arbitrary<List<Strike>> strikes() {
        Arbitrary<Strike> strike = Combinators.combine(
                        Arbitraries.of(Fault.values()),
                        Arbitraries.integers().between(0, ROUTERS - 1),
                        Arbitraries.integers().between(0, Deployment.DESKS - 1),
                        Arbitraries.integers().between(0, (int) WORK_MILLIS))
                .as(Strike::new);
        return strike.list().ofMinSize(2).ofMaxSize(3);
    }

    @Property(tries = 150, seed = "20261203", shrinking = ShrinkingMode.BOUNDED)
    void invariantsHoldUnderTwoOrThreeFaults(@ForAll("strikes") List<Strike> strikes, @ForAll short seed) {
        Cluster cluster = new Cluster(seed, ROUTERS);
        work(cluster);
        for (Strike strike : strikes) {
            cluster.simulation.schedule(strike.atMillis(), () -> strike(cluster, strike));
        }
        cluster.run(WORK_MILLIS + FAULT_SPAN_MILLIS);
        assertWithMessage(strikes + " seed " + seed)
                .that(Invariants.check(cluster))
                .isEmpty();
    }

    /** Lets requests of every kind arrive at every router over the time in which faults strike. */
    private static void work(Cluster cluster) {
        List<Caller> callers = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            callers.add(Caller.generation(cluster, RequestKind.LONG_TOKENS));
            callers.add(Caller.generation(cluster, RequestKind.SHORT_TOKENS));
            callers.add(Caller.order(cluster, Deployment.FENCED));
            callers.add(Caller.order(cluster, Deployment.PLAIN));
            callers.add(Caller.order(cluster, Deployment.RECONCILING));
            callers.add(Caller.lookup(cluster));
        }
        for (int i = 0; i < callers.size(); i++) {
            Caller caller = callers.get(i);
            int number = i % ROUTERS;
            long at = i * WORK_MILLIS / callers.size();
            cluster.simulation.schedule(at, () -> arrive(cluster, caller, number));
        }
    }

    /** The balancer sends a caller to a router that is up and does not drain. */
    private static void arrive(Cluster cluster, Caller caller, int preferred) {
        List<Cluster.Node> nodes = cluster.running().stream()
                .filter(node -> !cluster.draining(node.router()))
                .toList();
        Cluster.Node chosen = nodes.stream()
                .filter(node -> node.number() == preferred)
                .findFirst()
                .orElse(nodes.getFirst());
        caller.connect(chosen.number());
    }

    private static void strike(Cluster cluster, Strike strike) {
        if (!cluster.node(strike.router()).router().running()) {
            return;
        }
        List<String> services = List.of(Deployment.DRAFTS, Deployment.FENCED, Deployment.PLAIN, Deployment.LOOKUPS);
        String service = services.get(strike.atMillis() % services.size());
        strike.fault().strike(cluster, strike.router(), cluster.targets(service).get(strike.target()));
    }
}
