package org.amaranthlock.model;

import java.util.Objects;
import java.util.Optional;

/**
 * Immutable description of an accepted request.
 *
 * @param id unique id
 * @param account the client account that the request is charged to
 * @param service the service it addresses
 * @param profile profile of the service, which determines the handling of failures
 * @param key idempotency key, if the client provided one
 * @param fingerprint hash of the request content, equal for equal content
 * @param arrivedAtMillis time of arrival on the router's clock, in milliseconds
 * @param deadlineMillis deadline on the router's clock, in milliseconds
 * @param work the work that the target executes
 */
public record RequestSpec(
        RequestId id,
        AccountId account,
        ServiceName service,
        Profile profile,
        Optional<IdempotencyKey> key,
        long fingerprint,
        long arrivedAtMillis,
        long deadlineMillis,
        Work work) {
    public RequestSpec {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(account, "account");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(profile, "profile");
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(work, "work");
    }

    /**
     * Returns the key by which every router finds the ledger partition, the backup routers and the retries of the
     * request.
     *
     * <p>It consists of the account and the idempotency key, or the request id if the client provided no key.
     */
    public String ledgerKey() {
        return account + "/" + key.map(IdempotencyKey::value).orElse(id.value());
    }

    /**
     * Returns the same request with another deadline.
     *
     * @param millis deadline on this router's clock, in milliseconds
     */
    public RequestSpec withDeadline(long millis) {
        return new RequestSpec(id, account, service, profile, key, fingerprint, arrivedAtMillis, millis, work);
    }
}
