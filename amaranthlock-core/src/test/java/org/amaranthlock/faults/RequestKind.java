package org.amaranthlock.faults;

import java.util.List;

/** Kinds of work that the fault matrix strikes, with the steps of each. */
enum RequestKind {
    LONG_GENERATION(
            SimulatedDeployment.DRAFTS,
            List.of(
                    RequestStep.ARRIVING,
                    RequestStep.BEFORE_FIRST_TOKEN,
                    RequestStep.MIDDLE,
                    RequestStep.BEFORE_END,
                    RequestStep.ANSWERED_RECORD_PENDING)),
    SHORT_GENERATION(
            SimulatedDeployment.DRAFTS,
            List.of(
                    RequestStep.ARRIVING,
                    RequestStep.BEFORE_FIRST_TOKEN,
                    RequestStep.MIDDLE,
                    RequestStep.BEFORE_END,
                    RequestStep.ANSWERED_RECORD_PENDING)),
    FENCED_ORDER(
            SimulatedDeployment.FENCED,
            List.of(
                    RequestStep.ARRIVING,
                    RequestStep.CLAIM_PENDING,
                    RequestStep.GRANTED,
                    RequestStep.DISPATCHED,
                    RequestStep.EXECUTED,
                    RequestStep.ANSWERED_RECORD_PENDING)),
    PLAIN_ORDER(
            SimulatedDeployment.PLAIN,
            List.of(
                    RequestStep.ARRIVING,
                    RequestStep.CLAIM_PENDING,
                    RequestStep.GRANTED,
                    RequestStep.DISPATCHED,
                    RequestStep.EXECUTED,
                    RequestStep.ANSWERED_RECORD_PENDING)),
    RECONCILING_ORDER(
            SimulatedDeployment.RECONCILING,
            List.of(
                    RequestStep.ARRIVING,
                    RequestStep.CLAIM_PENDING,
                    RequestStep.GRANTED,
                    RequestStep.DISPATCHED,
                    RequestStep.EXECUTED,
                    RequestStep.ANSWERED_RECORD_PENDING)),
    RETRIABLE_CALL(
            SimulatedDeployment.LOOKUPS,
            List.of(
                    RequestStep.ARRIVING,
                    RequestStep.DISPATCHED,
                    RequestStep.EXECUTED,
                    RequestStep.ANSWERED_RECORD_PENDING)),
    CONFIGURATION_CHANGE("", List.of(RequestStep.ARRIVING, RequestStep.WRITE_PENDING, RequestStep.SPREADING)),
    DRAIN(SimulatedDeployment.DRAFTS, List.of(RequestStep.ARRIVING, RequestStep.DRAINING, RequestStep.LINGERING));

    static final int LONG_TOKENS = 100;
    static final int SHORT_TOKENS = 8;
    /** Runs longer than an idle router lingers before it stops. */
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

    boolean generation() {
        return this == LONG_GENERATION || this == SHORT_GENERATION;
    }

    boolean order() {
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
