package org.amaranthlock.faults;

import java.util.List;

/** Kind of request in the fault matrix, with the steps at which faults are injected. */
enum RequestKind {
    LONG_GENERATION(
            SimulatedDeployment.DRAFT_SERVICE,
            List.of(
                    RequestStep.ARRIVING,
                    RequestStep.BEFORE_FIRST_TOKEN,
                    RequestStep.HALF_GENERATED,
                    RequestStep.BEFORE_LAST_TOKEN,
                    RequestStep.RESPONDED_RECORD_PENDING)),
    SHORT_GENERATION(
            SimulatedDeployment.DRAFT_SERVICE,
            List.of(
                    RequestStep.ARRIVING,
                    RequestStep.BEFORE_FIRST_TOKEN,
                    RequestStep.HALF_GENERATED,
                    RequestStep.BEFORE_LAST_TOKEN,
                    RequestStep.RESPONDED_RECORD_PENDING)),
    FENCED_ORDER(
            SimulatedDeployment.FENCED_ORDER_SERVICE,
            List.of(
                    RequestStep.ARRIVING,
                    RequestStep.CLAIM_PENDING,
                    RequestStep.CLAIM_GRANTED,
                    RequestStep.DISPATCHED,
                    RequestStep.EXECUTED,
                    RequestStep.RESPONDED_RECORD_PENDING)),
    PLAIN_ORDER(
            SimulatedDeployment.PLAIN_ORDER_SERVICE,
            List.of(
                    RequestStep.ARRIVING,
                    RequestStep.CLAIM_PENDING,
                    RequestStep.CLAIM_GRANTED,
                    RequestStep.DISPATCHED,
                    RequestStep.EXECUTED,
                    RequestStep.RESPONDED_RECORD_PENDING)),
    RECONCILING_ORDER(
            SimulatedDeployment.RECONCILING_ORDER_SERVICE,
            List.of(
                    RequestStep.ARRIVING,
                    RequestStep.CLAIM_PENDING,
                    RequestStep.CLAIM_GRANTED,
                    RequestStep.DISPATCHED,
                    RequestStep.EXECUTED,
                    RequestStep.RESPONDED_RECORD_PENDING)),
    RETRIABLE_CALL(
            SimulatedDeployment.LOOKUP_SERVICE,
            List.of(
                    RequestStep.ARRIVING,
                    RequestStep.DISPATCHED,
                    RequestStep.EXECUTED,
                    RequestStep.RESPONDED_RECORD_PENDING)),
    CONFIGURATION_CHANGE("", List.of(RequestStep.ARRIVING, RequestStep.WRITE_PENDING, RequestStep.PROPAGATING)),
    DRAIN(
            SimulatedDeployment.DRAFT_SERVICE,
            List.of(RequestStep.ARRIVING, RequestStep.DRAINING, RequestStep.IDLE_BEFORE_STOP));

    static final int LONG_TOKENS = 100;
    static final int SHORT_TOKENS = 8;
    /** Long enough to outlast the time for which an idle draining router waits before it stops. */
    static final int DRAIN_TOKENS = 300;

    private final String service;
    private final List<RequestStep> steps;

    RequestKind(String service, List<RequestStep> steps) {
        this.service = service;
        this.steps = steps;
    }

    String service() {
        return service;
    }

    List<RequestStep> steps() {
        return steps;
    }

    boolean isGeneration() {
        return this == LONG_GENERATION || this == SHORT_GENERATION;
    }

    boolean isOrder() {
        return this == FENCED_ORDER || this == PLAIN_ORDER || this == RECONCILING_ORDER;
    }

    SimulatedClient newClient(Cluster cluster) {
        return switch (this) {
            case LONG_GENERATION -> SimulatedClient.generation(cluster, LONG_TOKENS);
            case DRAIN -> SimulatedClient.generation(cluster, DRAIN_TOKENS);
            case SHORT_GENERATION -> SimulatedClient.generation(cluster, SHORT_TOKENS);
            case RETRIABLE_CALL -> SimulatedClient.lookup(cluster);
            default -> SimulatedClient.order(cluster, service);
        };
    }
}
