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

/** Guards against sequences of two or three faults, at any time and in any order, that violate an invariant. */
class FaultProperties {
    private static final int ROUTERS = 5;
    private static final long MAX_LATENCY_MILLIS = 12;
    private static final long ARRIVAL_PERIOD_MILLIS = 4_000;
    private static final long FAULT_PERIOD_MILLIS = 10_000;
    private static final int LATE_REQUESTS = 10;
    private static final long LATE_INTERVAL_MILLIS = 800;

    /** Fault that is injected at a router or a target, at a time after the first request. */
    record FaultInjection(ClusterFault fault, int router, int target, int atMillis) {}

    /**
     * Conditions of the network while the requests run.
     *
     * @param dropPercent percentage of messages that are lost
     * @param duplicatePercent percentage of messages that arrive twice, the second time late
     * @param slowRouter number of the router whose messages to the next one are delayed
     * @param slowMillis additional latency of these messages
     */
    record NetworkFaults(int dropPercent, int duplicatePercent, int slowRouter, int slowMillis) {
        void apply(Cluster cluster) {
            cluster.simulation.setNetworkFaults(dropPercent / 100.0, duplicatePercent / 100.0, MAX_LATENCY_MILLIS);
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
    Arbitrary<List<FaultInjection>> injections() {
        Arbitrary<FaultInjection> injection = Combinators.combine(
                        Arbitraries.of(ClusterFault.values()),
                        Arbitraries.integers().between(0, ROUTERS - 1),
                        Arbitraries.integers().between(0, SimulatedDeployment.TARGETS_PER_CALL_SERVICE - 1),
                        Arbitraries.integers().between(0, (int) ARRIVAL_PERIOD_MILLIS))
                .as(FaultInjection::new);
        return injection.list().ofMinSize(2).ofMaxSize(3);
    }

    @Property(tries = 150, seed = "20261203", shrinking = ShrinkingMode.BOUNDED)
    void invariantsHoldUnderTwoOrThreeFaults(
            @ForAll("injections") List<FaultInjection> injections,
            @ForAll("networks") NetworkFaults network,
            @ForAll short seed) {
        assertWithMessage(injections + " " + network + " seed " + seed)
                .that(findViolations(injections, network, seed))
                .isEmpty();
    }

    static List<String> findViolations(List<FaultInjection> injections, NetworkFaults network, long seed) {
        Cluster cluster = new Cluster(seed, ROUTERS);
        network.apply(cluster);
        scheduleRequests(cluster);
        for (FaultInjection injection : injections) {
            cluster.simulation.schedule(injection.atMillis(), () -> inject(cluster, injection));
        }
        cluster.advance(ARRIVAL_PERIOD_MILLIS + FAULT_PERIOD_MILLIS);
        return Invariants.check(cluster);
    }

    /** Schedules requests of every kind at every router over the time in which faults are injected. */
    private static void scheduleRequests(Cluster cluster) {
        List<SimulatedClient> clients = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            clients.add(SimulatedClient.generation(cluster, RequestKind.LONG_TOKENS));
            clients.add(SimulatedClient.generation(cluster, RequestKind.SHORT_TOKENS));
            clients.add(SimulatedClient.order(cluster, SimulatedDeployment.FENCED_ORDER_SERVICE));
            clients.add(SimulatedClient.order(cluster, SimulatedDeployment.PLAIN_ORDER_SERVICE));
            clients.add(SimulatedClient.order(cluster, SimulatedDeployment.RECONCILING_ORDER_SERVICE));
            clients.add(SimulatedClient.lookup(cluster));
        }
        // Later requests meet targets that have drained and routers that have restarted.
        for (int i = 0; i < LATE_REQUESTS; i++) {
            SimulatedClient client = i % 2 == 0
                    ? SimulatedClient.generation(cluster, RequestKind.SHORT_TOKENS)
                    : SimulatedClient.order(cluster, SimulatedDeployment.FENCED_ORDER_SERVICE);
            int number = i % ROUTERS;
            cluster.simulation.schedule(
                    ARRIVAL_PERIOD_MILLIS + i * LATE_INTERVAL_MILLIS,
                    () -> connectToAvailableRouter(cluster, client, number));
        }
        for (int i = 0; i < clients.size(); i++) {
            SimulatedClient client = clients.get(i);
            int number = i % ROUTERS;
            long at = i * ARRIVAL_PERIOD_MILLIS / clients.size();
            cluster.simulation.schedule(at, () -> connectToAvailableRouter(cluster, client, number));
        }
    }

    /** Connects a client like a load balancer: to a router that is running and not draining. */
    private static void connectToAvailableRouter(Cluster cluster, SimulatedClient client, int preferred) {
        List<Cluster.RouterNode> nodes = cluster.runningNodes().stream()
                .filter(node -> !cluster.isDraining(node.router()))
                .toList();
        Cluster.RouterNode chosen = nodes.stream()
                .filter(node -> node.number() == preferred)
                .findFirst()
                .orElse(nodes.isEmpty() ? cluster.node(preferred) : nodes.getFirst());
        client.connect(chosen.number());
    }

    private static void inject(Cluster cluster, FaultInjection injection) {
        if (!cluster.node(injection.router()).router().running()) {
            return;
        }
        List<String> services = List.of(
                SimulatedDeployment.DRAFT_SERVICE,
                SimulatedDeployment.FENCED_ORDER_SERVICE,
                SimulatedDeployment.PLAIN_ORDER_SERVICE,
                SimulatedDeployment.LOOKUP_SERVICE);
        String service = services.get(injection.atMillis() % services.size());
        injection
                .fault()
                .inject(cluster, injection.router(), cluster.targets(service).get(injection.target()));
    }
}
