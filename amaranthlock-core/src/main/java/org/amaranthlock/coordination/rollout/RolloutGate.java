package org.amaranthlock.coordination.rollout;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.stream.Collectors;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.SoftwareVersion;
import org.amaranthlock.model.TargetId;

/**
 * Decides which versions of a service a new request of this host may use, and counts the outcomes by version.
 *
 * <p>A version that appears beside another one receives no requests until the orders have been read. If an order names
 * it, it receives the share that the controller grants; grants expire. If a service has targets of excluded versions
 * only, these serve its requests. Not thread-safe.
 */
public final class RolloutGate {
    /**
     * Time within which lost requests at one target count as one failure, in milliseconds; a crash loses all at once.
     */
    private static final long LOSS_WINDOW_MILLIS = 1_000;

    /**
     * Divisor of a route's latency goal; answers faster than the quotient count as equally fast. Otherwise short pauses of
     * a host would make the answers of a fast service look slow.
     */
    private static final long EQUALLY_FAST_DIVISOR = 30;

    private final boolean enabled;
    private final String host;
    private final long incarnation;
    private final DoubleSupplier random;
    private final Map<ServiceName, ServiceVersions> services = new HashMap<>();
    private final Map<ServiceName, ActiveRollout> rollouts = new HashMap<>();
    private final Map<RequestGroup, Integer> running = new HashMap<>();
    private final Map<TargetId, Long> warmUntilMillis = new HashMap<>();
    private final Map<TargetId, Long> lastLossMillis = new HashMap<>();

    private record RequestGroup(ServiceName service, String route, SoftwareVersion version) {}

    /**
     * Target that accepts requests.
     *
     * @param remainingWarmUpMillis remaining time for which it is expected to be slow after its start, in milliseconds
     * @param startedAtMillis start time in Unix milliseconds; 0 if unknown
     */
    public record GateTarget(
            ServiceName service,
            SoftwareVersion version,
            TargetId id,
            long remainingWarmUpMillis,
            long startedAtMillis) {
        public GateTarget {
            Objects.requireNonNull(service, "service");
            Objects.requireNonNull(version, "version");
            Objects.requireNonNull(id, "id");
        }
    }

    /**
     * Creates a gate.
     *
     * @param incarnation number that differs between starts of the host
     * @param random returns random numbers from 0 to 1, so that not all hosts begin with a request to the new version
     */
    public RolloutGate(String host, long incarnation, DoubleSupplier random) {
        this(true, host, incarnation, random);
    }

    private RolloutGate(boolean enabled, String host, long incarnation, DoubleSupplier random) {
        this.enabled = enabled;
        this.host = Objects.requireNonNull(host, "host");
        this.incarnation = incarnation;
        this.random = Objects.requireNonNull(random, "random");
    }

    /** Returns a gate that allows all versions. */
    public static RolloutGate disabled() {
        return new RolloutGate(false, "", 0, () -> 0);
    }

    /** Replaces the known targets. */
    public void updateTargets(Collection<GateTarget> targets, long nowMillis) {
        if (!enabled) {
            return;
        }
        Map<ServiceName, List<GateTarget>> byService =
                targets.stream().collect(Collectors.groupingBy(GateTarget::service));
        services.keySet().retainAll(byService.keySet());
        Set<ServiceName> known = Set.copyOf(services.keySet());
        byService.forEach((service, registered) -> services.computeIfAbsent(service, _ -> new ServiceVersions())
                .update(registered, orderedVersion(service), nowMillis));
        rollouts.values().forEach(rollout -> {
            applyFinalStep(rollout, false);
            if (!known.contains(rollout.order().service())) {
                closeOlder(rollout);
            }
        });
        Set<TargetId> ids = targets.stream().map(GateTarget::id).collect(Collectors.toSet());
        warmUntilMillis.keySet().retainAll(ids);
        lastLossMillis.keySet().retainAll(ids);
        targets.forEach(target -> warmUntilMillis.putIfAbsent(target.id(), nowMillis + target.remainingWarmUpMillis()));
    }

