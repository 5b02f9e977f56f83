package org.amaranthlock.faults;

import java.util.List;

/** Kinds of work that the fault matrix strikes, with the steps of each. */
enum RequestKind {
    LONG_GENERATION(
            Deployment.DRAFTS,
            List.of(
                    Step.ARRIVING,
                    Step.BEFORE_FIRST_TOKEN,
                    Step.MIDDLE,
                    Step.BEFORE_END,
                    Step.ANSWERED_RECORD_PENDING)),
    SHORT_GENERATION(
            Deployment.DRAFTS,
            List.of(
                    Step.ARRIVING,
                    Step.BEFORE_FIRST_TOKEN,
                    Step.MIDDLE,
                    Step.BEFORE_END,
                    Step.ANSWERED_RECORD_PENDING)),
    FENCED_ORDER(
            Deployment.FENCED,
            List.of(
                    Step.ARRIVING,
                    Step.CLAIM_PENDING,
                    Step.GRANTED,
                    Step.DISPATCHED,
                    Step.EXECUTED,
                    Step.ANSWERED_RECORD_PENDING)),
    PLAIN_ORDER(
            Deployment.PLAIN,
            List.of(
                    Step.ARRIVING,
                    Step.CLAIM_PENDING,
                    Step.GRANTED,
                    Step.DISPATCHED,
                    Step.EXECUTED,
                    Step.ANSWERED_RECORD_PENDING)),
    RECONCILING_ORDER(
            Deployment.RECONCILING,
            List.of(
                    Step.ARRIVING,
                    Step.CLAIM_PENDING,
                    Step.GRANTED,
                    Step.DISPATCHED,
                    Step.EXECUTED,
                    Step.ANSWERED_RECORD_PENDING)),
    RETRIABLE_CALL(
            Deployment.LOOKUPS, List.of(Step.ARRIVING, Step.DISPATCHED, Step.EXECUTED, Step.ANSWERED_RECORD_PENDING)),
    CONFIGURATION_CHANGE("", List.of(Step.ARRIVING, Step.WRITE_PENDING, Step.SPREADING)),
    DRAIN(Deployment.DRAFTS, List.of(Step.ARRIVING, Step.DRAINING, Step.LINGERING));

    static final int LONG_TOKENS = 100;
    static final int SHORT_TOKENS = 8;
    /** Runs longer than an idle router lingers before it stops. */
    static final int DRAIN_TOKENS = 300;

    private final String service;
    private final List<Step> steps;

    RequestKind(String service, List<Step> steps) {
        this.service = service;
        this.steps = steps;
    }

    String service() {
        return service;
    }

    List<Step> steps() {
        return steps;
    }

    boolean generation() {
        return this == LONG_GENERATION || this == SHORT_GENERATION;
    }

    boolean order() {
        return this == FENCED_ORDER || this == PLAIN_ORDER || this == RECONCILING_ORDER;
    }

    Caller caller(Cluster cluster) {
        return switch (this) {
            case LONG_GENERATION -> Caller.generation(cluster, LONG_TOKENS);
            case DRAIN -> Caller.generation(cluster, DRAIN_TOKENS);
            case SHORT_GENERATION -> Caller.generation(cluster, SHORT_TOKENS);
            case RETRIABLE_CALL -> Caller.lookup(cluster);
            default -> Caller.order(cluster, service);
        };
    }
}
