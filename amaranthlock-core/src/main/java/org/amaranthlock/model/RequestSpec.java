package org.amaranthlock.model;

import java.util.Objects;
import java.util.Optional;

/**
 * Immutable description of an accepted request.
 *
 * @param id unique id
 * @param account the client account that pays for it
 * @param service the service it addresses
 * @param profile treatment on failure
 * @param key idempotency key, if the caller gave one
 * @param fingerprint hash of the content, equal for equal content
 * @param arrivedAtMillis arrival on the router's clock, in milliseconds
 * @param deadlineMillis end of its time on the router's clock, in milliseconds
 * @param work what the target is asked to do
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
     * Returns the text by which ledger partitions, keepers and repeats of the request are found on every router.
     *
     * <p>It holds the account and the idempotency key, or the request id when the caller gave no key.
     */
    public String ledgerKey() {
        return account + "/" + key.map(IdempotencyKey::value).orElse(id.value());
    }

    /**
     * Returns the same request with another deadline.
     *
     * @param millis end of its time on this router's clock, in milliseconds
     */
    public RequestSpec withDeadline(long millis) {
        return new RequestSpec(id, account, service, profile, key, fingerprint, arrivedAtMillis, millis, work);
    }
}
