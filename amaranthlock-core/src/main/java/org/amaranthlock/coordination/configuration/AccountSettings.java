package org.amaranthlock.coordination.configuration;

import java.util.Objects;
import java.util.OptionalDouble;
import org.amaranthlock.model.AccountId;
import org.amaranthlock.model.Arguments;

/**
 * Configuration of a client account.
 *
 * @param id id of the account
 * @param keySha256 SHA-256 digest of the API key, in lower-case hexadecimal
 * @param weight weight for fair sharing, greater than 0
 * @param tokensPerSecond rate limit across all routers; empty if unlimited
 */
public record AccountSettings(AccountId id, String keySha256, double weight, OptionalDouble tokensPerSecond) {
    public AccountSettings {
        Objects.requireNonNull(id, "id");
        Arguments.requireText(keySha256, "keySha256");
        Arguments.require(weight > 0, "weight must be positive: " + weight);
        Objects.requireNonNull(tokensPerSecond, "tokensPerSecond");
    }
}
