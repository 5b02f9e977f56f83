package org.amaranthlock.faults;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.amaranthlock.model.ExecutionStatus;

/** One fault at one step of one kind of request, with the results that are allowed. */
record FaultMatrixCell(RequestKind kind, RequestStep step, ClusterFault fault) {
    /** Longest allowed gap in the output after a target or router is lost. */
    static final long MAX_RESUME_GAP_MILLIS = 6_000;

    private static final Set<ExecutionStatus> RAN = EnumSet.of(ExecutionStatus.RAN);
    private static final Set<ExecutionStatus> RAN_OR_UNKNOWN = EnumSet.of(ExecutionStatus.RAN, ExecutionStatus.UNKNOWN);
    private static final Set<ExecutionStatus> RAN_OR_NOT_RUN = EnumSet.of(ExecutionStatus.RAN, ExecutionStatus.NOT_RUN);
    private static final Set<ExecutionStatus> UNKNOWN = EnumSet.of(ExecutionStatus.UNKNOWN);

    static List<FaultMatrixCell> all() {
        List<FaultMatrixCell> cells = new ArrayList<>();
        for (RequestKind kind : RequestKind.values()) {
            for (RequestStep step : kind.steps()) {
                for (ClusterFault fault : ClusterFault.values()) {
                    cells.add(new FaultMatrixCell(kind, step, fault));
                }
            }
        }
        return cells;
    }

    /** Returns the reason why the combination cannot occur, or empty if it can. */
    Optional<String> notApplicableReason() {
        if (kind == RequestKind.CONFIGURATION_CHANGE && fault.affectsTarget()) {
            return Optional.of("no target takes part in a configuration change");
        }
        if (kind == RequestKind.DRAIN && fault == ClusterFault.ROUTER_DRAINING) {
            return Optional.of("the drain is the request itself");
        }
        return Optional.empty();
    }

    /**
     * Returns the execution statuses that may be reported to the client; {@link Invariants} checks that they are true.
     */
    Set<ExecutionStatus> allowedStatuses() {
        if (!kind.isOrder() || step == RequestStep.RESPONDED_RECORD_PENDING) {
            return RAN;
        }
        return switch (fault) {
            case TARGET_KILLED -> isAfterDispatch() ? UNKNOWN : RAN;
            case TARGET_SILENT -> RAN_OR_UNKNOWN;
            case POISON_REQUEST -> RAN_OR_UNKNOWN;
            case ROUTER_KILLED, ROUTER_PAUSED -> statusesAfterOwnerLoss();
            case ROUTER_OUTBOUND_PARTITION, ROUTER_FULL_PARTITION -> isAfterDispatch() ? RAN : statusesAfterPartition();
            case PLATFORM_DOWN, PLATFORM_RESPONSE_LOST -> isAfterGrant() ? RAN : RAN_OR_NOT_RUN;
            // Without a response from the ledger it is unknown whether an earlier request with the key was executed.
            case PLATFORM_SLOW -> isAfterGrant() ? RAN : EnumSet.allOf(ExecutionStatus.class);
            case CLOCK_STEP -> isAfterDispatch() ? RAN : RAN_OR_NOT_RUN;
            default -> RAN;
        };
    }

    /** Returns whether the first response must be an immediate refusal with status NOT_RUN. */
    boolean requiresImmediateRefusal() {
        return kind.isOrder() && step == RequestStep.ARRIVING && fault == ClusterFault.PLATFORM_DOWN;
    }

    private boolean isAfterDispatch() {
        return step == RequestStep.DISPATCHED || step == RequestStep.EXECUTED;
    }

    private boolean isAfterGrant() {
        return isAfterDispatch() || step == RequestStep.CLAIM_GRANTED;
    }

    /**
     * Returns the statuses allowed after the loss of the owner. A claim whose holder is gone proves nothing unless the
     * target reports whether the call was executed and fences a late dispatch.
     */
    private Set<ExecutionStatus> statusesAfterOwnerLoss() {
        if (step == RequestStep.ARRIVING) {
            return RAN;
        }
        if (kind == RequestKind.FENCED_ORDER) {
            return step == RequestStep.EXECUTED ? RAN : RAN_OR_NOT_RUN;
        }
        boolean knownToHaveRun = step == RequestStep.EXECUTED && kind == RequestKind.RECONCILING_ORDER;
        return knownToHaveRun ? RAN : RAN_OR_UNKNOWN;
    }

    private Set<ExecutionStatus> statusesAfterPartition() {
        return kind == RequestKind.FENCED_ORDER ? RAN_OR_NOT_RUN : EnumSet.allOf(ExecutionStatus.class);
    }

    @Override
    public String toString() {
        return kind + " / " + step + " / " + fault;
    }
}
