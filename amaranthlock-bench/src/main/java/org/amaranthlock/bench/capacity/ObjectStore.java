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

/** Object API in memory; each reader gets its own copy of a value, as over a network. */
final class ObjectStore {
    /** A row of the host list as JSON without its values. */
    private static final String EMPTY_HOST_ROW =
            "{\"name\":\"\",\"role\":\"\",\"address\":\"\",\"region\":\"\",\"failureDomain\":\"\",\"leaving\":false},";

    private final ObjectApiValueCodec codec = new ObjectApiValueCodec();
    private final TreeMap<String, Stored> objects = new TreeMap<>();
    private final Map<Long, Waiting> watches = new LinkedHashMap<>();
    private final EventQueue queue;
    private List<HostEntry> hosts = List.of();
    private long hostListBytes;
    private long revision;
    private long watchNumber;
    private boolean down;

    ObjectStore(EventQueue queue) {
        this.queue = queue;
    }

    void hosts(List<HostEntry> list) {
        hosts = list;
        hostListBytes = list.stream().mapToLong(ObjectStore::rowBytes).sum();
    }

    long hostListBytes() {
        return hostListBytes;
    }

    void down(boolean value) {
        down = value;
    }

    long revision(String key) {
        return objects.get(key).revision();
    }

    long nextRevision() {
        return revision + 1;
    }

    void put(String key, ObjectApiValue value) {
        revision++;
        Stored old = objects.get(key);
        objects.put(key, new Stored(old == null ? 1 : old.version() + 1, revision, codec.encode(value)));
        for (var waiting : List.copyOf(watches.entrySet())) {
            if (key.startsWith(waiting.getValue().watch().prefix())) {
                finishWatch(waiting.getKey());
            }
        }
    }

    /** Carries a command out and hands the answer over after 2 ms in each direction. */
    void execute(ObjectApiCommand command, Meter meter, Consumer<ObjectApiEvent> receiver) {
        queue.after(2, () -> perform(command, meter, answer -> queue.after(2, () -> receiver.accept(answer))));
    }

    private void perform(ObjectApiCommand command, Meter meter, Consumer<ObjectApiEvent> receiver) {
        String kind = command.getClass().getSimpleName();
        if (down) {
            meter.calledPlatform(kind, 0);
            receiver.accept(new ObjectApiEvent.OperationFailed(command.operation(), "outage"));
            return;
        }
        switch (command) {
            case ObjectApiCommand.Read read -> {
                meter.calledPlatform(kind, size(read.key()));
                receiver.accept(new ObjectApiEvent.ReadDone(read.operation(), copy(read.key())));
            }
            case ObjectApiCommand.ListObjects list -> list(list, meter, receiver);
            case ObjectApiCommand.Write write -> {
                meter.calledPlatform(kind, codec.encode(write.value()).length);
                receiver.accept(write(write));
            }
            case ObjectApiCommand.Delete delete -> {
                meter.calledPlatform(kind, 0);
                objects.remove(delete.key());
                revision++;
                receiver.accept(new ObjectApiEvent.WriteApplied(delete.operation(), 0, revision));
            }
            case ObjectApiCommand.Watch watch -> {
                meter.calledPlatform(kind, 0);
                long number = watchNumber++;
                watches.put(number, new Waiting(watch, meter, receiver));
                boolean changed = !changedAfter(watch).isEmpty();
                queue.after(changed ? 0 : watch.timeoutMillis(), () -> finishWatch(number));
            }
            case ObjectApiCommand.ListHosts _ -> {
                meter.calledPlatform(kind, hostListBytes);
                receiver.accept(new ObjectApiEvent.HostsListed(hosts));
            }
        }
    }

    private void list(ObjectApiCommand.ListObjects list, Meter meter, Consumer<ObjectApiEvent> receiver) {
        List<VersionedObject> found = new ArrayList<>();
        long bytes = 0;
        for (String key : objects.tailMap(list.prefix()).keySet()) {
            if (!key.startsWith(list.prefix()) || found.size() == list.limit()) {
                break;
            }
            found.add(copy(key).orElseThrow());
            bytes += size(key);
        }
        meter.calledPlatform("ListObjects", bytes);
        receiver.accept(new ObjectApiEvent.ListDone(list.operation(), found, revision));
    }

    private ObjectApiEvent write(ObjectApiCommand.Write write) {
        Stored present = objects.get(write.key());
        long version = present == null ? 0 : present.version();
        if (version != write.expectedVersion()) {
            return new ObjectApiEvent.WriteConflicted(write.operation());
        }
        put(write.key(), write.value());
        return new ObjectApiEvent.WriteApplied(write.operation(), version + 1, revision);
    }

    private void finishWatch(long number) {
        Waiting waiting = watches.remove(number);
        if (waiting == null) {
            return;
        }
        ObjectApiCommand.Watch watch = waiting.watch();
        if (down) {
            waiting.receiver().accept(new ObjectApiEvent.OperationFailed(watch.operation(), "outage"));
            return;
        }
        List<VersionedObject> changed = changedAfter(watch).stream()
                .map(key -> copy(key).orElseThrow())
                .sorted(Comparator.comparingLong(VersionedObject::revision))
                .toList();
        long bytes = changed.stream().mapToLong(object -> size(object.key())).sum();
        waiting.meter().calledPlatform("WatchAnswer", bytes);
        waiting.receiver().accept(new ObjectApiEvent.WatchReturned(watch.operation(), changed, List.of(), revision));
    }

    private List<String> changedAfter(ObjectApiCommand.Watch watch) {
        List<String> keys = new ArrayList<>();
        objects.tailMap(watch.prefix()).forEach((key, stored) -> {
            if (key.startsWith(watch.prefix()) && stored.revision() > watch.afterRevision()) {
                keys.add(key);
            }
        });
        return keys;
    }

    private Optional<VersionedObject> copy(String key) {
        return Optional.ofNullable(objects.get(key))
                .map(stored -> new VersionedObject(
                        new String(key.toCharArray()),
                        stored.version(),
                        stored.revision(),
                        codec.decode(stored.bytes())));
    }

    private static long rowBytes(HostEntry host) {
        return EMPTY_HOST_ROW.length()
                + host.name().length()
                + host.role().length()
                + host.address().length()
                + host.region().value().length()
                + host.failureDomain().value().length();
    }

    private int size(String key) {
        Stored stored = objects.get(key);
        return stored == null ? 0 : stored.bytes().length;
    }

    private record Stored(long version, long revision, byte[] bytes) {}

    private record Waiting(ObjectApiCommand.Watch watch, Meter meter, Consumer<ObjectApiEvent> receiver) {}
}
