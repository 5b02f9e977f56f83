package org.amaranthlock.coordination.forwarding;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;
import org.amaranthlock.coordination.availability.TargetAvailability;
import org.amaranthlock.coordination.brittle.BrittleStatement;
import org.amaranthlock.coordination.brittle.BrittleTargets;
import org.amaranthlock.coordination.placement.CandidateLoad;
import org.amaranthlock.coordination.placement.FleetEstimates;
import org.amaranthlock.coordination.placement.FleetView;
import org.amaranthlock.coordination.placement.PlacementChoice;
import org.amaranthlock.coordination.placement.PlacementPolicy;
import org.amaranthlock.coordination.region.Crossing;
import org.amaranthlock.coordination.region.RegionLinks;
import org.amaranthlock.coordination.rollout.RolloutGate;
import org.amaranthlock.coordination.targetlimit.TargetPermits;
import org.amaranthlock.model.FailureDomain;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.SoftwareVersion;
import org.amaranthlock.model.TargetId;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Chooses the target of an attempt based on the load in flight from all hosts and on recent failures.
 *
 * <p>Determines the candidate targets and their load; a {@link PlacementPolicy} chooses among them. A target that is
 * excluded after a failure is used only if no other is left. Not thread-safe.
 */
public final class TargetLoadBalancer {
    private final FailureDomain localDomain;
    private final PlacementPolicy placementPolicy;
    private final LoadSheddingPolicy loadSheddingPolicy;
    private final TargetPermits permits;
    private final BrittleTargets brittleTargets;
    private final TargetAvailability availability;
    private final VersionAdmission versions;
    private final RegionLinks links;
    private final BackupChooser backupChooser;
    private final Mechanisms mechanisms;
    private final TargetHealth health = new TargetHealth();
    private final TargetPaths paths = new TargetPaths(health);
    private final Map<TargetId, InFlightLoad> inFlight = new HashMap<>();
    private final RemoteLoadReports remoteReports = new RemoteLoadReports();
    private final TargetEligibility eligibility;
    private final FleetEstimates estimates;
    private TargetTable table = TargetTable.EMPTY;

    /** Creates a load balancer for a host in {@code localDomain}. */
    public TargetLoadBalancer(
            FailureDomain localDomain,
            PlacementPolicy placementPolicy,
            LoadSheddingPolicy loadSheddingPolicy,
            TargetPermits permits,
            BrittleTargets brittleTargets,
            TargetAvailability availability,
            RolloutGate rolloutGate,
            RegionLinks links,
            Mechanisms mechanisms) {
        this.links = Objects.requireNonNull(links, "links");
        this.localDomain = Objects.requireNonNull(localDomain, "local domain");
        this.placementPolicy = Objects.requireNonNull(placementPolicy, "placement policy");
        this.mechanisms = Objects.requireNonNull(mechanisms, "mechanisms");
        this.permits = Objects.requireNonNull(permits, "permits");
        this.estimates = new FleetEstimates(permits.localHost());
        this.availability = Objects.requireNonNull(availability, "availability");
        this.versions = new VersionAdmission(rolloutGate);
        this.brittleTargets = Objects.requireNonNull(brittleTargets, "brittle targets");
        this.eligibility =
                new TargetEligibility(permits, brittleTargets, availability, versions, health, new KnownLoad());
        this.backupChooser = new BackupChooser(placementPolicy, links, mechanisms);
        this.loadSheddingPolicy = Objects.requireNonNull(loadSheddingPolicy, "load shedding policy");
    }

    /** Replaces the known targets. */
    public void update(TargetTable newTable) {
        table = newTable;
        permits.updateTargets(
                newTable.targets().stream().map(EntryTarget::incarnation).toList());
        brittleTargets.retain(id -> newTable.target(id).isPresent());
        estimates.retain(id -> newTable.target(id).isPresent());
        health.retain(id -> newTable.target(id).isPresent() || inFlight.containsKey(id));
    }

