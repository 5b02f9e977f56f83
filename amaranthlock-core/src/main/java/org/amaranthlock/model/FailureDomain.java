package org.amaranthlock.model;

/**
 * Identifies a failure domain.
 *
 * @param value non-blank text
 */
public record FailureDomain(String value) implements Comparable<FailureDomain> {
    public FailureDomain {
        Arguments.requireText(value, "failure domain");
    }

    @Override
    public int compareTo(FailureDomain other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
