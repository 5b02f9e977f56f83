package org.amaranthlock.model;

/**
 * Identifies a target.
 *
 * @param value non-blank text
 */
public record TargetId(String value) implements Comparable<TargetId> {
    public TargetId {
        Arguments.requireText(value, "target id");
    }

    @Override
    public int compareTo(TargetId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
