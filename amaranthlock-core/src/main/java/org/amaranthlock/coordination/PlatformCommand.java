package org.amaranthlock.coordination;

import org.amaranthlock.protocol.objectapi.PlatformValue;

/** Operation on the platform; answered by the {@link PlatformEvent} with the same operation number. */
public sealed interface PlatformCommand extends Command {
    /** Number that connects command and answer, unique per router process. */
    long operation();

    /** Reads an object. */
    record Read(long operation, String key) implements PlatformCommand {}

    /** Lists the objects below a key prefix, with their values, in key order. */
    record ListObjects(long operation, String prefix, int limit) implements PlatformCommand {}

    /**
     * Writes an object if it has an expected version.
     *
     * @param operation operation number
     * @param key object key
     * @param expectedVersion version that the object must have; 0 if it must not exist
     * @param value the value
     */
    record Write(long operation, String key, long expectedVersion, PlatformValue value) implements PlatformCommand {}

    /** Deletes an object. */
    record Delete(long operation, String key) implements PlatformCommand {}

    /** Waits until objects below a prefix change after a revision, at most {@code timeoutMillis}. */
    record Watch(long operation, String prefix, long afterRevision, long timeoutMillis) implements PlatformCommand {}

    /** Reads the host list; answered by {@link PlatformEvent.HostsListed}. */
    record ListHosts(long operation) implements PlatformCommand {}
}
