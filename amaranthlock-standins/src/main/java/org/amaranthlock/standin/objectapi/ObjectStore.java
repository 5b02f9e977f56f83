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
 * Versioned objects with conditional updates and change history; thread-safe.
 *
 * <p>Versions of a key keep growing over a delete, so that a version never names two different values.
 */
final class ObjectStore {
    /** Sum of value sizes after which a watch answer is cut, so that it stays a few megabytes. */
    private static final int MAX_CHANGE_BYTES = 4 << 20;

    private final TreeMap<String, Change> objects = new TreeMap<>();
    private final TreeMap<Long, Change> history = new TreeMap<>();
    private final Map<String, Change> latest = new HashMap<>();
    private long revision;
    private boolean interrupted;

    /** State of a key after a write; {@code value} is null after a delete. */
    record Change(String key, long version, long revision, byte[] value) {
        boolean deleted() {
            return value == null;
        }
    }

    /** Condition on the present state of a key. */
    sealed interface Condition {
        /** Always holds. */
        record Any() implements Condition {}

        /** Holds if there is no such object. */
        record Absent() implements Condition {}

        /** Holds if the object has a version. */
        record Version(long version) implements Condition {}
    }

    /** Changes up to a revision. */
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

    /** Writes a value; empty if the condition does not hold. */
    synchronized Optional<Change> put(String key, byte[] value, Condition condition) {
        Objects.requireNonNull(value, "value");
        if (!holds(key, condition)) {
            return Optional.empty();
        }
        return Optional.of(record(key, value));
    }

    /** Deletes an object; empty if the condition does not hold or there is no such object. */
    synchronized Optional<Change> delete(String key, Condition condition) {
        if (!objects.containsKey(key) || !holds(key, condition)) {
            return Optional.empty();
        }
        return Optional.of(record(key, null));
    }

    /** Waits until keys below a prefix have changed after a revision, the time is over or waiting is interrupted. */
    synchronized Changes awaitChanges(String prefix, long after, long timeoutMillis) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        Changes changes = changesAfter(prefix, after);
        while (changes.changes().isEmpty() && !interrupted) {
            long left = deadline - System.nanoTime();
            if (left <= 0) {
                break;
            }
            TimeUnit.NANOSECONDS.timedWait(this, left);
            changes = changesAfter(prefix, after);
        }
        return changes;
    }

    /** Ends all waiting watches while set; later ones return at once. */
    synchronized void interruptWatches(boolean value) {
        interrupted = value;
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
            bytes += change.deleted() ? 0 : change.value().length;
            if (bytes > MAX_CHANGE_BYTES) {
                return new Changes(change.revision(), changes);
            }
        }
        return new Changes(Math.max(revision, after), Collections.unmodifiableList(changes));
    }

    private boolean holds(String key, Condition condition) {
        Change present = objects.get(key);
        return switch (condition) {
            case Condition.Any() -> true;
            case Condition.Absent() -> present == null;
            case Condition.Version(long version) -> present != null && present.version() == version;
        };
    }

    private Change record(String key, byte[] value) {
        revision++;
        Change previous = latest.get(key);
        Change change = new Change(key, previous == null ? 1 : previous.version() + 1, revision, value);
        if (previous != null) {
            history.remove(previous.revision());
        }
        history.put(revision, change);
        latest.put(key, change);
        if (change.deleted()) {
            objects.remove(key);
        } else {
            objects.put(key, change);
        }
        notifyAll();
        return change;
    }
}
