package org.amaranthlock.model;

/**
 * Identifies a client account.
 *
 * @param value non-blank text
 */
public record AccountId(String value) implements Comparable<AccountId> {
    public AccountId {
        Arguments.requireText(value, "client account id");
    }

    @Override
    public int compareTo(AccountId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
