package org.amaranthlock.coordination.configuration;

import java.util.Objects;
import java.util.OptionalDouble;
import org.amaranthlock.model.AccountId;
import org.amaranthlock.model.Arguments;

/**
 * Configuration of a client account.
 *
 * @param id the account
 * @param keySha256 SHA-256 of its secret key, in lower-case hexadecimal
 * @param weight weight of its fair share, more than 0
 * @param tokensPerSecond limit over all routers; empty if unlimited
 */
public record AccountSettings(AccountId id, String keySha256, double weight, OptionalDouble tokensPerSecond) {
    public AccountSettings {
        Objects.requireNonNull(id, "id");
        Arguments.requireText(keySha256, "keySha256");
        Arguments.require(weight > 0, "weight must be positive: " + weight);
        Objects.requireNonNull(tokensPerSecond, "tokensPerSecond");
    }
}
