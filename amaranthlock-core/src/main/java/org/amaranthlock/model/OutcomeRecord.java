package org.amaranthlock.model;

import java.util.List;
import java.util.Objects;

/**
 * The single final account of a request.
 *
 * @param request the request
 * @param account client account
 * @param service service
 * @param profile name of the profile
 * @param ledgerKey see {@link RequestSpec#ledgerKey()}
 * @param outcome how it ended
 * @param executionStatus whether it was executed
 * @param code reason of a refusal or failure, empty for a completed request
 * @param status HTTP status that the caller was sent
 * @param router the router that closed it
 * @param targets the targets it was sent to, in order
 * @param attempts number of attempts
 * @param tokensDelivered tokens sent to the caller
 * @param tokensRecomputed tokens that were generated more than once
 * @param startedAtMillis arrival, milliseconds since the epoch
 * @param endedAtMillis end, milliseconds since the epoch
 */
public record OutcomeRecord(
        RequestId request,
        AccountId account,
        ServiceName service,
        String profile,
        String ledgerKey,
        Outcome outcome,
        ExecutionStatus executionStatus,
        String code,
        int status,
        HostId router,
        List<TargetId> targets,
        int attempts,
        int tokensDelivered,
        int tokensRecomputed,
        long startedAtMillis,
        long endedAtMillis) {
    public OutcomeRecord {
        Objects.requireNonNull(request, "request");
        Objects.requireNonNull(account, "account");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(profile, "profile");
        Objects.requireNonNull(ledgerKey, "ledgerKey");
        Objects.requireNonNull(outcome, "outcome");
        Objects.requireNonNull(executionStatus, "fate");
        Objects.requireNonNull(code, "code");
        Objects.requireNonNull(router, "router");
        targets = List.copyOf(targets);
    }
}