    /**
     * Replaces the known orders. A version that no order names and that was registered before the read is opened to all
     * requests.
     *
     * @param finalSteps final steps of the orders that have ended, by id of the order
     * @param readSentMillis time at which the read of the store was sent, by the clock of {@code nowMillis}
     */
    public void updateOrders(
            List<RolloutOrder> orders, Map<String, RolloutStep> finalSteps, long readSentMillis, long nowMillis) {
        if (!enabled) {
            return;
        }
        Map<ServiceName, RolloutOrder> byService =
                orders.stream().collect(Collectors.toMap(RolloutOrder::service, order -> order, (first, _) -> first));
        for (ActiveRollout rollout : List.copyOf(rollouts.values())) {
            RolloutOrder replacement = byService.get(rollout.order().service());
            boolean gone = replacement == null
                    || !replacement.id().equals(rollout.order().id());
            if (gone && rollout.isRemovedBy(readSentMillis)) {
                end(rollout);
            }
        }
        Set<ServiceName> known = Set.copyOf(rollouts.keySet());
        byService.forEach((service, order) -> {
            ActiveRollout rollout = rollouts.computeIfAbsent(service, _ -> begin(order, nowMillis));
            if (rollout.order().id().equals(order.id())) {
                rollout.markListed();
            }
            RolloutStep step = finalSteps.get(order.id());
            if (step != null && rollout.order().id().equals(order.id())) {
                boolean justNow = known.contains(service) && !rollout.step().isFinal();
                rollout.finish(step);
                applyFinalStep(rollout, justNow);
                if (!known.contains(service)) {
                    closeOlder(rollout);
                }
            }
        });
        services.forEach((service, versions) -> versions.open(
                Optional.ofNullable(rollouts.get(service))
                        .map(rollout -> rollout.order().version()),
                readSentMillis));
    }

    /**
     * Applies a grant. If no order is known for its service, the grant's order is added; grants of another order than
     * the known one are ignored.
     */
    public void onGrant(RolloutGrant grant, long nowMillis) {
        if (!enabled) {
            return;
        }
        ServiceName service = grant.order().service();
        ActiveRollout known = rollouts.get(service);
        if (known == null) {
            known = begin(grant.order(), nowMillis);
            rollouts.put(service, known);
        }
        if (known.order().id().equals(grant.order().id())) {
            boolean ended = known.step().isFinal();
            known.apply(grant, nowMillis);
            if (!ended && known.step().isFinal()) {
                applyFinalStep(known, true);
            }
        }
    }

    /** Returns whether a registered version receives no requests until the orders are read again. */
    public boolean awaitsOrders() {
        return services.entrySet().stream()
                .anyMatch(service -> service.getValue().hasUnknown(namedVersion(service.getKey())));
    }

    /** Returns whether a target is preferred for the next new request of a service. */
    public boolean prefers(ServiceName service, SoftwareVersion version, TargetId target, long nowMillis) {
        if (!enabled || ignoresVersions(service)) {
            return true;
        }
        Optional<ActiveRollout> rollout = running(service);
        boolean turnOfNew = rollout.isPresent() && rollout.get().isTurnOfNew(nowMillis);
        if (rollout.isPresent() && rollout.get().isNew(version)) {
            double targetShare = rollout.get().targetShare();
            return turnOfNew && services.get(service).isAmong(version, target, targetShare);
        }
        return !turnOfNew && services.get(service).isOpen(version);
    }

    /** Returns whether the next new request of a service may go to a version if no preferred target accepts it. */
    public boolean allows(ServiceName service, SoftwareVersion version, long nowMillis) {
        if (!enabled || ignoresVersions(service)) {
            return true;
        }
        Optional<ActiveRollout> rollout = running(service);
        if (rollout.isPresent() && rollout.get().isNew(version)) {
            return rollout.get().isTurnOfNew(nowMillis);
        }
        return services.get(service).isOpen(version);
    }

    /** Returns whether requests that were started at a version may be sent to it again. */
    public boolean mayContinue(ServiceName service, SoftwareVersion version) {
        return !enabled || ignoresVersions(service) || !services.get(service).isWithdrawn(version);
    }

    /** Counts a request that is sent to a target. */
    public void recordSent(ServiceName service, String route, SoftwareVersion version) {
        if (enabled) {
            running.merge(new RequestGroup(service, route, version), 1, Integer::sum);
        }
        count(service, (rollout, isNew) -> rollout.recordSent(route, isNew), version);
    }

    /**
     * Counts a request that was answered, or a stream whose first event has arrived.
     *
     * @param latencyGoalMillis time within which an answer on the route should arrive, in milliseconds
     */
    public void recordAnswered(
            ServiceName service,
            String route,
            SoftwareVersion version,
            TargetId target,
            long durationMillis,
            long latencyGoalMillis,
            long nowMillis) {
        boolean warm = nowMillis >= warmUntilMillis.getOrDefault(target, 0L);
        long compared = Math.max(durationMillis, latencyGoalMillis / EQUALLY_FAST_DIVISOR);
        count(service, (rollout, isNew) -> rollout.recordAnswered(route, isNew, compared, warm), version);
    }

    /**
     * Counts a request that failed at its target.
     *
     * @param answered whether the target responded with a failure; otherwise the request was lost
     */
    public void recordFailed(
            ServiceName service,
            String route,
            SoftwareVersion version,
            TargetId target,
            boolean answered,
            long nowMillis) {
        if (!answered) {
            Long last = lastLossMillis.put(target, nowMillis);
            if (last != null && nowMillis - last < LOSS_WINDOW_MILLIS) {
                return;
            }
        }
        count(service, (rollout, isNew) -> rollout.recordFailed(route, isNew), version);
    }

