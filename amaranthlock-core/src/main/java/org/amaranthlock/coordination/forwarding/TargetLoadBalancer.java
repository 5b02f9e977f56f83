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
    private static final long REPORT_EXPIRY_MILLIS = 4_000;

    /** Connections to a target that each host may use however many hosts there are. */
    private static final int MIN_CONNECTIONS_PER_HOST = 2;

    private final FailureDomain localDomain;
    private final PlacementPolicy placementPolicy;
    private final LoadSheddingPolicy loadSheddingPolicy;
    private final TargetHealth health = new TargetHealth();
    private final Map<TargetId, InFlightLoad> inFlight = new HashMap<>();
    private final Map<String, RemoteLoadReport> remoteReports = new HashMap<>();

    /** Sum over all {@link #remoteReports}, so that a choice takes no longer the more hosts there are. */
    private final Map<TargetId, InFlightLoad> remoteInFlight = new HashMap<>();

    private TargetTable table = TargetTable.EMPTY;

    private record RemoteLoadReport(HostLoadReport report, long atMillis) {}

    /** Creates a picker for a host in {@code ownDomain}. */
    public TargetLoadBalancer(FailureDomain ownDomain, PlacementPolicy placement, LoadSheddingPolicy overload) {
        this.localDomain = Objects.requireNonNull(ownDomain, "failure domain");
        this.placementPolicy = Objects.requireNonNull(placement, "placement");
        this.loadSheddingPolicy = Objects.requireNonNull(overload, "overload");
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
        return placementPolicy.chooseTarget(service, tokens, candidates(service, avoided, nowMillis));
    }

    /** Returns when a client should come back if all engines are overloaded; empty if its request should be sent. */
    public OptionalLong retryAfterMillis(ServiceDefinition service, long tokens, long nowMillis) {
        return service.engine()
                ? loadSheddingPolicy.retryAfterMillis(service, tokens, candidates(service, Set.of(), nowMillis))
                : OptionalLong.empty();
    }

    /** Returns whether a request that makes no progress at its engine could begin at once at another one. */
    public boolean hasSpareCapacity(ServiceDefinition service, long tokens, Set<TargetId> avoided, long nowMillis) {
        return candidates(service, avoided, nowMillis).stream()
                .anyMatch(engine -> LoadSheddingPolicy.hasSpareCapacity(service, tokens, engine));
    }

    /** Chooses the engine that keeps a copy of a run: a sound one in another failure domain that has room. */
    public Optional<EntryTarget> chooseBackup(
            ServiceDefinition service, EntryTarget primary, long tokens, Set<TargetId> avoided, long nowMillis) {
        expireRemoteReports(nowMillis);
        List<EntryTarget> candidates = table.targets(primary.service()).stream()
                .filter(target -> !target.draining()
                        && !avoided.contains(target.id())
                        && !target.failureDomain().equals(primary.failureDomain())
                        && health.isAvailable(target, nowMillis))
                .toList();
        return placementPolicy.chooseBackup(service, tokens, candidateLoads(candidates, nowMillis));
    }

    /** Takes over what another host tells of engines. */
    public void updateRemote(HostLoadReport report, long nowMillis) {
        RemoteLoadReport before = remoteReports.put(report.host(), new RemoteLoadReport(report, nowMillis));
        if (before != null) {
            subtract(before.report());
        }
        report.inFlight().forEach((id, work) -> remoteInFlight.merge(id, work, InFlightLoad::plus));
        for (TargetId id : report.unreachable()) {
            boolean fresh = before == null || !before.report().unreachable().contains(id);
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
     * @param retries what this host has counted in its {@link RetryUsage}
     */
    public HostLoadReport loadReport(
            String host, Predicate<ServiceName> engines, Map<Long, Integer> crashes, int retries, long nowMillis) {
        Predicate<TargetId> engine = id ->
                table.target(id).map(target -> engines.test(target.service())).orElse(false);
        Map<TargetId, InFlightLoad> told = new HashMap<>(inFlight);
        told.keySet().removeIf(engine.negate());
        Set<TargetId> unreachable = new HashSet<>(health.unreachable(nowMillis));
        unreachable.removeIf(engine.negate());
        return new HostLoadReport(host, told, unreachable, crashes, retries);
    }

    /** Counts work that starts at a target. */
    public void addLoad(EntryTarget target, InFlightLoad work) {
        inFlight.merge(target.id(), work, InFlightLoad::plus);
    }

    /** Counts work that ended at a target; the same work must have been counted as started. */
    public void removeLoad(EntryTarget target, InFlightLoad work) {
        inFlight.computeIfPresent(target.id(), (_, all) -> remaining(all, work));
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
        return remoteReports.size() + 1;
    }

    /**
     * Returns whether this host has a connection left of its share of a target's limit. A target resets connections beyond
     * its limit, and an order that was on one of them has an unknown fate.
     */
    private boolean hasConnectionLeft(ServiceDefinition service, EntryTarget target) {
        int share = Math.max(MIN_CONNECTIONS_PER_HOST, service.maxConnections() / hostCount());
        return inFlight.getOrDefault(target.id(), InFlightLoad.NONE).requests() < share;
    }

    private List<CandidateLoad> candidates(ServiceDefinition service, Set<TargetId> avoided, long nowMillis) {
        expireRemoteReports(nowMillis);
        List<EntryTarget> usable = table.targets(service.name()).stream()
                .filter(target -> !target.draining() && !avoided.contains(target.id()))
                .filter(target -> hasConnectionLeft(service, target))
                .toList();
        List<EntryTarget> available = usable.stream()
                .filter(target -> health.isAvailable(target, nowMillis))
                .toList();
        return candidateLoads(available.isEmpty() ? usable : available, nowMillis);
    }

    private List<CandidateLoad> candidateLoads(List<EntryTarget> targets, long nowMillis) {
        return targets.stream().map(target -> candidateLoad(target, nowMillis)).toList();
    }

    private CandidateLoad candidateLoad(EntryTarget target, long nowMillis) {
        InFlightLoad all = inFlight.getOrDefault(target.id(), InFlightLoad.NONE);
        all = all.plus(remoteInFlight.getOrDefault(target.id(), InFlightLoad.NONE));
        return new CandidateLoad(
                target, all, target.failureDomain().equals(localDomain), health.isSuspect(target, nowMillis));
    }

    private void expireRemoteReports(long nowMillis) {
        remoteReports.values().removeIf(heard -> {
            boolean old = nowMillis - heard.atMillis() > REPORT_EXPIRY_MILLIS;
            if (old) {
                subtract(heard.report());
            }
            return old;
        });
    }

    private void subtract(HostLoadReport old) {
        old.inFlight().forEach((id, work) -> remoteInFlight.computeIfPresent(id, (_, all) -> remaining(all, work)));
    }

    private static InFlightLoad remaining(InFlightLoad all, InFlightLoad work) {
        InFlightLoad rest = all.minus(work);
        return rest.isEmpty() ? null : rest;
    }
}
