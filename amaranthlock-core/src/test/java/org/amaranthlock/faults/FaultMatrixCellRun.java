package org.amaranthlock.faults;

import java.util.ArrayList;
import java.util.List;
import org.amaranthlock.coordination.OperatorCommand;
import org.amaranthlock.model.ExecutionStatus;

/** Run of one cell of the fault matrix. */
final class FaultMatrixCellRun {
    /** Number of the router that serves the request. */
    private final int servingRouter;

    private static final int ROUTERS = 5;
    private static final long STEP_TIMEOUT_MILLIS = 10_000;
    private static final long FAULT_PERIOD_MILLIS = 12_000;
    private static final long MAX_FIRST_RESPONSE_MILLIS = 2_000;

    private final FaultMatrixCell cell;
    private final Cluster cluster;
    private final List<String> violations = new ArrayList<>();

    FaultMatrixCellRun(FaultMatrixCell cell, long seed) {
        this.cell = cell;
        this.cluster = new Cluster(seed, ROUTERS);
        this.servingRouter = (int) (seed % ROUTERS);
    }

    List<String> run() {
        switch (cell.kind()) {
            case CONFIGURATION_CHANGE -> runConfigurationChange();
            case DRAIN -> runDrain();
            default -> runRequest();
        }
        return violations;
    }

    private void runRequest() {
        SimulatedClient client = cell.kind().newClient(cluster);
        client.connect(servingRouter);
        long end = cluster.now() + STEP_TIMEOUT_MILLIS;
        while (!cell.step().isReached(cluster, client) && cluster.now() < end) {
            cluster.advance(1);
        }
        if (!cell.step().isReached(cluster, client)) {
            violations.add("step not reached: " + client);
            return;
        }
        injectFault(client);
        cluster.advance(FAULT_PERIOD_MILLIS);
        violations.addAll(Invariants.check(cluster));
        checkResult(client);
    }

    private void injectFault(SimulatedClient client) {
        SimulatedTarget target = cluster.targets(cell.kind().service()).stream()
                .filter(candidate -> candidate.hasReceived(client.ledgerKey()))
                .findFirst()
                .orElse(cluster.targets(cell.kind().service()).getFirst());
        cell.fault().inject(cluster, servingRouter, target);
    }

    private void checkResult(SimulatedClient client) {
        boolean allowed = client.executionStatus()
                .filter(cell.allowedStatuses()::contains)
                .isPresent();
        if (!allowed) {
            violations.add("expected " + cell.allowedStatuses() + ": " + client);
        }
        if (!cell.kind().isOrder() && !client.isCompleted()) {
            violations.add("not completed: " + client);
        }
        if (cell.kind().isGeneration() && client.longestGapMillis() > FaultMatrixCell.MAX_RESUME_GAP_MILLIS) {
            violations.add("output gap above " + FaultMatrixCell.MAX_RESUME_GAP_MILLIS + " ms: " + client);
        }
        if (cell.requiresImmediateRefusal()) {
            boolean refusedImmediately = !client.refusals.isEmpty()
                    && client.refusals.getFirst().refusal().executionStatus() == ExecutionStatus.NOT_RUN
                    && client.refusals.getFirst().atMillis() - client.startedAt() <= MAX_FIRST_RESPONSE_MILLIS;
            if (!refusedImmediately) {
                violations.add("not refused immediately as NOT_RUN: " + client.refusals);
            }
        }
    }

    /** Returns how often a retry was refused as NOT_RUN although an earlier call with its key had been executed. */
    int misleadingRefusalCount() {
        return Invariants.countNotRunRefusalsOfExecutedKeys(cluster);
    }

