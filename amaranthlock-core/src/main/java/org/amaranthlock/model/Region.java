package org.amaranthlock.model;

/**
 * Identifies a region.
 *
 * @param value non-blank text
 */
public record Region(String value) implements Comparable<Region> {
    public Region {
        Arguments.requireText(value, "region");
    }

    @Override
    public int compareTo(Region other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
