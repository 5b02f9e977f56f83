package org.amaranthlock.faults;

import org.amaranthlock.protocol.objectapi.ObjectApiValue.ClaimEntry;
import org.amaranthlock.protocol.objectapi.ObjectApiValue.LedgerBatch;

/** Point in the processing of a request at which a fault is injected. */
enum RequestStep {
    ARRIVING,
    BEFORE_FIRST_TOKEN,
    HALF_GENERATED,
    BEFORE_LAST_TOKEN,
    CLAIM_PENDING,
    CLAIM_GRANTED,
    DISPATCHED,
    EXECUTED,
    RESPONDED_RECORD_PENDING,
    WRITE_PENDING,
    PROPAGATING,
    DRAINING,
    IDLE_BEFORE_STOP;

    /** Returns whether the request of a client has reached this step. */
    boolean isReached(Cluster cluster, SimulatedClient client) {
        return switch (this) {
            case ARRIVING -> client.connectionCount() > 0;
            case BEFORE_FIRST_TOKEN -> client.tokenCount() == 0 && findServingTarget(cluster, client) != null;
            case HALF_GENERATED -> client.tokenCount() >= client.maxTokens() / 2;
            case BEFORE_LAST_TOKEN -> client.tokenCount() >= client.maxTokens() - 1 && !client.isDone();
            case CLAIM_PENDING -> cluster.now() - client.startedAt() >= 2 && !isClaimed(cluster, client);
            case CLAIM_GRANTED -> isClaimed(cluster, client) && !isDispatched(cluster, client);
            case DISPATCHED -> isDispatched(cluster, client) && !isExecuted(cluster, client);
            case EXECUTED -> isExecuted(cluster, client) && !client.isDone();
            case RESPONDED_RECORD_PENDING ->
                client.isDone() && cluster.records(client.ledgerKey()).isEmpty();
            case WRITE_PENDING, PROPAGATING, DRAINING, IDLE_BEFORE_STOP ->
                throw new IllegalStateException(
                        "only requests of clients can be checked, but this step belongs to an operator's request: "
                                + this);
        };
    }

    private static SimulatedTarget findServingTarget(Cluster cluster, SimulatedClient client) {
        return cluster.targets(client.service()).stream()
                .filter(target -> target.hasStream(client.ledgerKey()))
                .findFirst()
                .orElse(null);
    }

    private static boolean isClaimed(Cluster cluster, SimulatedClient client) {
        return cluster.simulation.platform().objectsWithPrefix("ledger/").stream()
                .filter(object -> object.value() instanceof LedgerBatch)
                .flatMap(object -> ((LedgerBatch) object.value()).entries().stream())
                .anyMatch(entry ->
                        entry instanceof ClaimEntry && entry.ledgerKey().equals(client.ledgerKey()));
    }

    private static boolean isDispatched(Cluster cluster, SimulatedClient client) {
        return cluster.targets(client.service()).stream()
                .anyMatch(target -> !target.newWorkTimes().isEmpty());
    }

    private static boolean isExecuted(Cluster cluster, SimulatedClient client) {
        return !cluster.executionLog.executions(client.ledgerKey()).isEmpty();
    }
}
