package org.amaranthlock.standin.objectapi;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Store of versioned objects with conditional updates and watches. Thread-safe.
 *
 * <p>The versions of a key continue to increase after a delete, so that a version never identifies two values.
 */
final class ObjectStore {
    /** Total value size, in bytes, at which a watch response is truncated to keep it to a few megabytes. */
    private static final int MAX_CHANGE_BYTES = 4 << 20;

    private final TreeMap<String, Change> objects = new TreeMap<>();

    /** Latest change of each key, including deletes, by revision. */
    private final TreeMap<Long, Change> history = new TreeMap<>();

    /** Latest change of each key, including deletes, by key. */
    private final Map<String, Change> latest = new HashMap<>();

    private long revision;
    private boolean watchesInterrupted;

    /** State of a key after a write; {@code value} is {@code null} after a delete. */
    record Change(String key, long version, long revision, byte[] value) {
        boolean isDeleted() {
            return value == null;
        }
    }

    /** Condition on the current state of a key. */
    sealed interface Condition {
        /** Condition that always holds. */
        record Any() implements Condition {}

        /** Condition that holds if the object does not exist. */
        record Absent() implements Condition {}

        /** Condition that holds if the object has the given version. */
        record Version(long version) implements Condition {}
    }

    /** Changes up to and including a revision. */
    record Changes(long revision, List<Change> changes) {}

    synchronized Optional<Change> read(String key) {
        return Optional.ofNullable(objects.get(key));
    }

    synchronized long revision() {
        return revision;
    }

    synchronized Changes list(String prefix, int limit) {
        List<Change> found = new ArrayList<>();
        for (Change object : objects.tailMap(prefix).values()) {
            if (!object.key().startsWith(prefix) || found.size() >= limit) {
                break;
            }
            found.add(object);
        }
        return new Changes(revision, found);
    }

    /** Writes a value, or returns empty if the condition does not hold. */
    synchronized Optional<Change> put(String key, byte[] value, Condition condition) {
        Objects.requireNonNull(value, "value");
        if (!holds(key, condition)) {
            return Optional.empty();
        }
        return Optional.of(applyChange(key, value));
    }

    /** Deletes an object, or returns empty if the condition does not hold or the object does not exist. */
    synchronized Optional<Change> delete(String key, Condition condition) {
        if (!objects.containsKey(key) || !holds(key, condition)) {
            return Optional.empty();
        }
        return Optional.of(applyChange(key, null));
    }

    /**
     * Waits for changes of keys with a prefix after a revision, until the timeout expires or watches are interrupted.
     */
    synchronized Changes awaitChanges(String prefix, long after, long timeoutMillis) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        Changes changes = changesAfter(prefix, after);
        while (changes.changes().isEmpty() && !watchesInterrupted) {
            long remaining = deadline - System.nanoTime();
            if (remaining <= 0) {
                break;
            }
            TimeUnit.NANOSECONDS.timedWait(this, remaining);
            changes = changesAfter(prefix, after);
        }
        return changes;
    }

    /** Sets whether watches are interrupted. While they are, waiting watches end and new ones return immediately. */
    synchronized void setWatchesInterrupted(boolean value) {
        watchesInterrupted = value;
        notifyAll();
    }

    private Changes changesAfter(String prefix, long after) {
        List<Change> changes = new ArrayList<>();
        int bytes = 0;
        for (Change change : history.tailMap(after, false).values()) {
            if (!change.key().startsWith(prefix)) {
                continue;
            }
            changes.add(change);
            bytes += change.isDeleted() ? 0 : change.value().length;
            if (bytes > MAX_CHANGE_BYTES) {
                return new Changes(change.revision(), changes);
            }
        }
        return new Changes(Math.max(revision, after), Collections.unmodifiableList(changes));
    }

    private boolean holds(String key, Condition condition) {
        Change current = objects.get(key);
        return switch (condition) {
            case Condition.Any() -> true;
            case Condition.Absent() -> current == null;
            case Condition.Version(long version) -> current != null && current.version() == version;
        };
    }

    private Change applyChange(String key, byte[] value) {
        revision++;
        Change previous = latest.get(key);
        Change change = new Change(key, previous == null ? 1 : previous.version() + 1, revision, value);
        if (previous != null) {
            history.remove(previous.revision());
        }
        history.put(revision, change);
        latest.put(key, change);
        if (change.isDeleted()) {
            objects.remove(key);
        } else {
            objects.put(key, change);
        }
        notifyAll();
        return change;
    }
}
