package org.amaranthlock.protocol.objectapi;

import java.util.Objects;
import org.amaranthlock.model.Arguments;

/**
 * Object that was read from the platform, with its version and revision.
 *
 * @param key object key
 * @param version version of the object
 * @param revision global revision of its last write
 * @param value the value
 */
public record VersionedObject(String key, long version, long revision, ObjectApiValue value) {
    public VersionedObject {
        Arguments.requireText(key, "key");
        Objects.requireNonNull(value, "value");
    }
}
