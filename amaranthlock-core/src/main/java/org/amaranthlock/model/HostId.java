package org.amaranthlock.model;

/**
 * Identifies one router process by its host name and incarnation.
 *
 * @param value non-blank text
 */
public record HostId(String value) implements Comparable<HostId> {
    private static final String UNKNOWN_PREFIX = "seed/";

    public HostId {
        Arguments.requireText(value, "host id");
    }

    /**
     * Returns a placeholder id for the unknown router at an address, used to contact a seed.
     *
     * @param address IP address and port of its peer transport
     */
    public static HostId unknownAt(String address) {
        return new HostId(UNKNOWN_PREFIX + address);
    }

    /** Returns whether this id is a placeholder for the unknown router at an address. */
    public boolean isUnknown() {
        return value.startsWith(UNKNOWN_PREFIX);
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
