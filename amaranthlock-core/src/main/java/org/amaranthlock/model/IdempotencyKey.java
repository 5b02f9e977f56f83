package org.amaranthlock.model;

/**
 * Identifies one logical operation of a client account; retries of the operation carry the same key.
 *
 * @param value non-blank text
 */
public record IdempotencyKey(String value) implements Comparable<IdempotencyKey> {
    public IdempotencyKey {
        Arguments.requireText(value, "idempotency key");
    }

    @Override
    public int compareTo(IdempotencyKey other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
