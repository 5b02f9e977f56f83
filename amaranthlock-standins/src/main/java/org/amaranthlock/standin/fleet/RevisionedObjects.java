package org.amaranthlock.standin.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/** In-memory objects by kind and name, with one revision counter and a history of changes. Thread-safe. */
final class RevisionedObjects {
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    private final Map<String, Map<String, ObjectNode>> objectsByKind = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private long revision = 1;
    private long discardedUpToRevision;

    /** Change of an object; for a deletion, the last content with the revision of the deletion. */
    record Change(String kind, long revision, boolean deleted, ObjectNode object) {}

    /** Creates or replaces an object; an unchanged object keeps its revision. */
    ObjectNode put(String kind, String name, JsonNode spec) {
        lock.lock();
        try {
            ObjectNode existing = objects(kind).get(name);
            if (existing != null && existing.path("spec").equals(spec)) {
                return existing;
            }
            return store(kind, name, spec, existing == null ? MissingNode.getInstance() : existing.path("status"));
        } finally {
            lock.unlock();
        }
    }

    /** Replaces an object that has the given revision; returns empty if it has another one, or does not exist. */
    Optional<ObjectNode> replace(String kind, String name, JsonNode spec, long expectedRevision) {
        lock.lock();
        try {
            return Optional.ofNullable(objects(kind).get(name))
                    .filter(existing ->
                            existing.path("metadata").path("revision").asLong() == expectedRevision)
                    .map(_ -> put(kind, name, spec));
        } finally {
            lock.unlock();
        }
    }

    /** Replaces the status of an object; returns empty if it does not exist. */
    Optional<ObjectNode> putStatus(String kind, String name, JsonNode status) {
        lock.lock();
        try {
            ObjectNode existing = objects(kind).get(name);
            if (existing == null || existing.path("status").equals(status)) {
                return Optional.ofNullable(existing);
            }
            return Optional.of(store(kind, name, existing.path("spec"), status));
        } finally {
            lock.unlock();
        }
    }

    /** Creates an object; returns empty if it already exists. */
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

    /** Waits for changes after a revision; returns empty if the history since then has been discarded. */
    Optional<ObjectNode> awaitChanges(String kind, long after, long waitMillis) throws InterruptedException {
        lock.lock();
        try {
            long remainingNanos = TimeUnit.MILLISECONDS.toNanos(waitMillis);
            while (true) {
                if (after < discardedUpToRevision) {
                    return Optional.empty();
                }
                List<Change> matching = history.stream()
                        .filter(change -> change.kind().equals(kind) && change.revision() > after)
                        .toList();
                if (!matching.isEmpty() || remainingNanos <= 0) {
                    return Optional.of(events(matching));
                }
                remainingNanos = changed.awaitNanos(remainingNanos);
            }
        } finally {
            lock.unlock();
        }
    }

    /** Discards the history; clients that watch from an older revision must list the objects again. */
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

    private ObjectNode store(String kind, String name, JsonNode spec, JsonNode status) {
        ObjectNode existing = objects(kind).get(name);
        revision++;
        long created = existing == null
                ? revision
                : existing.path("metadata").path("created").asLong();
        ObjectNode object = JsonNodeFactory.instance.objectNode();
        object.putObject("metadata").put("name", name).put("revision", revision).put("created", created);
        object.set("spec", spec);
        if (!status.isMissingNode()) {
            object.set("status", status);
        }
        objects(kind).put(name, object);
        record(new Change(kind, revision, false, object));
        return object;
    }

    private ObjectNode events(List<Change> matching) {
        ObjectNode response = JsonNodeFactory.instance.objectNode();
        var events = response.putArray("events");
        for (Change change : matching) {
            events.addObject().put("deleted", change.deleted()).set("object", change.object());
        }
        response.put("current_rev", revision);
        return response;
    }

    private void record(Change change) {
        history.add(change);
        changed.signalAll();
    }

    private Map<String, ObjectNode> objects(String kind) {
        return objectsByKind.computeIfAbsent(kind, _ -> new TreeMap<>());
    }
}