    /** Returns whether this incarnation of a target is still registered. */
    public boolean isRegistered(EntryTarget target) {
        return table.contains(target);
    }

    /**
     * Chooses a target.
     *
     * @param tokens KV cache size that the request is expected to need on an engine, in tokens
     */
    public Optional<EntryTarget> chooseTarget(
            ServiceDefinition service, long tokens, TargetConstraint constraint, long nowMillis) {
        List<CandidateLoad> candidates = candidates(service, constraint, nowMillis);
        if (!candidates.isEmpty()) {
            permits.prefetch(service.name(), limitedTargets(service, constraint, nowMillis));
        }
        Optional<EntryTarget> chosen = placementPolicy
                .chooseTarget(service, tokens, candidates, fleetView(service, tokens, nowMillis))
                .filter(target -> brittleTargets.admit(
                        target.id(),
                        target.slots(),
                        allInFlight(target.id()).requests(),
                        hostCount(),
                        candidates.size(),
                        nowMillis));
        chosen.ifPresent(target -> {
            estimates.recordPlacement(target.service(), nowMillis);
            links.recordPlacement(target.failureDomain());
        });
        return chosen;
    }

    FleetView fleetView(ServiceDefinition service, long tokens, long nowMillis) {
        boolean allowForUnseen = mechanisms.uses(Mechanism.UNSEEN_PLACEMENTS);
        return estimates.view(
                service,
                tokens,
                remoteReports.hosts(),
                links.localRequestsPerMilli(service.name()),
                allowForUnseen,
                nowMillis);
    }

    /** Returns the expected number of streams that other hosts have placed and not yet reported. */
    double expectedUnseenPlacements(long nowMillis) {
        return mechanisms.uses(Mechanism.UNSEEN_PLACEMENTS) ? estimates.expectedUnseen(nowMillis) : 0;
    }

    /** Returns the targets that could be chosen if this host had a permit for them, least loaded first. */
    public List<TargetId> limitedTargets(ServiceDefinition service, TargetConstraint constraint, long nowMillis) {
        return usableTargets(service, constraint, nowMillis).stream()
                .filter(target -> !permits.mayReceive(target.incarnation()))
                .sorted(Comparator.comparingInt(target ->
                        inFlight.getOrDefault(target.id(), InFlightLoad.NONE).requests()))
                .map(EntryTarget::id)
                .toList();
    }

    /** Returns the permits for targets that limit their request rate. */
    public TargetPermits permits() {
        return permits;
    }

    /** Returns the gate that decides which versions new requests use. */
    public RolloutGate rolloutGate() {
        return versions.gate();
    }

    /** Returns what the targets have said of their availability. */
    public TargetAvailability availability() {
        return availability;
    }

    /**
     * Returns whether a target may be sent a request now: it neither rests nor leaves, and this host has a permit if the
     * target limits its request rate.
     */
    public boolean mayReceive(EntryTarget target, long nowMillis) {
        return eligibility.acceptsByOwnStatement(target, nowMillis)
                && permits.mayReceive(target.incarnation())
                && versions.mayContinue(target);
    }

    /** Returns whether a target gets calls of this host itself; each would count as a request of a client does. */
    public boolean acceptsCalls(EntryTarget target, long nowMillis) {
        return !permits.isLimited(target.incarnation())
                && availability.restEndMillis(target.incarnation(), nowMillis).isEmpty();
    }

    /** Returns when the first target of a service takes requests again; empty unless all of them rest. */
    public OptionalLong restEndMillis(ServiceName service, long nowMillis) {
        List<OptionalLong> ends = table.targets(service).stream()
                .filter(target -> !eligibility.isDraining(target))
                .map(target -> availability.restEndMillis(target.incarnation(), nowMillis))
                .toList();
        return ends.stream().allMatch(OptionalLong::isPresent)
                ? ends.stream().mapToLong(OptionalLong::getAsLong).min()
                : OptionalLong.empty();
    }

