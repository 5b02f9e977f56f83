package org.amaranthlock.bench.capacity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.amaranthlock.coordination.ObjectApiCommand;
import org.amaranthlock.coordination.ObjectApiEvent;
import org.amaranthlock.protocol.ObjectApiValueCodec;
import org.amaranthlock.protocol.objectapi.HostEntry;
import org.amaranthlock.protocol.objectapi.ObjectApiValue;
import org.amaranthlock.protocol.objectapi.VersionedObject;

/**
 * In-memory object API. Every read decodes its own copy of a value and its key, as a call over the network does, so
 * that the memory of a router includes them.
 */
final class InMemoryObjectStore {
    /** JSON row of the host list with empty values, for computing the size of a listing. */
    private static final String EMPTY_HOST_ROW =
            "{\"name\":\"\",\"role\":\"\",\"address\":\"\",\"region\":\"\",\"failureDomain\":\"\",\"leaving\":false},";

    private final ObjectApiValueCodec codec = new ObjectApiValueCodec();
    private final TreeMap<String, StoredValue> objects = new TreeMap<>();
    private final Map<Long, PendingWatch> watches = new LinkedHashMap<>();
    private final EventQueue queue;
    private List<HostEntry> hostList = List.of();
    private long hostListBytes;
    private long revision;
    private long nextWatchId;
    private boolean outage;

    InMemoryObjectStore(EventQueue queue) {
        this.queue = queue;
    }

    void setHostList(List<HostEntry> list) {
        hostList = list;
        hostListBytes =
                list.stream().mapToLong(InMemoryObjectStore::hostRowBytes).sum();
    }

    long hostListBytes() {
        return hostListBytes;
    }

    /** Starts or ends an outage, during which every operation fails. */
    void setOutage(boolean value) {
        outage = value;
    }

    long revision(String key) {
        return objects.get(key).revision();
    }

    long nextRevision() {
        return revision + 1;
    }

    void put(String key, ObjectApiValue value) {
        revision++;
        StoredValue old = objects.get(key);
        objects.put(key, new StoredValue(old == null ? 1 : old.version() + 1, revision, codec.encode(value)));
        for (var pending : List.copyOf(watches.entrySet())) {
            if (key.startsWith(pending.getValue().watch().prefix())) {
                completeWatch(pending.getKey());
            }
        }
    }

    /** Executes a command and passes the result to the receiver, with a network delay of 2 ms in each direction. */
    void execute(ObjectApiCommand command, RouterCostMetrics metrics, Consumer<ObjectApiEvent> receiver) {
        queue.schedule(2, () -> apply(command, metrics, result -> queue.schedule(2, () -> receiver.accept(result))));
    }

    private void apply(ObjectApiCommand command, RouterCostMetrics metrics, Consumer<ObjectApiEvent> receiver) {
        String kind = command.getClass().getSimpleName();
        if (outage) {
            metrics.recordPlatformCall(kind, 0);
            receiver.accept(new ObjectApiEvent.OperationFailed(command.operation(), "outage"));
            return;
        }
        switch (command) {
            case ObjectApiCommand.Read read -> {
                metrics.recordPlatformCall(kind, storedBytes(read.key()));
                receiver.accept(new ObjectApiEvent.ReadDone(read.operation(), readCopy(read.key())));
            }
            case ObjectApiCommand.ListObjects list -> list(list, metrics, receiver);
            case ObjectApiCommand.Write write -> {
                metrics.recordPlatformCall(kind, codec.encode(write.value()).length);
                receiver.accept(write(write));
            }
            case ObjectApiCommand.Delete delete -> {
                metrics.recordPlatformCall(kind, 0);
                objects.remove(delete.key());
                revision++;
                receiver.accept(new ObjectApiEvent.WriteApplied(delete.operation(), 0, revision));
            }
            case ObjectApiCommand.Watch watch -> {
                metrics.recordPlatformCall(kind, 0);
                long watchId = nextWatchId++;
                watches.put(watchId, new PendingWatch(watch, metrics, receiver));
                boolean changed = !keysChangedAfter(watch).isEmpty();
                queue.schedule(changed ? 0 : watch.timeoutMillis(), () -> completeWatch(watchId));
            }
            case ObjectApiCommand.ListHosts _ -> {
                metrics.recordPlatformCall(kind, hostListBytes);
                receiver.accept(new ObjectApiEvent.HostsListed(hostList));
            }
        }
    }

    private void list(ObjectApiCommand.ListObjects list, RouterCostMetrics metrics, Consumer<ObjectApiEvent> receiver) {
        List<VersionedObject> found = new ArrayList<>();
        long bytes = 0;
        for (String key : objects.tailMap(list.prefix()).keySet()) {
            if (!key.startsWith(list.prefix()) || found.size() == list.limit()) {
                break;
            }
            found.add(readCopy(key).orElseThrow());
            bytes += storedBytes(key);
        }
        metrics.recordPlatformCall("ListObjects", bytes);
        receiver.accept(new ObjectApiEvent.ListDone(list.operation(), found, revision));
    }

    private ObjectApiEvent write(ObjectApiCommand.Write write) {
        StoredValue current = objects.get(write.key());
        long version = current == null ? 0 : current.version();
        if (version != write.expectedVersion()) {
            return new ObjectApiEvent.WriteConflicted(write.operation());
        }
        put(write.key(), write.value());
        return new ObjectApiEvent.WriteApplied(write.operation(), version + 1, revision);
    }

    private void completeWatch(long watchId) {
        PendingWatch pending = watches.remove(watchId);
        if (pending == null) {
            return;
        }
        ObjectApiCommand.Watch watch = pending.watch();
        if (outage) {
            pending.receiver().accept(new ObjectApiEvent.OperationFailed(watch.operation(), "outage"));
            return;
        }
        List<VersionedObject> changed = keysChangedAfter(watch).stream()
                .map(key -> readCopy(key).orElseThrow())
                .sorted(Comparator.comparingLong(VersionedObject::revision))
                .toList();
        long bytes =
                changed.stream().mapToLong(object -> storedBytes(object.key())).sum();
        pending.metrics().recordPlatformCall("WatchAnswer", bytes);
        pending.receiver().accept(new ObjectApiEvent.WatchReturned(watch.operation(), changed, List.of(), revision));
    }

    private List<String> keysChangedAfter(ObjectApiCommand.Watch watch) {
        List<String> keys = new ArrayList<>();
        objects.tailMap(watch.prefix()).forEach((key, stored) -> {
            if (key.startsWith(watch.prefix()) && stored.revision() > watch.afterRevision()) {
                keys.add(key);
            }
        });
        return keys;
    }

    private Optional<VersionedObject> readCopy(String key) {
        return Optional.ofNullable(objects.get(key))
                .map(stored -> new VersionedObject(
                        new String(key.toCharArray()),
                        stored.version(),
                        stored.revision(),
                        codec.decode(stored.bytes())));
    }

    private static long hostRowBytes(HostEntry host) {
        return EMPTY_HOST_ROW.length()
                + host.name().length()
                + host.role().length()
                + host.address().length()
                + host.region().value().length()
                + host.failureDomain().value().length();
    }

    private int storedBytes(String key) {
        StoredValue stored = objects.get(key);
        return stored == null ? 0 : stored.bytes().length;
    }

    private record StoredValue(long version, long revision, byte[] bytes) {}

    private record PendingWatch(
            ObjectApiCommand.Watch watch, RouterCostMetrics metrics, Consumer<ObjectApiEvent> receiver) {}
}
