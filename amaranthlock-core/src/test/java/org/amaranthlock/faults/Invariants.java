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

/** Checks of the invariants after the faults have healed and every caller has its answer. */
final class Invariants {
    /** Bound on new work at a target that leaves. */
    static final long DRAINING_MILLIS = 5_000;
    /** Bound on the spread of a configuration change. */
    static final long CONFIGURATION_MILLIS = 3_000;
    /** Time for a router that has just started to join the others and to take its configuration. */
    private static final long RESTART_MILLIS = 3_000;

    /** An abandoned request is closed 30 s after its caller left; its router's death is noticed seconds before that. */
    private static final long LAST_RECORD_MILLIS = 45_000;

    private Invariants() {}

    /** Runs the cluster until all is quiet and returns what does not hold. */
    static List<String> check(Cluster cluster) {
        List<Cluster.RouterNode> survivors = cluster.running();
        cluster.heal();
        List<String> problems = new ArrayList<>();
        cluster.advance(CONFIGURATION_MILLIS);
        configuration(cluster, survivors, problems);
        cluster.advance(RESTART_MILLIS);
        configuration(cluster, cluster.running(), problems);
        long end = cluster.now() + LAST_RECORD_MILLIS;
        while (cluster.now() < end && !settled(cluster)) {
            cluster.advance(500);
        }
        cluster.advance(1_000);
        problems.addAll(cluster.invariantViolations);
        callers(cluster, problems);
        records(cluster, problems);
        targets(cluster, problems);
        return problems.stream().distinct().toList();
    }

    private static void configuration(Cluster cluster, List<Cluster.RouterNode> nodes, List<String> problems) {
        for (Cluster.RouterNode node : nodes) {
            if (node.router().running() && !OperatorActions.hasCurrentWeight(cluster, node)) {
                problems.add("router " + node.number() + " holds weight " + OperatorActions.weight(node)
                        + " instead of " + OperatorActions.weight(cluster));
            }
        }
    }

    private static boolean settled(Cluster cluster) {
        return cluster.clients.stream()
                .allMatch(caller ->
                        caller.isDone() && !cluster.records(caller.ledgerKey()).isEmpty());
    }

    private static void callers(Cluster cluster, List<String> problems) {
        for (SimulatedClient caller : cluster.clients) {
            if (!caller.isDone()) {
                problems.add("no final answer: " + caller);
            }
            if (caller.isOrder()) {
                int executions =
                        cluster.executionLog.executions(caller.ledgerKey()).size();
                if (executions > 1) {
                    problems.add("executed " + executions + " times: " + caller);
                }
                if (caller.executionStatus().equals(Optional.of(ExecutionStatus.RAN)) && executions == 0) {
                    problems.add("told as run but never executed: " + caller);
                }
            }
            for (SimulatedClient.ReceivedRefusal told : caller.refusals) {
                if (told.refusal().executionStatus() == ExecutionStatus.NOT_RUN
                        && cluster.executionLog.wasRequestExecuted(told.connection())) {
                    problems.add("refused as not run but executed: " + told + " of " + caller);
                }
            }
        }
    }

    /**
     * Counts refusals that say "not run" to a repeat although an earlier call with its key had run. By the design a
     * fate tells about the refused call alone, so these are counted and do not fail a check.
     */
    static int refusalsOfExecutedKeys(Cluster cluster) {
        int count = 0;
        for (SimulatedClient caller : cluster.clients) {
            for (SimulatedClient.ReceivedRefusal told : caller.refusals) {
                boolean ran = caller.isOrder()
                        && told.refusal().executionStatus() == ExecutionStatus.NOT_RUN
                        && cluster.executionLog.executions(caller.ledgerKey()).stream()
                                .anyMatch(execution -> execution.atMillis() < told.atMillis());
                count += ran ? 1 : 0;
            }
        }
        return count;
    }

    private static void records(Cluster cluster, List<String> problems) {
        Map<RequestId, Integer> counts = new HashMap<>();
        Set<String> keys = new HashSet<>();
        for (OutcomeRecord record : cluster.records()) {
            counts.merge(record.request(), 1, Integer::sum);
            keys.add(record.ledgerKey());
            if (record.executionStatus() == ExecutionStatus.NOT_RUN
                    && cluster.executionLog.wasRequestExecuted(record.request())) {
                problems.add("recorded as not run but executed: " + record);
            }
        }
        counts.forEach((request, count) -> {
            if (count > 1) {
                problems.add(count + " records of " + request);
            }
        });
        for (SimulatedClient caller : cluster.clients) {
            if (!keys.contains(caller.ledgerKey())) {
                problems.add("no record: " + caller);
            }
            long completed = cluster.records(caller.ledgerKey()).stream()
                    .filter(record -> record.outcome() == Outcome.COMPLETED)
                    .count();
            if (caller.isStreaming() && completed > 1) {
                problems.add(completed + " completed records: " + caller);
            }
        }
        readable(cluster, counts.keySet(), problems);
    }

    private static void readable(Cluster cluster, Set<RequestId> requests, List<String> problems) {
        Map<RequestId, Long> calls = new HashMap<>();
        int reader = cluster.running().getLast().number();
        requests.stream().sorted().forEach(request -> calls.put(request, cluster.requestOutcome(reader, request)));
        cluster.advance(3_000);
        calls.forEach((request, call) -> {
            boolean shown = cluster.operatorAnswers.get(call) instanceof OperatorCommand.OutcomeShown answer
                    && answer.record().isPresent();
            if (!shown) {
                problems.add("record of " + request + " can't be read: " + cluster.operatorAnswers.get(call));
            }
        });
    }

    private static void targets(Cluster cluster, List<String> problems) {
        cluster.drainingTargets.forEach((id, since) -> cluster.allTargets().stream()
                .filter(target -> target.target().id().equals(id))
                .flatMap(target -> target.newWorkTimes().stream())
                .filter(at -> at > since + DRAINING_MILLIS)
                .forEach(at -> problems.add("new work at leaving target " + id + " after " + (at - since) + " ms")));
    }
}
