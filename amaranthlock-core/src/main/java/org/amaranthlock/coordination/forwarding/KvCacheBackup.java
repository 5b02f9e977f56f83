package org.amaranthlock.coordination.forwarding;

import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.amaranthlock.model.TargetId;

/**
 * Maintains a backup of a stream's KV cache on an engine in another failure domain.
 *
 * <p>Failure domains may fail one after the other, so that the backup engine of a long stream often fails before the
 * stream's own engine. Its loss is detected when requests to it fail. The stream's engine is then asked repeatedly to
 * copy the KV cache to another engine; each transfer copies only the new part. Not thread-safe.
 */
final class KvCacheBackup {
    /** Interval between transfers, in milliseconds; events since the last one are generated again after a loss. */
    private static final long REFRESH_MILLIS = 1_000;

    private final RequestAttributes attributes;
    private final Route route;
    private final ServiceDefinition service;
    private final TargetLoadBalancer loadBalancer;
    private final Mechanisms mechanisms;
    private final ForwardingPort port;
    private Optional<EntryTarget> assigned = Optional.empty();

    /** Whether the assigned engine was unreachable once; it has lost the backup even if it is reachable again. */
    private boolean assignedLost;

    private Optional<EntryTarget> replacement = Optional.empty();
    private Optional<KvCacheCopy> replacementCopy = Optional.empty();
    private boolean transferPending;
    private long lastTransferMillis;

    KvCacheBackup(
            RequestAttributes attributes,
            Route route,
            ServiceDefinition service,
            TargetLoadBalancer loadBalancer,
            Mechanisms mechanisms,
            ForwardingPort port) {
        this.attributes = Objects.requireNonNull(attributes, "attributes");
        this.route = Objects.requireNonNull(route, "route");
        this.service = Objects.requireNonNull(service, "service");
        this.loadBalancer = Objects.requireNonNull(loadBalancer, "load balancer");
        this.mechanisms = Objects.requireNonNull(mechanisms, "mechanisms");
        this.port = Objects.requireNonNull(port, "port");
    }

    /** Chooses the engine that keeps a backup of an attempt from its start; empty if none is to be kept. */
    Optional<EntryTarget> assign(EntryTarget target, Set<TargetId> avoided, long nowMillis) {
        assignedLost = false;
        assigned = isPossible() ? chooseBackup(target, avoided, nowMillis) : Optional.empty();
        assigned.ifPresent(backup -> loadBalancer.addLoad(backup, backupLoad()));
        lastTransferMillis = nowMillis;
        return assigned;
    }

    /** Requests a copy on another engine if the assigned backup engine is lost. */
    void refresh(Attempt attempt, Set<TargetId> avoided, long nowMillis) {
        if (!route.isRetryable() || !mechanisms.uses(Mechanism.BACKUP_REPLACEMENT)) {
            return;
        }
        assignedLost |= assigned.isPresent() && !loadBalancer.isReachable(assigned.get(), nowMillis);
        if (!assignedLost
                || transferPending
                || !service.kvCacheTransfer()
                || !loadBalancer.acceptsCalls(attempt.target(), nowMillis)
                || nowMillis - lastTransferMillis < REFRESH_MILLIS) {
            return;
        }
        lastTransferMillis = nowMillis;
        if (replacement.isPresent() && !loadBalancer.isReachable(replacement.get(), nowMillis)) {
            dropReplacement();
        }
        if (replacement.isEmpty()) {
            Set<TargetId> excluded = new HashSet<>(avoided);
            assigned.ifPresent(backup -> excluded.add(backup.id()));
            replacement = chooseBackup(attempt.target(), excluded, nowMillis);
            replacement.ifPresent(backup -> loadBalancer.addLoad(backup, backupLoad()));
        }
        if (replacement.isPresent()) {
            transferPending = true;
            port.copyKvCache(attempt, replacement.get());
        }
    }

    /**
     * Handles the completion of a transfer; {@code id} is empty if no copy was made. A copy that an earlier transfer to
     * the same engine made is kept: the transfer often fails because the stream's engine is failing, and the copy is
     * needed next.
     */
    void onCopyCompleted(Attempt attempt, EntryTarget backup, Optional<String> id) {
        transferPending = false;
        if (replacement.isEmpty() || !replacement.get().equals(backup)) {
            return;
        }
        if (id.isPresent()) {
            replacementCopy =
                    Optional.of(new KvCacheCopy(backup, attempt.target().authority(), id.get()));
        } else if (replacementCopy.isEmpty()) {
            dropReplacement();
        }
    }

    /** Returns the copy from which a lost attempt can be resumed. */
    Optional<KvCacheCopy> findUsableCopy(long nowMillis) {
        return assigned.filter(backup -> !assignedLost && loadBalancer.isReachable(backup, nowMillis))
                .map(backup -> new KvCacheCopy(backup, backup.authority(), attributes.id()))
                .or(() -> replacementCopy.filter(copy -> loadBalancer.isReachable(copy.engine(), nowMillis)));
    }

    /**
     * Releases the copies of an attempt, except {@code used}. They are freed explicitly because engines free unused
     * copies only after some seconds.
     */
    void release(Attempt attempt, Optional<KvCacheCopy> used, long nowMillis) {
        if (!used.equals(replacementCopy) && loadBalancer.acceptsCalls(attempt.target(), nowMillis)) {
            replacementCopy.ifPresent(copy -> port.freeCopy(attempt, copy));
        }
        assigned.ifPresent(backup -> loadBalancer.removeLoad(backup, backupLoad()));
        assigned = Optional.empty();
        dropReplacement();
        transferPending = false;
    }

    /** Returns whether backups are of use to a route, the engines of its service can keep them, and they are switched on. */
    static boolean isPossible(Route route, ServiceDefinition service, Mechanisms mechanisms) {
        return route.isRetryable() && service.kvCacheBackup() && mechanisms.uses(Mechanism.KV_CACHE_BACKUP);
    }

    /** Returns whether a backup is made if an engine has room for it. */
    boolean isPossible() {
        return isPossible(route, service, mechanisms);
    }

    private Optional<EntryTarget> chooseBackup(EntryTarget target, Set<TargetId> avoided, long nowMillis) {
        Set<TargetId> excluded = new HashSet<>(avoided);
        excluded.add(target.id());
        return loadBalancer.chooseBackup(service, target, attributes.tokens(), excluded, nowMillis);
    }

    private void dropReplacement() {
        replacement.ifPresent(backup -> loadBalancer.removeLoad(backup, backupLoad()));
        replacement = Optional.empty();
        replacementCopy = Optional.empty();
    }

    private InFlightLoad backupLoad() {
        return InFlightLoad.backup(attributes.tokens());
    }
}
