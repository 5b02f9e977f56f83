package org.amaranthlock.faults;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.amaranthlock.model.ExecutionStatus;

/** One fault at one step of one kind of request, with the result that the design promises. */
record FaultMatrixCell(RequestKind kind, RequestStep step, Fault fault) {
    /** Bound of the output gap after a loss. */
    static final long RESUME_MILLIS = 6_000;

    private static final Set<ExecutionStatus> RAN = EnumSet.of(ExecutionStatus.RAN);
    private static final Set<ExecutionStatus> RAN_OR_UNKNOWN = EnumSet.of(ExecutionStatus.RAN, ExecutionStatus.UNKNOWN);
    private static final Set<ExecutionStatus> RAN_OR_NOT_RUN = EnumSet.of(ExecutionStatus.RAN, ExecutionStatus.NOT_RUN);
    private static final Set<ExecutionStatus> UNKNOWN = EnumSet.of(ExecutionStatus.UNKNOWN);

    static List<FaultMatrixCell> all() {
        List<FaultMatrixCell> cells = new ArrayList<>();
        for (RequestKind kind : RequestKind.values()) {
            for (RequestStep step : kind.steps()) {
                for (Fault fault : Fault.values()) {
                    cells.add(new FaultMatrixCell(kind, step, fault));
                }
            }
        }
        return cells;
    }

    /** Returns why the cell can't occur, if so. */
    Optional<String> notApplicable() {
        if (kind == RequestKind.CONFIGURATION_CHANGE && fault.affectsTarget()) {
            return Optional.of("no target takes part in a configuration change");
        }
        if (kind == RequestKind.DRAIN && fault == Fault.ROUTER_DRAINING) {
            return Optional.of("the drain is the request itself");
        }
        return Optional.empty();
    }

    /** Returns the fates that the design allows the caller to be told; the truth of each is checked apart. */
    Set<ExecutionStatus> allowed() {
        if (!kind.order() || step == RequestStep.ANSWERED_RECORD_PENDING) {
            return RAN;
        }
        return switch (fault) {
            case ENGINE_KILLED -> afterDispatch() ? UNKNOWN : RAN;
            case ENGINE_SILENT -> RAN_OR_UNKNOWN;
            case POISON_REQUEST -> RAN_OR_UNKNOWN;
            case ROUTER_KILLED, ROUTER_PAUSED -> ownerLost();
            case ROUTER_CUT_ONE_WAY, ROUTER_CUT_BOTH_WAYS -> afterDispatch() ? RAN : cutOff();
            case PLATFORM_DOWN, PLATFORM_ANSWER_LOST -> afterGrant() ? RAN : RAN_OR_NOT_RUN;
            // Without an answer of the ledger nobody knows whether an earlier request with the key ran.
            case PLATFORM_SLOW -> afterGrant() ? RAN : EnumSet.allOf(ExecutionStatus.class);
            case CLOCK_SKEW -> afterDispatch() ? RAN : RAN_OR_NOT_RUN;
            default -> RAN;
        };
    }

    /** Tells whether the first answer must be a refusal that says "not run", given at once. */
    boolean refusedAtOnce() {
        return kind.order() && step == RequestStep.ARRIVING && fault == Fault.PLATFORM_DOWN;
    }

    private boolean afterDispatch() {
        return step == RequestStep.DISPATCHED || step == RequestStep.EXECUTED;
    }

    private boolean afterGrant() {
        return afterDispatch() || step == RequestStep.GRANTED;
    }

    /** A claim whose holder is gone proves nothing without a target that tells and bars a late dispatch. */
    private Set<ExecutionStatus> ownerLost() {
        if (step == RequestStep.ARRIVING) {
            return RAN;
        }
        if (kind == RequestKind.FENCED_ORDER) {
            return step == RequestStep.EXECUTED ? RAN : RAN_OR_NOT_RUN;
        }
        boolean certain = step == RequestStep.EXECUTED && kind == RequestKind.RECONCILING_ORDER;
        return certain ? RAN : RAN_OR_UNKNOWN;
    }

    private Set<ExecutionStatus> cutOff() {
        return kind == RequestKind.FENCED_ORDER ? RAN_OR_NOT_RUN : EnumSet.allOf(ExecutionStatus.class);
    }

    @Override
    public String toString() {
        return kind + " / " + step + " / " + fault;
    }
}
