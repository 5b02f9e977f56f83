package org.amaranthlock.coordination;

import org.amaranthlock.protocol.objectapi.ObjectApiValue;

/**
 * Operation on the platform's object API; the {@link ObjectApiEvent} with the same operation number is its response.
 */
public sealed interface ObjectApiCommand extends Command {
    /** Returns the number that matches command and response, unique within a router process. */
    long operation();

    /** Reads an object. */
    record Read(long operation, String key) implements ObjectApiCommand {}

    /** Lists the objects below a key prefix, with their values, in key order. */
    record ListObjects(long operation, String prefix, int limit) implements ObjectApiCommand {}

    /**
     * Writes an object if its current version is the expected one (compare-and-set).
     *
     * @param operation operation number
     * @param key object key
     * @param expectedVersion version that the object must have; 0 if the object must not exist
     * @param value new value
     */
    record Write(long operation, String key, long expectedVersion, ObjectApiValue value) implements ObjectApiCommand {}

    /** Deletes an object. */
    record Delete(long operation, String key) implements ObjectApiCommand {}

    /** Waits at most {@code timeoutMillis} for changes after a revision to objects below a key prefix. */
    record Watch(long operation, String prefix, long afterRevision, long timeoutMillis) implements ObjectApiCommand {}

    /** Reads the host list; the response is {@link ObjectApiEvent.HostsListed}. */
    record ListHosts(long operation) implements ObjectApiCommand {}
}
