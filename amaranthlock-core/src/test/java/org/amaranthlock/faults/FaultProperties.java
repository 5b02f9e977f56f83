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
    private static final long LATENCY_MILLIS = 12;
    private static final long WORK_MILLIS = 4_000;
    private static final long FAULT_SPAN_MILLIS = 10_000;
    private static final int LATE_REQUESTS = 10;
    private static final long LATE_GAP_MILLIS = 800;

    /** A fault that strikes a router and a target at a time after the start of the work. */
    record FaultInjection(Fault fault, int router, int target, int atMillis) {}

    /**
     * State of the network while the work runs.
     *
     * @param dropPercent messages lost
     * @param duplicatePercent messages that arrive twice, the second time late
     * @param slowRouter router whose messages to the next one are slow
     * @param slowMillis by how much
     */
    record NetworkFaults(int dropPercent, int duplicatePercent, int slowRouter, int slowMillis) {
        void apply(Cluster cluster) {
            cluster.simulation.setNetworkFaults(dropPercent / 100.0, duplicatePercent / 100.0, LATENCY_MILLIS);
            String from = cluster.node(slowRouter).router().member().address();
            String to =
                    cluster.node((slowRouter + 1) % ROUTERS).router().member().address();
            cluster.simulation.setLatency((sender, receiver) ->
                    sender.address().equals(from) && receiver.address().equals(to) ? slowMillis : 0);
        }
    }

    @Provide
    Arbitrary<NetworkFaults> networks() {
        return Combinators.combine(
                        Arbitraries.integers().between(0, 5),
                        Arbitraries.integers().between(0, 10),
                        Arbitraries.integers().between(0, ROUTERS - 1),
                        Arbitraries.integers().between(0, 300))
                .as(NetworkFaults::new);
    }

    @Provide
    Arbitrary<List<FaultInjection>> strikes() {
        Arbitrary<FaultInjection> strike = Combinators.combine(
                        Arbitraries.of(Fault.values()),
                        Arbitraries.integers().between(0, ROUTERS - 1),
                        Arbitraries.integers().between(0, SimulatedDeployment.DESKS - 1),
                        Arbitraries.integers().between(0, (int) WORK_MILLIS))
                .as(FaultInjection::new);
        return strike.list().ofMinSize(2).ofMaxSize(3);
    }

    @Property(tries = 150, seed = "20261203", shrinking = ShrinkingMode.BOUNDED)
    void invariantsHoldUnderTwoOrThreeFaults(
            @ForAll("strikes") List<FaultInjection> strikes,
            @ForAll("networks") NetworkFaults network,
            @ForAll short seed) {
        assertWithMessage(strikes + " " + network + " seed " + seed)
                .that(problems(strikes, network, seed))
                .isEmpty();
    }

    static List<String> problems(List<FaultInjection> strikes, NetworkFaults network, long seed) {
        Cluster cluster = new Cluster(seed, ROUTERS);
        network.apply(cluster);
        work(cluster);
        for (FaultInjection strike : strikes) {
            cluster.simulation.schedule(strike.atMillis(), () -> strike(cluster, strike));
        }
        cluster.advance(WORK_MILLIS + FAULT_SPAN_MILLIS);
        return Invariants.check(cluster);
    }

    /** Lets requests of every kind arrive at every router over the time in which faults strike. */
    private static void work(Cluster cluster) {
        List<SimulatedClient> callers = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            callers.add(SimulatedClient.generation(cluster, RequestKind.LONG_TOKENS));
            callers.add(SimulatedClient.generation(cluster, RequestKind.SHORT_TOKENS));
            callers.add(SimulatedClient.order(cluster, SimulatedDeployment.FENCED));
            callers.add(SimulatedClient.order(cluster, SimulatedDeployment.PLAIN));
            callers.add(SimulatedClient.order(cluster, SimulatedDeployment.RECONCILING));
            callers.add(SimulatedClient.lookup(cluster));
        }
        // Later work meets targets that have left and routers that have come back.
        for (int i = 0; i < LATE_REQUESTS; i++) {
            SimulatedClient caller = i % 2 == 0
                    ? SimulatedClient.generation(cluster, RequestKind.SHORT_TOKENS)
                    : SimulatedClient.order(cluster, SimulatedDeployment.FENCED);
            int number = i % ROUTERS;
            cluster.simulation.schedule(WORK_MILLIS + i * LATE_GAP_MILLIS, () -> arrive(cluster, caller, number));
        }
        for (int i = 0; i < callers.size(); i++) {
            SimulatedClient caller = callers.get(i);
            int number = i % ROUTERS;
            long at = i * WORK_MILLIS / callers.size();
            cluster.simulation.schedule(at, () -> arrive(cluster, caller, number));
        }
    }

    /** The balancer sends a caller to a router that is up and does not drain. */
    private static void arrive(Cluster cluster, SimulatedClient caller, int preferred) {
        List<Cluster.RouterNode> nodes = cluster.running().stream()
                .filter(node -> !cluster.draining(node.router()))
                .toList();
        Cluster.RouterNode chosen = nodes.stream()
                .filter(node -> node.number() == preferred)
                .findFirst()
                .orElse(nodes.isEmpty() ? cluster.node(preferred) : nodes.getFirst());
        caller.connect(chosen.number());
    }

    private static void strike(Cluster cluster, FaultInjection strike) {
        if (!cluster.node(strike.router()).router().running()) {
            return;
        }
        List<String> services = List.of(
                SimulatedDeployment.DRAFTS,
                SimulatedDeployment.FENCED,
                SimulatedDeployment.PLAIN,
                SimulatedDeployment.LOOKUPS);
        String service = services.get(strike.atMillis() % services.size());
        strike.fault().inject(cluster, strike.router(), cluster.targets(service).get(strike.target()));
    }
}