    /** Returns the unlimited targets of a service that may hold the KV cache of earlier requests. */
    public List<EntryTarget> reachableTargets(ServiceName service, long nowMillis) {
        return table.targets(service).stream()
                .filter(target -> eligibility.takesRequests(target, nowMillis)
                        && !permits.isLimited(target.incarnation())
                        && health.isAvailable(target, nowMillis))
                .toList();
    }

    /** Returns the retry delay for a client if all engines are overloaded; empty if its request is to be sent. */
    public OptionalLong retryAfterMillis(ServiceDefinition service, long tokens, long nowMillis) {
        return service.engine() && mechanisms.uses(Mechanism.LOAD_SHEDDING)
                ? loadSheddingPolicy.retryAfterMillis(
                        service, tokens, candidates(service, TargetConstraint.NONE, nowMillis))
                : OptionalLong.empty();
    }

    /** Returns what {@link #retryAfterMillis} would return now, with a copy of its random generator. */
    OptionalLong previewRetryAfterMillis(
            ServiceDefinition service, long tokens, UniformRandomProvider random, long nowMillis) {
        return service.engine() && mechanisms.uses(Mechanism.LOAD_SHEDDING)
                ? LoadSheddingPolicy.retryAfterMillis(
                        service, tokens, candidates(service, TargetConstraint.NONE, nowMillis), random)
                : OptionalLong.empty();
    }

    /** Returns the load of the targets that a request may be sent to, whichever version's turn it is. */
    List<CandidateLoad> usableLoads(ServiceDefinition service, TargetConstraint constraint, long nowMillis) {
        expireRemoteReports(nowMillis);
        List<EntryTarget> open = eligibility.open(table.targets(service.name()), service, constraint, nowMillis);
        return permittedLoads(open, nowMillis);
    }

    /** Returns whether a request that makes no progress on its engine could start immediately on another one. */
    public boolean hasSpareCapacity(
            ServiceDefinition service, long tokens, TargetConstraint constraint, long nowMillis) {
        return candidates(service, constraint, nowMillis).stream()
                .anyMatch(engine -> LoadSheddingPolicy.hasSpareCapacity(service, tokens, engine));
    }

    /**
     * Returns whether only targets of other versions are left that take new requests. A service without any target says
     * nothing about its versions, for example while its targets start again.
     */
    public boolean isVersionGone(ServiceName service, SoftwareVersion version) {
        List<EntryTarget> serving = table.targets(service).stream()
                .filter(target -> !eligibility.isDraining(target))
                .toList();
        boolean registered =
                serving.stream().anyMatch(target -> target.version().equals(version));
        return !versions.gate().mayContinue(service, version) || (!serving.isEmpty() && !registered);
    }

    /**
     * Chooses an available engine with free KV cache in another failure domain for the backup of a stream. It runs the
     * version of the stream's engine, because the stream goes on there if that engine is lost.
     */
    public Optional<EntryTarget> chooseBackup(
            ServiceDefinition service, EntryTarget primary, long tokens, Set<TargetId> avoided, long nowMillis) {
        return backupChooser.choose(
                service,
                primary.failureDomain(),
                tokens,
                backupEngines(primary, avoided, nowMillis),
                backupFleet(service, tokens, nowMillis));
    }

    /** Returns the choice of an engine for the backup of a stream, without making it. */
    Optional<PlacementChoice> previewBackup(
            ServiceDefinition service,
            EntryTarget primary,
            long tokens,
            Set<TargetId> avoided,
            UniformRandomProvider random,
            long nowMillis) {
        return backupChooser.preview(
                service,
                primary.failureDomain(),
                tokens,
                backupEngines(primary, avoided, nowMillis),
                backupFleet(service, tokens, nowMillis),
                random);
    }