    /** Counts a request that has ended at its target, for whatever reason. */
    public void recordEnded(ServiceName service, String route, SoftwareVersion version) {
        running.computeIfPresent(new RequestGroup(service, route, version), (_, count) -> count > 1 ? count - 1 : null);
        count(service, (rollout, isNew) -> rollout.recordEnded(route, isNew), version);
    }

    /** Returns the evidence of this host, by the lease holder to which it is to be sent. */
    public Map<String, List<RolloutEvidence>> evidence(long nowMillis) {
        Map<String, List<RolloutEvidence>> byHolder = new HashMap<>();
        rollouts.values()
                .forEach(rollout -> rollout.holder()
                        .ifPresent(holder -> byHolder.computeIfAbsent(holder, _ -> new ArrayList<>())
                                .add(rollout.evidence(host, incarnation, nowMillis))));
        return byHolder;
    }

    /** Returns the number of targets of the new version that take requests, by id of the order. */
    public Map<String, Integer> orderedTargets() {
        return rollouts.values().stream()
                .map(ActiveRollout::order)
                .collect(Collectors.toMap(RolloutOrder::id, this::targetCount, (first, _) -> first));
    }

    private int targetCount(RolloutOrder order) {
        ServiceVersions versions = services.get(order.service());
        return versions == null ? 0 : versions.targetCount(order.version());
    }

    private interface Count {
        void apply(ActiveRollout rollout, boolean newVersion);
    }

    private void count(ServiceName service, Count count, SoftwareVersion version) {
        ActiveRollout rollout = rollouts.get(service);
        if (rollout != null) {
            count.apply(rollout, rollout.isNew(version));
        }
    }

    private ActiveRollout begin(RolloutOrder order, long nowMillis) {
        Optional.ofNullable(services.get(order.service())).ifPresent(versions -> versions.readmit(order.version()));
        Map<String, Integer> earlier = running.entrySet().stream()
                .filter(group -> group.getKey().service().equals(order.service())
                        && !group.getKey().version().equals(order.version()))
                .collect(Collectors.groupingBy(
                        group -> group.getKey().route(), Collectors.summingInt(Map.Entry::getValue)));
        return new ActiveRollout(order, earlier, random.getAsDouble(), nowMillis);
    }

    /** Ends a roll-out whose order was removed or replaced; unless it was completed, its version is withdrawn. */
    private void end(ActiveRollout rollout) {
        rollouts.remove(rollout.order().service());
        ServiceVersions versions = services.get(rollout.order().service());
        if (versions != null && rollout.step() != RolloutStep.COMPLETED) {
            versions.withdraw(rollout.order().version());
        }
    }

    /**
     * Applies the final step of a roll-out.
     *
     * @param justNow whether the step has just been reached; only then are other versions older ones that must be
     *     closed
     */
    private void applyFinalStep(ActiveRollout rollout, boolean justNow) {
        ServiceVersions versions = services.get(rollout.order().service());
        if (versions == null) {
            return;
        }
        SoftwareVersion version = rollout.order().version();
        switch (rollout.step()) {
            case ROLLED_BACK -> versions.withdraw(version);
            case COMPLETED -> {
                versions.admit(version);
                if (justNow) {
                    versions.closeOthers(version);
                }
            }
            default -> {}
        }
    }

    /** Withdraws the older versions if the roll-out was already completed when this host learned of it. */
    private void closeOlder(ActiveRollout rollout) {
        ServiceVersions versions = services.get(rollout.order().service());
        if (versions != null && rollout.step() == RolloutStep.COMPLETED) {
            versions.closeOlder(rollout.order().version());
        }
    }

    /**
     * Returns whether the versions of a service are not distinguished: only one is registered, or none is open beside
     * the ordered one.
     */
    private boolean ignoresVersions(ServiceName service) {
        ServiceVersions versions = services.get(service);
        return versions == null || versions.isAlone() || !versions.hasOpenBeside(orderedVersion(service));
    }

    private Optional<ActiveRollout> running(ServiceName service) {
        return Optional.ofNullable(rollouts.get(service))
                .filter(rollout -> !rollout.step().isFinal());
    }

    /** Returns the version of the roll-out that is running for a service. */
    private Optional<SoftwareVersion> orderedVersion(ServiceName service) {
        return running(service).map(rollout -> rollout.order().version());
    }

    /** Returns the version that a read of the orders must not open: its order is running or was rolled back. */
    private Optional<SoftwareVersion> namedVersion(ServiceName service) {
        return Optional.ofNullable(rollouts.get(service))
                .filter(rollout -> rollout.step() != RolloutStep.COMPLETED)
                .map(rollout -> rollout.order().version());
    }
}
