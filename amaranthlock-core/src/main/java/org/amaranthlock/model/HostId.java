package org.amaranthlock.model;

/**
 * Identifies one router process by its host name and incarnation.
 *
 * @param value non-blank text
 */
public record HostId(String value) implements Comparable<HostId> {
    public HostId {
        Arguments.requireText(value, "host id");
    }

    @Override
    public int compareTo(HostId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