    private List<EntryTarget> backupEngines(EntryTarget primary, Set<TargetId> avoided, long nowMillis) {
        expireRemoteReports(nowMillis);
        return table.targets(primary.service()).stream()
                .filter(target -> eligibility.takesRequests(target, nowMillis)
                        && !avoided.contains(target.id())
                        && !permits.isLimited(target.incarnation())
                        && !target.failureDomain().equals(primary.failureDomain())
                        && target.version().equals(primary.version())
                        && health.isAvailable(target, nowMillis))
                .toList();
    }

    private BackupChooser.Fleet backupFleet(ServiceDefinition service, long tokens, long nowMillis) {
        return new BackupChooser.Fleet(
                engines -> candidateLoads(engines, nowMillis),
                fleetView(service, tokens, nowMillis),
                BackupChooser.backupsByDomain(inFlight, table),
                domain -> isDomainFailing(domain, nowMillis));
    }

    /** Applies a report that another host has just made. */
    public void updateRemote(HostLoadReport report, long nowMillis) {
        updateRemote(report, nowMillis, nowMillis);
    }

    /**
     * Applies a report of another host.
     *
     * @param madeAtMillis time at which the other host made the report
     */
    public void updateRemote(HostLoadReport report, long madeAtMillis, long nowMillis) {
        permits.updateRemote(report.host(), report.limits(), madeAtMillis);
        brittleTargets.updateRemote(report.host(), report.brittle(), madeAtMillis);
        HostLoadReport before =
                remoteReports.put(report, madeAtMillis).orElseGet(() -> HostLoadReport.empty(report.host()));
        links.updateRemote(report.host(), report.region());
        estimates.recordReport(before.inFlight(), report, nowMillis - madeAtMillis, nowMillis);
        // A target that stays unreachable is reported repeatedly; only its first report excludes it. What a host cannot
        // reach that has no path to any target of the service says nothing about the target.
        for (TargetId id : report.unreachable()) {
            boolean hostIsCut = table.target(id)
                    .filter(target -> report.cutServices().contains(target.service()))
                    .isPresent();
            if (hostIsCut) {
                continue;
            }
            if (!before.unreachable().contains(id)) {
                table.target(id).ifPresent(target -> health.recordRemoteUnreachable(target, madeAtMillis));
            }
        }
    }

    /**
     * Returns the observations of this host itself, to be reported to other hosts.
     *
     * @param engines matches the services whose targets are engines
     * @param crashes crashes that this host has counted in its {@link CrashHistory}
     * @param retries retries that this host has counted in its {@link RetryUsage}
     */
    public HostLoadReport loadReport(
            String host, Predicate<ServiceName> engines, Map<Long, Integer> crashes, int retries, long nowMillis) {
        Predicate<TargetId> isEngine = id ->
                table.target(id).map(target -> engines.test(target.service())).orElse(false);
        Map<TargetId, InFlightLoad> engineLoad = new HashMap<>(inFlight);
        engineLoad.keySet().removeIf(id -> !isEngine.test(id) && !brittleTargets.isBrittle(id, nowMillis));
        Set<TargetId> unreachable = new HashSet<>(health.unreachableTargets(nowMillis));
        unreachable.removeIf(isEngine.negate());
        return new HostLoadReport(
                        host,
                        engineLoad,
                        unreachable,
                        crashes,
                        retries,
                        paths.cutServices(table, nowMillis),
                        brittleTargets.report(nowMillis),
                        permits.report())
                .withSpeeds(mechanisms.uses(Mechanism.EVEN_LOAD) ? estimates.reportedSpeeds(nowMillis) : Map.of())
                .withRegion(links.report(estimates.ownRates(nowMillis), nowMillis));
    }

    /** Returns whether this host has no path to the targets of a service while another host has one. */
    public boolean shouldRelay(ServiceName service, long nowMillis) {
        return isCut(service, nowMillis) && hasHostWithPath(service, nowMillis);
    }

    /** Returns whether requests may be passed to another host, and one has a path to the targets of a service. */
    boolean hasHostWithPath(ServiceName service, long nowMillis) {
        return mechanisms.uses(Mechanism.RELAY)
                && !hostsWithPath(service, nowMillis).isEmpty();
    }