    private void runConfigurationChange() {
        long call;
        if (cell.step() == RequestStep.ARRIVING) {
            cell.fault().inject(cluster, servingRouter, null);
            call = OperatorActions.changeWeight(cluster, servingRouter, 2);
        } else {
            call = OperatorActions.changeWeight(cluster, servingRouter, 2);
            long end = cluster.now() + STEP_TIMEOUT_MILLIS;
            boolean awaitWrite = cell.step() == RequestStep.PROPAGATING;
            while (awaitWrite && OperatorActions.weight(cluster) != 2 && cluster.now() < end) {
                cluster.advance(1);
            }
            cell.fault().inject(cluster, servingRouter, null);
        }
        checkPropagation();
        cluster.advance(FAULT_PERIOD_MILLIS);
        violations.addAll(Invariants.check(cluster));
        OperatorCommand response = cluster.operatorResponses.get(call);
        boolean hasResponse = response != null;
        boolean routerKilled = cell.fault() == ClusterFault.ROUTER_KILLED;
        if (!hasResponse && !routerKilled) {
            violations.add("the operator received no response");
        }
        boolean accepted = response instanceof OperatorCommand.ConfigurationAccepted;
        if (accepted && !cluster.acceptedWeights().contains(2.0)) {
            violations.add("change accepted but never stored by the platform");
        }
    }

    /** Checks that a change reaches in time all routers that can reach the platform or a router with the change. */
    private void checkPropagation() {
        long since = cluster.now();
        double currentWeight = OperatorActions.weight(cluster);
        for (long waited = 0; waited < 8_000; waited += 50) {
            cluster.advance(50);
            if (OperatorActions.weight(cluster) != currentWeight) {
                currentWeight = OperatorActions.weight(cluster);
                since = cluster.now();
            }
            if (cluster.now() - since > Invariants.MAX_CONFIGURATION_DELAY_MILLIS) {
                reportOutdatedRouters();
                return;
            }
        }
    }

    private void reportOutdatedRouters() {
        for (Cluster.RouterNode node : cluster.runningNodes()) {
            boolean reachable = !cluster.blockedSenders.contains(node.number())
                    && !cluster.blockedReceivers.contains(node.number())
                    && !node.router().paused();
            boolean platformUp = cell.fault() != ClusterFault.PLATFORM_DOWN;
            if (reachable && platformUp && !OperatorActions.hasCurrentWeight(cluster, node)) {
                violations.add("router " + node.number() + " applies weight " + OperatorActions.weight(node)
                        + " after 3 s instead of " + OperatorActions.weight(cluster));
            }
        }
    }

    private void runDrain() {
        SimulatedClient draft = RequestKind.DRAIN.newClient(cluster);
        SimulatedClient order = SimulatedClient.order(cluster, SimulatedDeployment.FENCED_ORDER_SERVICE);
        draft.connect(servingRouter);
        if (cell.step() == RequestStep.ARRIVING) {
            order.connect(servingRouter);
            cluster.advance(50);
            injectFault(draft);
            cluster.drain(servingRouter);
        } else {
            cluster.advance(500);
            order.connect(servingRouter);
            cluster.advance(50);
            cluster.drain(servingRouter);
            cluster.advance(100);
            while (cell.step() == RequestStep.IDLE_BEFORE_STOP
                    && !draft.isDone()
                    && cluster.now() < 60_000 + Cluster.SETTLING_MILLIS + 1_000_000) {
                cluster.advance(10);
            }
            injectFault(draft);
        }
        cluster.advance(FAULT_PERIOD_MILLIS);
        violations.addAll(Invariants.check(cluster));
        if (!draft.isCompleted() || draft.longestGapMillis() > FaultMatrixCell.MAX_RESUME_GAP_MILLIS) {
            violations.add("draft not completed in time: " + draft);
        }
        boolean interrupted = draft.interruptionCount() + order.interruptionCount() > 0;
        if (interrupted && !mayInterruptRequests()) {
            violations.add("the drain interrupted a request: " + draft + " " + order);
        }
        if (order.executionStatus()
                        .filter(status -> status == ExecutionStatus.RAN)
                        .isEmpty()
                && !mayPreventOrder()) {
            violations.add("order not executed: " + order);
        }
    }

    private boolean mayInterruptRequests() {
        return switch (cell.fault()) {
            case ROUTER_KILLED, ROUTER_PAUSED -> true;
            default -> false;
        };
    }

    private boolean mayPreventOrder() {
        return switch (cell.fault()) {
            case ROUTER_KILLED, ROUTER_PAUSED, ROUTER_OUTBOUND_PARTITION, ROUTER_FULL_PARTITION -> true;
            case PLATFORM_DOWN, PLATFORM_SLOW, PLATFORM_RESPONSE_LOST, CLOCK_STEP -> true;
            default -> false;
        };
    }
}
