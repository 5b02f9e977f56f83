package org.amaranthlock.faults;

import java.util.ArrayList;
import java.util.List;
import org.amaranthlock.coordination.OperatorCommand;
import org.amaranthlock.model.ExecutionStatus;

/** Runs one cell of the fault matrix. */
final class FaultMatrixCellRun {
    /** Router that serves the request. */
    private final int serving;

    private static final int ROUTERS = 5;
    private static final long STEP_BOUND_MILLIS = 10_000;
    private static final long FAULT_MILLIS = 12_000;
    private static final long FIRST_ANSWER_MILLIS = 2_000;

    private final FaultMatrixCell cell;
    private final Cluster cluster;
    private final List<String> problems = new ArrayList<>();

    FaultMatrixCellRun(FaultMatrixCell cell, long seed) {
        this.cell = cell;
        this.cluster = new Cluster(seed, ROUTERS);
        this.serving = (int) (seed % ROUTERS);
    }

    List<String> run() {
        switch (cell.kind()) {
            case CONFIGURATION_CHANGE -> changeConfiguration();
            case DRAIN -> drain();
            default -> serve();
        }
        return problems;
    }

    private void serve() {
        SimulatedClient caller = cell.kind().newClient(cluster);
        caller.connect(serving);
        long end = cluster.now() + STEP_BOUND_MILLIS;
        while (!cell.step().isReached(cluster, caller) && cluster.now() < end) {
            cluster.advance(1);
        }
        if (!cell.step().isReached(cluster, caller)) {
            problems.add("step not reached: " + caller);
            return;
        }
        strike(caller);
        cluster.advance(FAULT_MILLIS);
        problems.addAll(Invariants.check(cluster));
        judge(caller);
    }

    private void strike(SimulatedClient caller) {
        SimulatedTarget target = cluster.targets(cell.kind().service()).stream()
                .filter(candidate -> candidate.isExecuting(caller.ledgerKey()))
                .findFirst()
                .orElse(cluster.targets(cell.kind().service()).getFirst());
        cell.fault().inject(cluster, serving, target);
    }

    private void judge(SimulatedClient caller) {
        boolean allowed =
                caller.executionStatus().filter(cell.allowed()::contains).isPresent();
        if (!allowed) {
            problems.add("expected " + cell.allowed() + ": " + caller);
        }
        if (!cell.kind().order() && !caller.completed()) {
            problems.add("not completed: " + caller);
        }
        if (cell.kind().generation() && caller.longestGap() > FaultMatrixCell.RESUME_MILLIS) {
            problems.add("gap above " + FaultMatrixCell.RESUME_MILLIS + " ms: " + caller);
        }
        if (cell.refusedAtOnce()) {
            boolean atOnce = !caller.refusals.isEmpty()
                    && caller.refusals.getFirst().refusal().executionStatus() == ExecutionStatus.NOT_RUN
                    && caller.refusals.getFirst().atMillis() - caller.startedAt() <= FIRST_ANSWER_MILLIS;
            if (!atOnce) {
                problems.add("not refused at once as not run: " + caller.refusals);
            }
        }
    }

    /** Returns how often a repeat was told "not run" although an earlier call with its key had run. */
    int misleadingRefusals() {
        return Invariants.refusalsOfExecutedKeys(cluster);
    }

    private void changeConfiguration() {
        long call;
        if (cell.step() == RequestStep.ARRIVING) {
            cell.fault().inject(cluster, serving, null);
            call = OperatorActions.changeWeight(cluster, serving, 2);
        } else {
            call = OperatorActions.changeWeight(cluster, serving, 2);
            long end = cluster.now() + STEP_BOUND_MILLIS;
            boolean spreading = cell.step() == RequestStep.SPREADING;
            while (spreading && OperatorActions.weight(cluster) != 2 && cluster.now() < end) {
                cluster.advance(1);
            }
            cell.fault().inject(cluster, serving, null);
        }
        watchSpread();
        cluster.advance(FAULT_MILLIS);
        problems.addAll(Invariants.check(cluster));
        OperatorCommand answer = cluster.operatorAnswers.get(call);
        boolean answered = answer != null;
        boolean processGone = cell.fault() == Fault.ROUTER_KILLED;
        if (!answered && !processGone) {
            problems.add("the operator got no answer");
        }
        boolean accepted = answer instanceof OperatorCommand.ConfigurationAccepted;
        if (accepted && !cluster.acceptedWeights().contains(2.0)) {
            problems.add("accepted but never in the platform");
        }
    }

    /** Watches that all routers with a path to the platform or to a router that has it get a change in time. */
    private void watchSpread() {
        long since = cluster.now();
        double newest = OperatorActions.weight(cluster);
        for (long waited = 0; waited < 8_000; waited += 50) {
            cluster.advance(50);
            if (OperatorActions.weight(cluster) != newest) {
                newest = OperatorActions.weight(cluster);
                since = cluster.now();
            }
            if (cluster.now() - since > Invariants.CONFIGURATION_MILLIS) {
                late();
                return;
            }
        }
    }

    private void late() {
        for (Cluster.RouterNode node : cluster.running()) {
            boolean reachable = !cluster.cutFrom.contains(node.number())
                    && !cluster.cutTo.contains(node.number())
                    && !node.router().paused();
            boolean platform = cell.fault() != Fault.PLATFORM_DOWN;
            if (reachable && platform && !OperatorActions.hasCurrentWeight(cluster, node)) {
                problems.add("router " + node.number() + " holds " + OperatorActions.weight(node)
                        + " after 3 s instead of " + OperatorActions.weight(cluster));
            }
        }
    }

    private void drain() {
        SimulatedClient draft = RequestKind.DRAIN.newClient(cluster);
        SimulatedClient order = SimulatedClient.order(cluster, SimulatedDeployment.FENCED);
        draft.connect(serving);
        if (cell.step() == RequestStep.ARRIVING) {
            order.connect(serving);
            cluster.advance(50);
            strike(draft);
            cluster.drain(serving);
        } else {
            cluster.advance(500);
            order.connect(serving);
            cluster.advance(50);
            cluster.drain(serving);
            cluster.advance(100);
            while (cell.step() == RequestStep.LINGERING
                    && !draft.isDone()
                    && cluster.now() < 60_000 + Cluster.SETTLE_MILLIS + 1_000_000) {
                cluster.advance(10);
            }
            strike(draft);
        }
        cluster.advance(FAULT_MILLIS);
        problems.addAll(Invariants.check(cluster));
        if (!draft.completed() || draft.longestGap() > FaultMatrixCell.RESUME_MILLIS) {
            problems.add("draft not completed in time: " + draft);
        }
        boolean interrupted = draft.interruptions() + order.interruptions() > 0;
        if (interrupted && !strikesRouter()) {
            problems.add("the drain cut a request: " + draft + " " + order);
        }
        if (order.executionStatus().filter(fate -> fate == ExecutionStatus.RAN).isEmpty() && !excusesOrder()) {
            problems.add("order not run: " + order);
        }
    }

    private boolean strikesRouter() {
        return switch (cell.fault()) {
            case ROUTER_KILLED, ROUTER_PAUSED -> true;
            default -> false;
        };
    }

    private boolean excusesOrder() {
        return switch (cell.fault()) {
            case ROUTER_KILLED, ROUTER_PAUSED, ROUTER_CUT_ONE_WAY, ROUTER_CUT_BOTH_WAYS -> true;
            case PLATFORM_DOWN, PLATFORM_SLOW, PLATFORM_ANSWER_LOST, CLOCK_SKEW -> true;
            default -> false;
        };
    }
}
