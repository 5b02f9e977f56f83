package org.amaranthlock.coordination.forwarding;

import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.amaranthlock.model.TargetId;

/**
 * Keeps a copy of a stream's run at an engine of another failure domain.
 *
 * <p>Load pattern: failure domains die one after the other, so that the engine that keeps the copy of a long stream often
 * dies before the stream's own. Its loss is noticed by what requests find out; the engine of the run is then asked to copy
 * the run's memory to another engine, again and again, since each time only what is new is copied. Not thread-safe.
 */
final class KvCacheBackup {
    /** Time between two requests to copy what is new, milliseconds; events in between are generated again after a loss. */
    private static final long REFRESH_MILLIS = 1_000;

    private final RequestAttributes attributes;
    private final ServiceDefinition service;
    private final TargetLoadBalancer loadBalancer;
    private final ForwardingPort port;
    private Optional<EntryTarget> assigned = Optional.empty();
    private Optional<EntryTarget> replacement = Optional.empty();
    private Optional<KvCacheCopy> replacementCopy = Optional.empty();
    private boolean transferPending;
    private long lastTransferMillis;

    KvCacheBackup(RequestAttributes attributes, ServiceDefinition service, TargetLoadBalancer loadBalancer, ForwardingPort port) {
        this.attributes = Objects.requireNonNull(attributes, "call");
        this.service = Objects.requireNonNull(service, "service");
        this.loadBalancer = Objects.requireNonNull(loadBalancer, "picker");
        this.port = Objects.requireNonNull(port, "port");
    }

    /** Chooses the engine that keeps a copy of an attempt from its start; empty if none should. */
    Optional<EntryTarget> assign(EntryTarget target, Set<TargetId> avoided, long nowMillis) {
        assigned = service.kvCacheBackup() ? chooseBackup(target, avoided, nowMillis) : Optional.empty();
        assigned.ifPresent(holder -> loadBalancer.addLoad(holder, backupLoad()));
        lastTransferMillis = nowMillis;
        return assigned;
    }

    /** Has a copy made elsewhere if the engine that was to keep it is lost. */
    void refresh(Attempt attempt, Set<TargetId> avoided, long nowMillis) {
        boolean lost = assigned.isPresent() && !loadBalancer.isAvailable(assigned.get(), nowMillis);
        if (!lost || transferPending || !service.kvCacheTransfer() || nowMillis - lastTransferMillis < REFRESH_MILLIS) {
            return;
        }
        lastTransferMillis = nowMillis;
        if (replacement.isPresent() && !loadBalancer.isAvailable(replacement.get(), nowMillis)) {
            dropReplacement();
        }
        if (replacement.isEmpty()) {
            Set<TargetId> excluded = new HashSet<>(avoided);
            assigned.ifPresent(holder -> excluded.add(holder.id()));
            replacement = chooseBackup(attempt.target(), excluded, nowMillis);
            replacement.ifPresent(holder -> loadBalancer.addLoad(holder, backupLoad()));
        }
        if (replacement.isPresent()) {
            transferPending = true;
            port.copyKvCache(attempt, replacement.get());
        }
    }

    /** Takes the id of a copy that an engine made; empty if it made none. */
    void onCopyCompleted(Attempt attempt, EntryTarget backup, Optional<String> id) {
        transferPending = false;
        if (replacement.isEmpty() || !replacement.get().equals(backup)) {
            return;
        }
        if (id.isPresent()) {
            replacementCopy = Optional.of(new KvCacheCopy(backup, attempt.target().authority(), id.get()));
        } else {
            dropReplacement();
        }
    }

    /** Returns the copy from which the run of a lost attempt can go on. */
    Optional<KvCacheCopy> findUsableCopy(long nowMillis) {
        return assigned.filter(holder -> loadBalancer.isAvailable(holder, nowMillis))
                .map(holder -> new KvCacheCopy(holder, holder.authority(), attributes.id()))
                .or(() -> replacementCopy.filter(copy -> loadBalancer.isAvailable(copy.engine(), nowMillis)));
    }

    /** Ends the copies of an attempt; {@code used} is not freed, others free themselves only after some seconds. */
    void release(Attempt attempt, Optional<KvCacheCopy> used) {
        if (!used.equals(replacementCopy)) {
            replacementCopy.ifPresent(copy -> port.freeCopy(attempt, copy));
        }
        assigned.ifPresent(holder -> loadBalancer.removeLoad(holder, backupLoad()));
        assigned = Optional.empty();
        dropReplacement();
        transferPending = false;
    }

    private Optional<EntryTarget> chooseBackup(EntryTarget target, Set<TargetId> avoided, long nowMillis) {
        Set<TargetId> excluded = new HashSet<>(avoided);
        excluded.add(target.id());
        return loadBalancer.chooseBackup(service, target, attributes.tokens(), excluded, nowMillis);
    }

    private void dropReplacement() {
        replacement.ifPresent(holder -> loadBalancer.removeLoad(holder, backupLoad()));
        replacement = Optional.empty();
        replacementCopy = Optional.empty();
    }

    private InFlightLoad backupLoad() {
        return InFlightLoad.backup(attributes.tokens());
    }
}
