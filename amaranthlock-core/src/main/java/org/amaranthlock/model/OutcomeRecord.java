package org.amaranthlock.model;

import java.util.List;
import java.util.Objects;

/**
 * Final record of a request, of which there is exactly one.
 *
 * @param request the request
 * @param account client account
 * @param service service
 * @param profile name of the profile
 * @param ledgerKey ledger key, see {@link RequestSpec#ledgerKey()}
 * @param outcome final outcome
 * @param executionStatus whether the request was executed
 * @param code reason of a refusal or failure, empty for a completed request
 * @param status HTTP status that was sent to the client
 * @param router the router that completed the request
 * @param targets the targets that the request was sent to, in order
 * @param attempts number of attempts
 * @param tokensDelivered number of tokens sent to the client
 * @param tokensRecomputed number of tokens that were generated more than once
 * @param startedAtMillis time of arrival, milliseconds since the epoch
 * @param endedAtMillis time of the end, milliseconds since the epoch
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
        Objects.requireNonNull(executionStatus, "executionStatus");
        Objects.requireNonNull(code, "code");
        Objects.requireNonNull(router, "router");
        targets = List.copyOf(targets);
    }
}
