package org.amaranthlock.model;

import java.util.Objects;

/**
 * Version of the software of a target. What two versions write in one event stream does not fit together.
 *
 * @param value version as the target registers it; empty if it is unknown
 */
public record SoftwareVersion(String value) {
    /** Longest version that is kept; a longer one counts as unknown. */
    public static final int MAX_CHARACTERS = 64;

    /** Version of a target that names none, or an unusable one; not equal to any known version. */
    public static final SoftwareVersion UNKNOWN = new SoftwareVersion("");

    public SoftwareVersion {
        Objects.requireNonNull(value, "value");
        if (value.length() > MAX_CHARACTERS) {
            throw new IllegalArgumentException(
                    "software version has " + value.length() + " characters, limit is " + MAX_CHARACTERS);
        }
    }

    @Override
    public String toString() {
        return value.isEmpty() ? "unknown" : value;
    }
}