    /** Returns whether this host has no path to the targets of a service, as its own connections show. */
    public boolean isCut(ServiceName service, long nowMillis) {
        return paths.isCut(service, table, nowMillis);
    }

    /** Returns the targets that are to be checked because this host seems to have no path to their service. */
    public List<EntryTarget> targetsWithoutPath(long nowMillis) {
        return paths.targetsWithoutPath(table, nowMillis);
    }

    /** Returns the hosts that report and have a path to the targets of a service. */
    public Set<String> hostsWithPath(ServiceName service, long nowMillis) {
        return remoteReports.hostsWithPath(service, nowMillis);
    }

    /** Returns whether another host has reported within the time in which a running host reports. */
    public boolean isReporting(String host, long nowMillis) {
        return remoteReports.isReporting(host, nowMillis);
    }

    /** Adds load in flight on a target. */
    public void addLoad(EntryTarget target, InFlightLoad load) {
        inFlight.merge(target.id(), load, InFlightLoad::plus);
    }

    /** Removes load in flight on a target, which must have been added before. */
    public void removeLoad(EntryTarget target, InFlightLoad load) {
        inFlight.computeIfPresent(target.id(), (_, all) -> all.minusOrNull(load));
    }

    /**
     * Returns whether this incarnation of a target is registered and reachable, and so still has its KV cache copies.
     */
    public boolean isReachable(EntryTarget target, long nowMillis) {
        return table.contains(target) && health.isReachable(target, nowMillis);
    }

    /** Records that a target responded. */
    public void recordSuccess(EntryTarget target, long nowMillis) {
        health.recordSuccess(target, nowMillis);
    }

    /** Records that a connection or a request to a target failed. */
    public void recordFailure(EntryTarget target, long nowMillis) {
        health.recordFailure(target, nowMillis);
    }

    /** Records that a target rejected a request for want of room. */
    public void recordRejection(EntryTarget target, long nowMillis) {
        brittleTargets.recordRejection(target.id(), nowMillis);
        estimates.recordFull(target, nowMillis);
    }

    /** Returns the number of requests of all hosts, as known to this host, that a target has not begun to answer. */
    int prefilling(TargetId target) {
        return allInFlight(target).prefilling();
    }

    /** Returns whether a target fails if it rejects too many requests, so that its load is shared in another way. */
    boolean isBrittle(EntryTarget target, long nowMillis) {
        return brittleTargets.isBrittle(target.id(), nowMillis);
    }

    /** Returns the round trip to a target in another region, in milliseconds; 0 in this host's region. */
    long roundTripMillis(EntryTarget target) {
        return Math.round(links.roundTripMillis(target.failureDomain()));
    }

    /** Returns the links to the other regions. */
    public RegionLinks links() {
        return links;
    }

    /** Returns the estimates of the fleet, which include the speeds of targets. */
    public FleetEstimates estimates() {
        return estimates;
    }

    /** Records what a response states about how many rejections its target survives. */
    public void recordBrittleness(EntryTarget target, BrittleStatement statement, long nowMillis) {
        brittleTargets.observe(target.id(), statement, nowMillis);
    }

    /** Records that a target's host did not accept a connection. */
    public void recordUnreachable(EntryTarget target, long nowMillis) {
        brittleTargets.recordUnreachable(target.id(), nowMillis);
        health.recordUnreachable(target, nowMillis);
    }

    /** Returns whether several targets of a failure domain were recently unreachable. */
    public boolean isDomainFailing(FailureDomain domain, long nowMillis) {
        return health.isDomainFailing(domain, Set.of(), nowMillis);
    }

    /** Returns whether several targets of a failure domain, except {@code excepted}, were recently unreachable. */
    public boolean isDomainFailing(FailureDomain domain, Set<TargetId> excepted, long nowMillis) {
        return health.isDomainFailing(domain, excepted, nowMillis);
    }

