package org.amaranthlock.coordination.forwarding;

import java.util.Objects;
import java.util.OptionalInt;
import org.amaranthlock.model.AccountId;

/**
 * Client account that owns an API key.
 *
 * @param account the account
 * @param priority priority of its requests, which overrides that of the route; 0 is the highest
 */
public record ApiKeyOwner(AccountId account, OptionalInt priority) {
    public ApiKeyOwner {
        Objects.requireNonNull(account, "account");
        Objects.requireNonNull(priority, "priority");
    }
}
