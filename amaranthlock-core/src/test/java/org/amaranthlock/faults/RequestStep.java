package org.amaranthlock.faults;

import org.amaranthlock.protocol.objectapi.ObjectApiValue.ClaimEntry;
import org.amaranthlock.protocol.objectapi.ObjectApiValue.LedgerBatch;

/** Moment in the life of a request at which a fault strikes. */
enum RequestStep {
    ARRIVING,
    BEFORE_FIRST_TOKEN,
    MIDDLE,
    BEFORE_END,
    CLAIM_PENDING,
    GRANTED,
    DISPATCHED,
    EXECUTED,
    ANSWERED_RECORD_PENDING,
    WRITE_PENDING,
    SPREADING,
    DRAINING,
    LINGERING;

    /** Tells whether the request of a caller is at this step. */
    boolean isReached(Cluster cluster, SimulatedClient caller) {
        return switch (this) {
            case ARRIVING -> caller.connections() > 0;
            case BEFORE_FIRST_TOKEN -> caller.tokens() == 0 && target(cluster, caller) != null;
            case MIDDLE -> caller.tokens() >= caller.length() / 2;
            case BEFORE_END -> caller.tokens() >= caller.length() - 1 && !caller.isDone();
            case CLAIM_PENDING -> cluster.now() - caller.startedAt() >= 2 && !claimed(cluster, caller);
            case GRANTED -> claimed(cluster, caller) && !dispatched(cluster, caller);
            case DISPATCHED -> dispatched(cluster, caller) && !executed(cluster, caller);
            case EXECUTED -> executed(cluster, caller) && !caller.isDone();
            case ANSWERED_RECORD_PENDING ->
                caller.isDone() && cluster.records(caller.ledgerKey()).isEmpty();
            case WRITE_PENDING, SPREADING, DRAINING, LINGERING ->
                throw new IllegalStateException("not a step of a caller's request: " + this);
        };
    }

    private static SimulatedTarget target(Cluster cluster, SimulatedClient caller) {
        return cluster.targets(caller.service()).stream()
                .filter(target -> target.isRunning(caller.ledgerKey()))
                .findFirst()
                .orElse(null);
    }

    private static boolean claimed(Cluster cluster, SimulatedClient caller) {
        return cluster.simulation.platform().objectsWithPrefix("ledger/").stream()
                .filter(object -> object.value() instanceof LedgerBatch)
                .flatMap(object -> ((LedgerBatch) object.value()).entries().stream())
                .anyMatch(entry ->
                        entry instanceof ClaimEntry && entry.ledgerKey().equals(caller.ledgerKey()));
    }

    private static boolean dispatched(Cluster cluster, SimulatedClient caller) {
        return cluster.targets(caller.service()).stream()
                .anyMatch(target -> !target.newWorkTimes().isEmpty());
    }

    private static boolean executed(Cluster cluster, SimulatedClient caller) {
        return !cluster.executionLog.executions(caller.ledgerKey()).isEmpty();
    }
}
