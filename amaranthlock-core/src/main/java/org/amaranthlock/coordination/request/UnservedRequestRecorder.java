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

/** Records of arrivals that end before this router begins to serve them. */
final class UnservedRequestRecorder {
    private UnservedRequestRecorder() {}

    static void close(
            RequestDependencies services,
            RequestSpec spec,
            ErrorCode code,
            ExecutionStatus fate,
            long now,
            List<Command> out) {
        close(services, spec, Outcome.REFUSED, fate, code.code(), code.status(), now, out);
    }

    /**
     * Closes a request of a router that died, after all targets of the service have barred its dispatch.
     *
     * @param spec a repeat of the request with the same key
     * @param request the request that the dead router held
     */
    static void closeNeverExecuted(
            RequestDependencies services, RequestSpec spec, RequestId request, long now, List<Command> out) {
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
        close(services, held, Outcome.FAILED, ExecutionStatus.NOT_RUN, ErrorCode.TARGET_FAILED.code(), 0, now, out);
    }

    static void abandon(
            RequestDependencies services, RequestSpec spec, ExecutionStatus fate, long now, List<Command> out) {
        close(services, spec, Outcome.ABANDONED, fate, "", 0, now, out);
    }

    private static void close(
            RequestDependencies services,
            RequestSpec spec,
            Outcome outcome,
            ExecutionStatus fate,
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
                fate,
                code,
                status,
                services.membership().self().host(),
                List.of(),
                0,
                0,
                0,
                spec.arrivedAtMillis(),
                now);
        out.addAll(services.ledger().submitOutcome(new FinalOutcome(record, Optional.empty()), now));
    }
}
