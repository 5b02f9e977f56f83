package org.amaranthlock.coordination.forwarding;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;
import org.amaranthlock.model.FailureDomain;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.TargetId;

/**
 * Chooses the target of an attempt by what the hosts have in flight there and by recent failures.
 *
 * <p>It says which targets may be used and how loaded they are; a {@link PlacementPolicy} chooses among them. A target that
 * was set aside after a failure is used only if no other is left. Not thread-safe.
 */
public final class TargetLoadBalancer {
    /** Time for which a host's news count; a host that lives repeats them more often, milliseconds. */
    private static final long NEWS_MILLIS = 4_000;

    /** Connections to a target that each host may use however many hosts there are. */
    private static final int LEAST_CONNECTIONS = 2;

    private final FailureDomain ownDomain;
    private final PlacementPolicy placement;
    private final LoadSheddingPolicy overload;
    private final TargetHealth health = new TargetHealth();
    private final Map<TargetId, InFlightLoad> inFlight = new HashMap<>();
    private final Map<String, RemoteLoadReport> loadReport = new HashMap<>();

    /** Sum over all {@link #loadReport}, so that a choice takes no longer the more hosts there are. */
    private final Map<TargetId, InFlightLoad> heardInFlight = new HashMap<>();

    private TargetTable table = TargetTable.EMPTY;

    private record RemoteLoadReport(HostLoadReport news, long atMillis) {}

    /** Creates a picker for a host in {@code ownDomain}. */
    public TargetLoadBalancer(FailureDomain ownDomain, PlacementPolicy placement, LoadSheddingPolicy overload) {
        this.ownDomain = Objects.requireNonNull(ownDomain, "failure domain");
        this.placement = Objects.requireNonNull(placement, "placement");
        this.overload = Objects.requireNonNull(overload, "overload");
    }

    /** Replaces the known targets. */
    public void update(TargetTable fresh) {
        table = fresh;
        health.retain(id -> fresh.target(id).isPresent() || inFlight.containsKey(id));
    }

    /** Returns whether this start of a target is still registered. */
    public boolean isRegistered(EntryTarget target) {
        return table.contains(target);
    }

    /**
     * Chooses a target.
     *
     * @param tokens memory that the request is expected to need at an engine, tokens
     * @param avoided targets that this request has failed at
     */
    public Optional<EntryTarget> chooseTarget(
            ServiceDefinition service, long tokens, Set<TargetId> avoided, long nowMillis) {
        return placement.choose(service, tokens, candidates(service, avoided, nowMillis));
    }

    /** Returns when a client should come back if all engines are overloaded; empty if its request should be sent. */
    public OptionalLong retryAfterMillis(ServiceDefinition service, long tokens, long nowMillis) {
        return service.engine()
                ? overload.retryAfterMillis(service, tokens, candidates(service, Set.of(), nowMillis))
                : OptionalLong.empty();
    }

    /** Returns whether a request that makes no progress at its engine could begin at once at another one. */
    public boolean hasSpareCapacity(ServiceDefinition service, long tokens, Set<TargetId> avoided, long nowMillis) {
        return candidates(service, avoided, nowMillis).stream()
                .anyMatch(engine -> LoadSheddingPolicy.hasSpareCapacity(service, tokens, engine));
    }

    /** Chooses the engine that keeps a copy of a run: a sound one in another failure domain that has room. */
    public Optional<EntryTarget> chooseBackup(
            ServiceDefinition service, EntryTarget running, long tokens, Set<TargetId> avoided, long nowMillis) {
        dropOldNews(nowMillis);
        List<EntryTarget> candidates = table.targets(running.service()).stream()
                .filter(target -> !target.draining()
                        && !avoided.contains(target.id())
                        && !target.failureDomain().equals(running.failureDomain())
                        && health.isAvailable(target, nowMillis))
                .toList();
        return placement.chooseBackup(service, tokens, loads(candidates, nowMillis));
    }

    /** Takes over what another host tells of engines. */
    public void updateRemote(HostLoadReport told, long nowMillis) {
        RemoteLoadReport before = loadReport.put(told.host(), new RemoteLoadReport(told, nowMillis));
        if (before != null) {
            subtract(before.news());
        }
        told.inFlight().forEach((id, work) -> heardInFlight.merge(id, work, InFlightLoad::plus));
        for (TargetId id : told.unreachable()) {
            boolean fresh = before == null || !before.news().unreachable().contains(id);
            if (fresh) {
                table.target(id).ifPresent(target -> health.recordRemoteUnreachable(target, nowMillis));
            }
        }
    }

