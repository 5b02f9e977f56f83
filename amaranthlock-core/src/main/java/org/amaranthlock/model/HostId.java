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
     * Returns the id that stands for whichever router listens at an address, for the first contact.
     *
     * @param address IP number and port of its peer transport
     */
    public static HostId unknownAt(String address) {
        return new HostId(UNKNOWN_PREFIX + address);
    }

    /** Tells whether the id stands for whichever router listens at an address. */
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
