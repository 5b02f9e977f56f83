package org.amaranthlock.coordination.forwarding;

import java.util.Objects;
import java.util.OptionalInt;
import org.amaranthlock.model.AccountId;

/**
 * Client account that holds an API key.
 *
 * @param account the account
 * @param priority rank of its requests, which goes before the rank of a route; 0 is the most urgent
 */
public record ApiKeyOwner(AccountId account, OptionalInt priority) {
    public ApiKeyOwner {
        Objects.requireNonNull(account, "account");
        Objects.requireNonNull(priority, "priority");
    }
}