    /** Returns the number of hosts known to share the targets, including this one. */
    public int hostCount() {
        return remoteReports.hosts().size() + 1;
    }

    private InFlightLoad allInFlight(TargetId target) {
        return inFlight.getOrDefault(target, InFlightLoad.NONE).plus(remoteReports.inFlight(target));
    }

    /** Returns the load of the targets among which a request is placed. */
    List<CandidateLoad> candidates(ServiceDefinition service, TargetConstraint constraint, long nowMillis) {
        return permittedLoads(usableTargets(service, constraint, nowMillis), nowMillis);
    }

    private List<CandidateLoad> permittedLoads(List<EntryTarget> targets, long nowMillis) {
        List<EntryTarget> permitted = targets.stream()
                .filter(target -> permits.mayReceive(target.incarnation()))
                .toList();
        return candidateLoads(permitted, nowMillis);
    }

    private List<EntryTarget> usableTargets(ServiceDefinition service, TargetConstraint constraint, long nowMillis) {
        expireRemoteReports(nowMillis);
        return eligibility.admitted(table.targets(service.name()), service, constraint, nowMillis);
    }

    /** Returns why a target is not among the {@link #candidates}. */
    LeftOutReason leftOutReason(
            ServiceDefinition service, EntryTarget target, TargetConstraint constraint, long nowMillis) {
        return eligibility.leftOutReason(service, target, constraint, nowMillis);
    }

    /** Returns the registered targets of a service. */
    List<EntryTarget> targets(ServiceName service) {
        return table.targets(service);
    }

    /** Returns the load reports of the other hosts. */
    RemoteLoadReports remoteReports() {
        return remoteReports;
    }

    /** Returns the policy that chooses among the candidates. */
    PlacementPolicy placementPolicy() {
        return placementPolicy;
    }

    /** Returns whether a chosen target would be sent a request now, with a copy of the random generator. */
    boolean wouldAdmit(PlacementChoice choice, UniformRandomProvider copy, long nowMillis) {
        EntryTarget target = choice.target();
        return brittleTargets.previewAdmit(
                target.id(),
                target.slots(),
                allInFlight(target.id()).requests(),
                hostCount(),
                choice.candidates().size(),
                copy,
                nowMillis);
    }

    private List<CandidateLoad> candidateLoads(List<EntryTarget> targets, long nowMillis) {
        Map<FailureDomain, Crossing> crossings = links.crossings(targets, nowMillis);
        return targets.stream()
                .map(target ->
                        candidateLoad(target, crossings.getOrDefault(target.failureDomain(), Crossing.NONE), nowMillis))
                .toList();
    }

    private CandidateLoad candidateLoad(EntryTarget target, Crossing crossing, long nowMillis) {
        InFlightLoad all = mechanisms.uses(Mechanism.SHARED_LOAD)
                ? allInFlight(target.id())
                : inFlight.getOrDefault(target.id(), InFlightLoad.NONE);
        boolean suspect = mechanisms.uses(Mechanism.DOMAIN_SUSPICION) && health.isSuspect(target, nowMillis);
        return new CandidateLoad(
                target,
                all,
                target.failureDomain().equals(localDomain),
                suspect,
                estimates.slowness(target, nowMillis),
                estimates.isFull(target, nowMillis),
                crossing);
    }

    private void expireRemoteReports(long nowMillis) {
        remoteReports.expire(nowMillis, host -> {
            estimates.removeHost(host);
            links.removeRemote(host);
        });
    }

    private final class KnownLoad implements TargetEligibility.Load {
        @Override
        public int ownRequests(TargetId target) {
            return inFlight.getOrDefault(target, InFlightLoad.NONE).requests();
        }

        @Override
        public int allRequests(TargetId target) {
            return allInFlight(target).requests();
        }

        @Override
        public int hostCount() {
            return TargetLoadBalancer.this.hostCount();
        }
    }
}