    /**
     * Returns what this host knows at first hand, to be told to other hosts.
     *
     * @param engines tells the services whose targets are engines
     * @param crashes what this host has counted in its {@link CrashHistory}
     * @param repeats what this host has counted in its {@link RetryUsage}
     */
    public HostLoadReport loadReport(
            String host, Predicate<ServiceName> engines, Map<Long, Integer> crashes, int repeats, long nowMillis) {
        Predicate<TargetId> engine = id ->
                table.target(id).map(target -> engines.test(target.service())).orElse(false);
        Map<TargetId, InFlightLoad> told = new HashMap<>(inFlight);
        told.keySet().removeIf(engine.negate());
        Set<TargetId> unreachable = new HashSet<>(health.unreachable(nowMillis));
        unreachable.removeIf(engine.negate());
        return new HostLoadReport(host, told, unreachable, crashes, repeats);
    }

    /** Counts work that starts at a target. */
    public void addLoad(EntryTarget target, InFlightLoad work) {
        inFlight.merge(target.id(), work, InFlightLoad::plus);
    }

    /** Counts work that ended at a target; the same work must have been counted as started. */
    public void removeLoad(EntryTarget target, InFlightLoad work) {
        inFlight.computeIfPresent(target.id(), (_, all) -> rest(all, work));
    }

    /** Returns whether this start of a target is registered and could be reached, so that it keeps what it held. */
    public boolean isAvailable(EntryTarget target, long nowMillis) {
        return table.contains(target) && health.isReachable(target, nowMillis);
    }

    /** Notes that a target answered. */
    public void recordSuccess(EntryTarget target, long nowMillis) {
        health.recordSuccess(target, nowMillis);
    }

    /** Notes that a target could not be reached, broke off or answered nothing. */
    public void recordFailure(EntryTarget target, long nowMillis) {
        health.recordFailure(target, nowMillis);
    }

    /** Notes that a target's host did not accept a connection. */
    public void recordUnreachable(EntryTarget target, long nowMillis) {
        health.unreachable(target, nowMillis);
    }

    /** Returns whether several targets of a failure domain could not be reached a short time ago. */
    public boolean isDomainFailing(FailureDomain domain, long nowMillis) {
        return health.isDomainFailing(domain, Set.of(), nowMillis);
    }

    /** Returns whether several targets of a failure domain, without those excepted, could not be reached. */
    public boolean isDomainFailing(FailureDomain domain, Set<TargetId> excepted, long nowMillis) {
        return health.isDomainFailing(domain, excepted, nowMillis);
    }

    /** Returns how many hosts are known to share the targets, this one included. */
    public int hostCount() {
        return loadReport.size() + 1;
    }

    /**
     * Returns whether this host has a connection left of its share of a target's limit. A target resets connections beyond
     * its limit, and an order that was on one of them has an unknown fate.
     */
    private boolean hasConnectionLeft(ServiceDefinition service, EntryTarget target) {
        int share = Math.max(LEAST_CONNECTIONS, service.maxConnections() / hostCount());
        return inFlight.getOrDefault(target.id(), InFlightLoad.NONE).requests() < share;
    }

    private List<CandidateLoad> candidates(ServiceDefinition service, Set<TargetId> avoided, long nowMillis) {
        dropOldNews(nowMillis);
        List<EntryTarget> usable = table.targets(service.name()).stream()
                .filter(target -> !target.draining() && !avoided.contains(target.id()))
                .filter(target -> hasConnectionLeft(service, target))
                .toList();
        List<EntryTarget> sound = usable.stream()
                .filter(target -> health.isAvailable(target, nowMillis))
                .toList();
        return loads(sound.isEmpty() ? usable : sound, nowMillis);
    }

    private List<CandidateLoad> loads(List<EntryTarget> targets, long nowMillis) {
        return targets.stream().map(target -> load(target, nowMillis)).toList();
    }

    private CandidateLoad load(EntryTarget target, long nowMillis) {
        InFlightLoad all = inFlight.getOrDefault(target.id(), InFlightLoad.NONE);
        all = all.plus(heardInFlight.getOrDefault(target.id(), InFlightLoad.NONE));
        return new CandidateLoad(
                target, all, target.failureDomain().equals(ownDomain), health.isSuspect(target, nowMillis));
    }

    private void dropOldNews(long nowMillis) {
        loadReport.values().removeIf(heard -> {
            boolean old = nowMillis - heard.atMillis() > NEWS_MILLIS;
            if (old) {
                subtract(heard.news());
            }
            return old;
        });
    }

    private void subtract(HostLoadReport old) {
        old.inFlight().forEach((id, work) -> heardInFlight.computeIfPresent(id, (_, all) -> rest(all, work)));
    }

    private static InFlightLoad rest(InFlightLoad all, InFlightLoad work) {
        InFlightLoad rest = all.minus(work);
        return rest.isEmpty() ? null : rest;
    }
}
