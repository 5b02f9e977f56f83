package org.amaranthlock.coordination.targetlimit;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.TargetId;

/**
 * Limits that targets have named, to this host or to another one.
 *
 * <p>A limit ends when its target answers without naming one, or when another run takes the place of the target. It
 * does not end because the target is silent or its registration is missing for a while. Not thread-safe.
 */
public final class KnownLimits {
    /** Time for which the limit of a target without a registration is kept, in milliseconds. */
    private static final long UNREGISTERED_RETENTION_MILLIS = 60_000;

    private final LimitListener listener;
    private final Map<TargetId, KnownLimit> limits = new HashMap<>();
    private final Map<TargetId, Long> unregisteredSince = new HashMap<>();
    private final Set<TargetIncarnation> reportedUnusable = new HashSet<>();

    /** Creates an empty set of limits, whose changes are passed to {@code listener}. */
    public KnownLimits(LimitListener listener) {
        this.listener = Objects.requireNonNull(listener, "listener");
    }

    /** Applies what a response of a target states. */
    public void observe(TargetIncarnation target, ServiceName service, LimitStatement statement) {
        switch (statement) {
            case LimitStatement.Named named ->
                change(target, service, OptionalDouble.of(named.requestsPerSecond()), "response");
            case LimitStatement.NotNamed _ -> {
                if (limit(target).filter(KnownLimit::inForce).isPresent()) {
                    change(target, service, OptionalDouble.empty(), "response");
                }
            }
            case LimitStatement.Unusable unusable -> {
                if (reportedUnusable.add(target)) {
                    listener.onUnusableLimit(target, unusable.text());
                }
            }
        }
    }

    /** Applies the limits that another host knows. */
    public void merge(String host, Collection<KnownLimit> remote) {
        for (KnownLimit received : remote) {
            KnownLimit known = limits.get(received.target().id());
            boolean otherRun = known != null && !known.target().equals(received.target());
            boolean newer = known == null
                    || (otherRun ? known.target().isReplacedBy(received.target()) : received.supersedes(known));
            if (newer) {
                put(received, host);
            }
        }
    }

    /** Returns the limit that this run of a target last named, or that it has stopped naming one. */
    public Optional<KnownLimit> limit(TargetIncarnation target) {
        return Optional.ofNullable(limits.get(target.id()))
                .filter(limit -> limit.target().equals(target));
    }

    /** Returns the last known limit of the target with the given id. */
    Optional<KnownLimit> limit(TargetId id) {
        return Optional.ofNullable(limits.get(id));
    }

    /** Returns the limits and the ends of limits that the other hosts need to know. */
    public List<KnownLimit> all() {
        return List.copyOf(limits.values());
    }

    /** Returns whether a target of a service names a limit. */
    boolean anyInForce(ServiceName service) {
        return limits.values().stream()
                .anyMatch(limit -> limit.inForce() && limit.service().equals(service));
    }

    /** Removes the limits of targets that {@code registered} replaces, or that have not been registered for long. */
    public void retain(Collection<TargetIncarnation> registered, long nowMillis) {
        Map<TargetId, TargetIncarnation> byId = new HashMap<>();
        Map<String, TargetIncarnation> byAuthority = new HashMap<>();
        for (TargetIncarnation target : registered) {
            byId.put(target.id(), target);
            byAuthority.put(target.authority(), target);
        }
        limits.values()
                .removeIf(limit -> isReplaced(
                                limit.target(), byId.get(limit.target().id()))
                        || isReplaced(
                                limit.target(), byAuthority.get(limit.target().authority()))
                        || isUnregisteredForLong(limit.target(), byId, nowMillis));
        unregisteredSince.keySet().retainAll(limits.keySet());
        reportedUnusable.retainAll(Set.copyOf(registered));
    }

    private static boolean isReplaced(TargetIncarnation target, TargetIncarnation current) {
        return current != null && target.isReplacedBy(current);
    }

    private boolean isUnregisteredForLong(
            TargetIncarnation target, Map<TargetId, TargetIncarnation> registered, long nowMillis) {
        if (registered.containsKey(target.id())) {
            unregisteredSince.remove(target.id());
            return false;
        }
        long since = unregisteredSince.computeIfAbsent(target.id(), _ -> nowMillis);
        return nowMillis - since >= UNREGISTERED_RETENTION_MILLIS;
    }

    private void change(TargetIncarnation target, ServiceName service, OptionalDouble rate, String source) {
        Optional<KnownLimit> known = limit(target);
        if (known.isPresent() && known.get().requestsPerSecond().equals(rate)) {
            return;
        }
        long version = known.map(KnownLimit::version).orElse(0L) + 1;
        put(new KnownLimit(target, service, rate, version), source);
    }

    private void put(KnownLimit limit, String source) {
        limits.put(limit.target().id(), limit);
        listener.onLimitChanged(limit, source);
    }
}
