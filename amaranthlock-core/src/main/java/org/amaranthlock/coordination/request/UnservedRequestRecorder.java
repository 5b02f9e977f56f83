package org.amaranthlock.coordination.request;

import java.util.List;
import java.util.Optional;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.model.ErrorCode;
import org.amaranthlock.model.ExecutionStatus;
import org.amaranthlock.model.Outcome;
import org.amaranthlock.model.OutcomeRecord;
import org.amaranthlock.model.RequestId;
import org.amaranthlock.model.RequestSpec;
import org.amaranthlock.protocol.peer.PeerMessage.FinalOutcome;

/** Writes outcome records of requests that end before this router starts to serve them. */
final class UnservedRequestRecorder {
    private UnservedRequestRecorder() {}

    static void close(
            RequestDependencies dependencies,
            RequestSpec spec,
            ErrorCode code,
            ExecutionStatus executionStatus,
            long now,
            List<Command> out) {
        close(dependencies, spec, Outcome.REFUSED, executionStatus, code.code(), code.status(), now, out);
    }

    /**
     * Closes a dead router's request after all targets of the service have raised the fencing number of the key above
     * that of its claim.
     *
     * @param spec a retry of the request with the same key
     * @param request the request that the dead router held
     */
    static void closeNeverExecuted(
            RequestDependencies dependencies, RequestSpec spec, RequestId request, long now, List<Command> out) {
        RequestSpec held = new RequestSpec(
                request,
                spec.account(),
                spec.service(),
                spec.profile(),
                spec.key(),
                spec.fingerprint(),
                spec.arrivedAtMillis(),
                spec.deadlineMillis(),
                spec.work());
        close(dependencies, held, Outcome.FAILED, ExecutionStatus.NOT_RUN, ErrorCode.TARGET_FAILED.code(), 0, now, out);
    }

    static void abandon(
            RequestDependencies dependencies,
            RequestSpec spec,
            ExecutionStatus executionStatus,
            long now,
            List<Command> out) {
        close(dependencies, spec, Outcome.ABANDONED, executionStatus, "", 0, now, out);
    }

    private static void close(
            RequestDependencies dependencies,
            RequestSpec spec,
            Outcome outcome,
            ExecutionStatus executionStatus,
            String code,
            int status,
            long now,
            List<Command> out) {
        OutcomeRecord record = new OutcomeRecord(
                spec.id(),
                spec.account(),
                spec.service(),
                spec.profile().name(),
                spec.ledgerKey(),
                outcome,
                executionStatus,
                code,
                status,
                dependencies.membership().self().host(),
                List.of(),
                0,
                0,
                0,
                spec.arrivedAtMillis(),
                now);
        out.addAll(dependencies.ledger().submitOutcome(new FinalOutcome(record, Optional.empty()), now));
    }
}
