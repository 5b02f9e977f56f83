package org.amaranthlock.standin.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/** Objects by kind and name, with one revision counter and a history of changes; safe for use by several threads. */
final class RevisionedObjects {
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    private final Map<String, Map<String, ObjectNode>> objectsByKind = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private long revision = 1;
    private long discardedUpToRevision;

    record Change(String kind, long revision, boolean deleted, ObjectNode object) {}

    /** Creates or replaces an object; an object that stays the same keeps its revision. */
    ObjectNode put(String kind, String name, JsonNode spec) {
        lock.lock();
        try {
            ObjectNode known = objects(kind).get(name);
            if (known != null && known.path("spec").equals(spec)) {
                return known;
            }
            revision++;
            ObjectNode object = JsonNodeFactory.instance.objectNode();
            object.putObject("metadata").put("name", name).put("revision", revision);
            object.set("spec", spec);
            objects(kind).put(name, object);
            record(new Change(kind, revision, false, object));
            return object;
        } finally {
            lock.unlock();
        }
    }

    /** Creates an object; empty if it exists. */
    Optional<ObjectNode> create(String kind, String name, JsonNode spec) {
        lock.lock();
        try {
            return objects(kind).containsKey(name) ? Optional.empty() : Optional.of(put(kind, name, spec));
        } finally {
            lock.unlock();
        }
    }

    void remove(String kind, String name) {
        lock.lock();
        try {
            ObjectNode removed = objects(kind).remove(name);
            if (removed != null) {
                revision++;
                ObjectNode last = removed.deepCopy();
                ((ObjectNode) last.get("metadata")).put("revision", revision);
                record(new Change(kind, revision, true, last));
            }
        } finally {
            lock.unlock();
        }
    }

    Optional<ObjectNode> find(String kind, String name) {
        lock.lock();
        try {
            return Optional.ofNullable(objects(kind).get(name));
        } finally {
            lock.unlock();
        }
    }

    ObjectNode list(String kind) {
        lock.lock();
        try {
            ObjectNode page = JsonNodeFactory.instance.objectNode();
            page.putArray("items").addAll(objects(kind).values());
            page.put("has_more", false).put("current_rev", revision);
            return page;
        } finally {
            lock.unlock();
        }
    }

    /** Waits for changes after a revision; empty if that history is gone. */
    Optional<ObjectNode> awaitChanges(String kind, long after, long waitMillis) throws InterruptedException {
        lock.lock();
        try {
            long left = TimeUnit.MILLISECONDS.toNanos(waitMillis);
            while (true) {
                if (after < discardedUpToRevision) {
                    return Optional.empty();
                }
                List<Change> found = history.stream()
                        .filter(change -> change.kind().equals(kind) && change.revision() > after)
                        .toList();
                if (!found.isEmpty() || left <= 0) {
                    return Optional.of(events(found));
                }
                left = changed.awaitNanos(left);
            }
        } finally {
            lock.unlock();
        }
    }

    /** Drops the history; watches of older revisions must list again. */
    void discardHistory() {
        lock.lock();
        try {
            history.clear();
            discardedUpToRevision = revision;
            changed.signalAll();
        } finally {
            lock.unlock();
        }
    }

    private ObjectNode events(List<Change> found) {
        ObjectNode answer = JsonNodeFactory.instance.objectNode();
        var events = answer.putArray("events");
        for (Change change : found) {
            events.addObject().put("deleted", change.deleted()).set("object", change.object());
        }
        answer.put("current_rev", revision);
        return answer;
    }

    private void record(Change change) {
        history.add(change);
        changed.signalAll();
    }

    private Map<String, ObjectNode> objects(String kind) {
        return objectsByKind.computeIfAbsent(kind, _ -> new TreeMap<>());
    }
}
