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

    private final RequestAttributes call;
    private final ServiceDefinition service;
    private final TargetLoadBalancer picker;
    private final ForwardingPort port;
    private Optional<EntryTarget> ordered = Optional.empty();
    private Optional<EntryTarget> replacement = Optional.empty();
    private Optional<KvCacheCopy> made = Optional.empty();
    private boolean asking;
    private long askedAtMillis;

    KvCacheBackup(RequestAttributes call, ServiceDefinition service, TargetLoadBalancer picker, ForwardingPort port) {
        this.call = Objects.requireNonNull(call, "call");
        this.service = Objects.requireNonNull(service, "service");
        this.picker = Objects.requireNonNull(picker, "picker");
        this.port = Objects.requireNonNull(port, "port");
    }

    /** Chooses the engine that keeps a copy of an attempt from its start; empty if none should. */
    Optional<EntryTarget> assign(EntryTarget target, Set<TargetId> avoided, long nowMillis) {
        ordered = service.kvCacheBackup() ? choose(target, avoided, nowMillis) : Optional.empty();
        ordered.ifPresent(holder -> picker.addLoad(holder, copy()));
        askedAtMillis = nowMillis;
        return ordered;
    }

    /** Has a copy made elsewhere if the engine that was to keep it is lost. */
    void refresh(Attempt attempt, Set<TargetId> avoided, long nowMillis) {
        boolean lost = ordered.isPresent() && !picker.isAvailable(ordered.get(), nowMillis);
        if (!lost || asking || !service.kvCacheTransfer() || nowMillis - askedAtMillis < REFRESH_MILLIS) {
            return;
        }
        askedAtMillis = nowMillis;
        if (replacement.isPresent() && !picker.isAvailable(replacement.get(), nowMillis)) {
            dropReplacement();
        }
        if (replacement.isEmpty()) {
            Set<TargetId> excluded = new HashSet<>(avoided);
            ordered.ifPresent(holder -> excluded.add(holder.id()));
            replacement = choose(attempt.target(), excluded, nowMillis);
            replacement.ifPresent(holder -> picker.addLoad(holder, copy()));
        }
        if (replacement.isPresent()) {
            asking = true;
            port.copyKvCache(attempt, replacement.get());
        }
    }

    /** Takes the id of a copy that an engine made; empty if it made none. */
    void onCopyCompleted(Attempt attempt, EntryTarget holder, Optional<String> id) {
        asking = false;
        if (replacement.isEmpty() || !replacement.get().equals(holder)) {
            return;
        }
        if (id.isPresent()) {
            made = Optional.of(new KvCacheCopy(holder, attempt.target().authority(), id.get()));
        } else {
            dropReplacement();
        }
    }

    /** Returns the copy from which the run of a lost attempt can go on. */
    Optional<KvCacheCopy> findUsableCopy(long nowMillis) {
        return ordered.filter(holder -> picker.isAvailable(holder, nowMillis))
                .map(holder -> new KvCacheCopy(holder, holder.authority(), call.id()))
                .or(() -> made.filter(copy -> picker.isAvailable(copy.engine(), nowMillis)));
    }

    /** Ends the copies of an attempt; {@code used} is not freed, others free themselves only after some seconds. */
    void release(Attempt attempt, Optional<KvCacheCopy> used) {
        if (!used.equals(made)) {
            made.ifPresent(copy -> port.freeCopy(attempt, copy));
        }
        ordered.ifPresent(holder -> picker.removeLoad(holder, copy()));
        ordered = Optional.empty();
        dropReplacement();
        asking = false;
    }

    private Optional<EntryTarget> choose(EntryTarget target, Set<TargetId> avoided, long nowMillis) {
        Set<TargetId> excluded = new HashSet<>(avoided);
        excluded.add(target.id());
        return picker.chooseBackup(service, target, call.tokens(), excluded, nowMillis);
    }

    private void dropReplacement() {
        replacement.ifPresent(holder -> picker.removeLoad(holder, copy()));
        replacement = Optional.empty();
        made = Optional.empty();
    }

    private InFlightLoad copy() {
        return InFlightLoad.copy(call.tokens());
    }
}
