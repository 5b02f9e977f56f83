package org.amaranthlock.faults;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.amaranthlock.coordination.OperatorCommand;
import org.amaranthlock.model.ExecutionStatus;
import org.amaranthlock.model.Outcome;
import org.amaranthlock.model.OutcomeRecord;
import org.amaranthlock.model.RequestId;

/** Checks the invariants after all faults have ended and every client has its final response. */
final class Invariants {
    /** Time after which a draining target must receive no new work. */
    static final long MAX_DRAIN_DELAY_MILLIS = 5_000;
    /** Time within which a configuration change must reach all routers. */
    static final long MAX_CONFIGURATION_DELAY_MILLIS = 3_000;
    /** Time in which a restarted router joins the others and applies the configuration. */
    private static final long JOIN_MILLIS = 3_000;

    /**
     * Abandoned requests are closed 30 s after their client left or their router was detected as dead; the detection
     * takes some seconds.
     */
    private static final long LAST_RECORD_TIMEOUT_MILLIS = 45_000;

    private Invariants() {}

    /** Ends all faults, runs the cluster until all requests are recorded and returns the violated invariants. */
    static List<String> check(Cluster cluster) {
        List<Cluster.RouterNode> survivors = cluster.runningNodes();
        cluster.heal();
        List<String> violations = new ArrayList<>();
        cluster.advance(MAX_CONFIGURATION_DELAY_MILLIS);
        checkConfiguration(cluster, survivors, violations);
        cluster.advance(JOIN_MILLIS);
        checkConfiguration(cluster, cluster.runningNodes(), violations);
        long end = cluster.now() + LAST_RECORD_TIMEOUT_MILLIS;
        while (cluster.now() < end && !isSettled(cluster)) {
            cluster.advance(500);
        }
        cluster.advance(1_000);
        violations.addAll(cluster.invariantViolations);
        checkClients(cluster, violations);
        checkRecords(cluster, violations);
        checkDrainingTargets(cluster, violations);
        return violations.stream().distinct().toList();
    }

    private static void checkConfiguration(Cluster cluster, List<Cluster.RouterNode> nodes, List<String> violations) {
        for (Cluster.RouterNode node : nodes) {
            if (node.router().running() && !OperatorActions.hasCurrentWeight(cluster, node)) {
                violations.add("router " + node.number() + " applies weight " + OperatorActions.weight(node)
                        + " instead of " + OperatorActions.weight(cluster));
            }
        }
    }

    private static boolean isSettled(Cluster cluster) {
        return cluster.clients.stream()
                .allMatch(client ->
                        client.isDone() && !cluster.records(client.ledgerKey()).isEmpty());
    }

    private static void checkClients(Cluster cluster, List<String> violations) {
        for (SimulatedClient client : cluster.clients) {
            if (!client.isDone()) {
                violations.add("no final response: " + client);
            }
            if (client.isOrder()) {
                int executions =
                        cluster.executionLog.executions(client.ledgerKey()).size();
                if (executions > 1) {
                    violations.add("executed " + executions + " times: " + client);
                }
                if (client.executionStatus().equals(Optional.of(ExecutionStatus.RAN)) && executions == 0) {
                    violations.add("reported as RAN but never executed: " + client);
                }
            }
            for (SimulatedClient.ReceivedRefusal refusal : client.refusals) {
                if (refusal.refusal().executionStatus() == ExecutionStatus.NOT_RUN
                        && cluster.executionLog.wasRequestExecuted(refusal.connection())) {
                    violations.add("refused as NOT_RUN but executed: " + refusal + " of " + client);
                }
            }
        }
    }

    /**
     * Counts refusals that report NOT_RUN to a retry although an earlier call with the same key was executed. The
     * execution status describes only the refused call, so these refusals are counted but are not violations here;
     * {@link FaultMatrixTest} requires that there are none.
     */
    static int countNotRunRefusalsOfExecutedKeys(Cluster cluster) {
        int count = 0;
        for (SimulatedClient client : cluster.clients) {
            for (SimulatedClient.ReceivedRefusal refusal : client.refusals) {
                boolean ran = client.isOrder()
                        && refusal.refusal().executionStatus() == ExecutionStatus.NOT_RUN
                        && cluster.executionLog.executions(client.ledgerKey()).stream()
                                .anyMatch(execution -> execution.atMillis() < refusal.atMillis());
                count += ran ? 1 : 0;
            }
        }
        return count;
    }

    private static void checkRecords(Cluster cluster, List<String> violations) {
        Map<RequestId, Integer> counts = new HashMap<>();
        Set<String> keys = new HashSet<>();
        for (OutcomeRecord record : cluster.records()) {
            counts.merge(record.request(), 1, Integer::sum);
            keys.add(record.ledgerKey());
            if (record.executionStatus() == ExecutionStatus.NOT_RUN
                    && cluster.executionLog.wasRequestExecuted(record.request())) {
                violations.add("recorded as NOT_RUN but executed: " + record);
            }
        }
        counts.forEach((request, count) -> {
            if (count > 1) {
                violations.add(count + " records of " + request);
            }
        });
        for (SimulatedClient client : cluster.clients) {
            if (!keys.contains(client.ledgerKey())) {
                violations.add("no record: " + client);
            }
            long completed = cluster.records(client.ledgerKey()).stream()
                    .filter(record -> record.outcome() == Outcome.COMPLETED)
                    .count();
            if (client.isGeneration() && completed > 1) {
                violations.add(completed + " completed records: " + client);
            }
        }
        checkRecordsReadable(cluster, counts.keySet(), violations);
    }

    private static void checkRecordsReadable(Cluster cluster, Set<RequestId> requests, List<String> violations) {
        Map<RequestId, Long> calls = new HashMap<>();
        int reader = cluster.runningNodes().getLast().number();
        requests.stream().sorted().forEach(request -> calls.put(request, cluster.requestOutcome(reader, request)));
        cluster.advance(3_000);
        calls.forEach((request, call) -> {
            boolean readable = cluster.operatorResponses.get(call) instanceof OperatorCommand.OutcomeShown response
                    && response.record().isPresent();
            if (!readable) {
                violations.add("record of " + request + " cannot be read: " + cluster.operatorResponses.get(call));
            }
        });
    }

    private static void checkDrainingTargets(Cluster cluster, List<String> violations) {
        cluster.drainingTargets.forEach((id, since) -> cluster.allTargets().stream()
                .filter(target -> target.target().id().equals(id))
                .flatMap(target -> target.newWorkTimes().stream())
                .filter(at -> at > since + MAX_DRAIN_DELAY_MILLIS)
                .forEach(at -> violations.add("new work at draining target " + id + " after " + (at - since) + " ms")));
    }
}
