package org.amaranthlock.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.amaranthlock.coordination.Event;
import org.amaranthlock.coordination.ObjectApiCommand;
import org.amaranthlock.coordination.ObjectApiEvent;
import org.amaranthlock.model.HostId;
import org.amaranthlock.protocol.objectapi.HostEntry;
import org.amaranthlock.protocol.objectapi.ObjectApiValue;
import org.amaranthlock.protocol.objectapi.VersionedObject;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * In-memory object API with versions and watches that simulates lost responses, delayed writes, stale lists and
 * outages.
 */
public final class InMemoryPlatform {
    private final ClusterSimulation simulation;
    private final UniformRandomProvider random;
    private final TreeMap<String, VersionedObject> objects = new TreeMap<>();
    private final List<PendingWatch> watches = new ArrayList<>();
    private List<HostEntry> hosts = List.of();
    private TreeMap<String, VersionedObject> staleObjects = new TreeMap<>();
    private long staleRevision;
    private Predicate<HostId> reachable = host -> true;
    private boolean down;
    private long addedLatencyMillis;
    private double lostResponseRate;
    private double staleListRate;
    private long revision;
    private long writeCount;

    InMemoryPlatform(ClusterSimulation simulation, UniformRandomProvider random) {
        this.simulation = simulation;
        this.random = random;
    }

    public void setDown(boolean value) {
        down = value;
    }

    /** Sets the latency that is added to every operation. */
    public void setAddedLatencyMillis(long millis) {
        addedLatencyMillis = millis;
    }

    /** Sets which routers can reach the platform. */
    public void setReachability(Predicate<HostId> predicate) {
        reachable = predicate;
    }

    /** Sets the rates of writes whose response is lost and of lists that are stale. */
    public void setFaults(double lostResponses, double staleLists) {
        lostResponseRate = lostResponses;
        staleListRate = staleLists;
    }

    public void setHosts(List<HostEntry> list) {
        hosts = list;
    }

    public Optional<VersionedObject> object(String key) {
        return Optional.ofNullable(objects.get(key));
    }

    public List<VersionedObject> objectsWithPrefix(String prefix) {
        return objects.values().stream()
                .filter(object -> object.key().startsWith(prefix))
                .toList();
    }

    public long writeCount() {
        return writeCount;
    }

    void execute(SimulatedRouterProcess router, ObjectApiCommand command) {
        long latency = 1 + random.nextLong(8) + addedLatencyMillis;
        simulation.schedule(latency, () -> perform(router, command));
    }

    private void perform(SimulatedRouterProcess router, ObjectApiCommand command) {
        if (down || !reachable.test(router.member().host())) {
            respond(router, new ObjectApiEvent.OperationFailed(command.operation(), "outage"));
            return;
        }
        switch (command) {
            case ObjectApiCommand.Read read ->
                respond(router, new ObjectApiEvent.ReadDone(read.operation(), object(read.key())));
            case ObjectApiCommand.ListObjects list -> list(router, list);
            case ObjectApiCommand.Write write -> write(router, write);
            case ObjectApiCommand.Delete delete -> {
                objects.remove(delete.key());
                revision++;
                respond(router, new ObjectApiEvent.WriteApplied(delete.operation(), 0, revision));
            }
            case ObjectApiCommand.Watch watch -> watch(router, watch);
            case ObjectApiCommand.ListHosts ignored -> respond(router, new ObjectApiEvent.HostsListed(hosts));
        }
    }

    private void list(SimulatedRouterProcess router, ObjectApiCommand.ListObjects list) {
        boolean stale = random.nextDouble() < staleListRate;
        TreeMap<String, VersionedObject> source = stale ? staleObjects : objects;
        List<VersionedObject> found = source.values().stream()
                .filter(object -> object.key().startsWith(list.prefix()))
                .limit(list.limit())
                .toList();
        respond(router, new ObjectApiEvent.ListDone(list.operation(), found, stale ? staleRevision : revision));
        if (random.nextInt(4) == 0) {
            staleObjects = new TreeMap<>(objects);
            staleRevision = revision;
        }
    }

    private void write(SimulatedRouterProcess router, ObjectApiCommand.Write write) {
        if (random.nextDouble() >= lostResponseRate) {
            respond(router, apply(write));
            return;
        }
        switch (random.nextInt(3)) {
            case 0 -> apply(write);
            case 1 -> simulation.schedule(random.nextLong(600), () -> apply(write));
            default -> {}
        }
        respond(router, new ObjectApiEvent.WriteUnknown(write.operation()));
    }

    private Event apply(ObjectApiCommand.Write write) {
        VersionedObject current = objects.get(write.key());
        long version = current == null ? 0 : current.version();
        if (version != write.expectedVersion()) {
            return new ObjectApiEvent.WriteConflicted(write.operation());
        }
        put(write.key(), write.value());
        return new ObjectApiEvent.WriteApplied(write.operation(), version + 1, revision);
    }

    /** Writes an object unconditionally. */
    public void put(String key, ObjectApiValue value) {
        revision++;
        writeCount++;
        long version = object(key).map(VersionedObject::version).orElse(0L) + 1;
        objects.put(key, new VersionedObject(key, version, revision, value));
        for (PendingWatch pending : List.copyOf(watches)) {
            if (key.startsWith(pending.watch().prefix())) {
                finish(pending);
            }
        }
    }

    private void watch(SimulatedRouterProcess router, ObjectApiCommand.Watch watch) {
        PendingWatch pending = new PendingWatch(router, watch);
        watches.add(pending);
        if (!changedAfter(watch).isEmpty()) {
            finish(pending);
        } else {
            simulation.schedule(watch.timeoutMillis(), () -> finish(pending));
        }
    }

    private void finish(PendingWatch pending) {
        if (!watches.remove(pending)) {
            return;
        }
        ObjectApiCommand.Watch watch = pending.watch();
        boolean failed = down || !reachable.test(pending.router().member().host());
        Event event = failed
                ? new ObjectApiEvent.OperationFailed(watch.operation(), "outage")
                : new ObjectApiEvent.WatchReturned(watch.operation(), changedAfter(watch), List.of(), revision);
        respond(pending.router(), event);
    }

    private List<VersionedObject> changedAfter(ObjectApiCommand.Watch watch) {
        return objects.values().stream()
                .filter(object -> object.key().startsWith(watch.prefix()) && object.revision() > watch.afterRevision())
                .sorted((left, right) -> Long.compare(left.revision(), right.revision()))
                .toList();
    }

    private void respond(SimulatedRouterProcess router, Event event) {
        simulation.schedule(1 + random.nextLong(8), () -> router.offer(event));
    }

    private record PendingWatch(SimulatedRouterProcess router, ObjectApiCommand.Watch watch) {}
}
