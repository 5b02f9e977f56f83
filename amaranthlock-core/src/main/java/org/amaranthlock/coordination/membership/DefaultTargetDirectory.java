package org.amaranthlock.coordination.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.coordination.CoreComponent;
import org.amaranthlock.coordination.Event;
import org.amaranthlock.coordination.ObjectApiCommand;
import org.amaranthlock.coordination.ObjectApiEvent;
import org.amaranthlock.coordination.OperationNumberGenerator;
import org.amaranthlock.coordination.TargetCommand;
import org.amaranthlock.coordination.TargetEvent;
import org.amaranthlock.coordination.configuration.ConfigurationView;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.Target;
import org.amaranthlock.model.TargetId;
import org.amaranthlock.protocol.objectapi.HostEntry;
import org.amaranthlock.protocol.peer.PeerMessage.Ack;
import org.amaranthlock.protocol.peer.PeerMessage.GossipPayload;
import org.amaranthlock.protocol.peer.TargetUpdate;
import org.amaranthlock.state.TargetDirectory;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Provides the configured targets and their availability, which it derives from the host list, gossip and local
 * observation.
 */
public final class DefaultTargetDirectory implements TargetDirectory, CoreComponent {
    private static final long HOST_LIST_PERIOD_MILLIS = 2_000;
    private static final long POLL_PERIOD_MILLIS = 2_000;
    private static final long INITIAL_BACKOFF_MILLIS = 250;
    private static final long MAX_BACKOFF_MILLIS = 4_000;
    /**
     * Maximum lag of the host list. A draining state is kept at least this long; an older one is cleared when the list
     * does not confirm it.
     */
    private static final long HOST_LIST_LAG_MILLIS = 60_000;

    private static final int UPDATES_PER_MESSAGE = 64;

    private final MembershipView membership;
    private final ConfigurationView configuration;
    private final TargetDrainState drainState;
    private final UniformRandomProvider random;
    private final OperationNumberGenerator operationNumbers;
    private final Map<TargetId, Backoff> unreachableBackoffs = new TreeMap<>();
    private final Map<TargetId, Long> nextPollMillis = new TreeMap<>();
    private Map<TargetId, Target> configured = new HashMap<>();
    private Map<ServiceName, List<Target>> subsets = new TreeMap<>();
    private List<Target> subsetTargets = List.of();
    private List<Target> builtTargets = List.of();
    private long builtDrainVersion = -1;
    private long nextHostListMillis;

    /**
     * Creates the directory.
     *
     * @param membership the routers; the relays among them read the host list
     * @param configuration provides the targets
     * @param drainState draining targets, shared with the membership
     * @param random source of randomness
     * @param operationNumbers source of operation numbers
     */
    public DefaultTargetDirectory(
            MembershipView membership,
            ConfigurationView configuration,
            TargetDrainState drainState,
            UniformRandomProvider random,
            OperationNumberGenerator operationNumbers) {
        this.membership = Objects.requireNonNull(membership, "membership");
        this.configuration = Objects.requireNonNull(configuration, "configuration");
        this.drainState = Objects.requireNonNull(drainState, "drainState");
        this.random = Objects.requireNonNull(random, "random");
        this.operationNumbers = Objects.requireNonNull(operationNumbers, "operationNumbers");
    }

    @Override
    public List<Target> targets(ServiceName service) {
        refreshSubsets();
        return subsets.getOrDefault(service, List.of());
    }

    @Override
    public List<Target> allTargets() {
        refreshSubsets();
        return subsetTargets;
    }

    @Override
    public Optional<Target> target(TargetId id) {
        refreshSubsets();
        return Optional.ofNullable(configured.get(id));
    }

    @Override
    public Optional<String> unavailableReason(TargetId id) {
        refreshSubsets();
        if (!configured.containsKey(id)) {
            return Optional.of("not configured");
        }
        if (drainState.isDraining(id)) {
            return Optional.of("leaving");
        }
        return unreachableBackoffs.containsKey(id) ? Optional.of("unreachable") : Optional.empty();
    }

    @Override
    public List<Command> handle(Event event, long nowMillis) {
        List<Command> commands = new ArrayList<>();
        switch (event) {
            case Event.Tick tick -> tick(nowMillis, commands);
            case ObjectApiEvent.HostsListed listed -> applyHostList(listed.hosts(), nowMillis, commands);
            case TargetEvent.Draining draining -> drainState.recordObservation(draining.target(), true, nowMillis);
            case TargetEvent.Unreachable unreachable -> increaseBackoff(unreachable.target(), nowMillis);
            case TargetEvent.Reachable reachable -> unreachableBackoffs.remove(reachable.target());
            case TargetEvent.LoadReported reported -> unreachableBackoffs.remove(reported.target());
            default -> {}
        }
        return commands;
    }

    private void tick(long nowMillis, List<Command> commands) {
        refreshSubsets();
        if (nowMillis >= nextHostListMillis) {
            nextHostListMillis = nowMillis + HOST_LIST_PERIOD_MILLIS;
            if (RelaySelector.isRelay(membership)) {
                commands.add(new ObjectApiCommand.ListHosts(operationNumbers.next()));
            }
        }
        // Unreachable targets are polled even if they are not in the subset, until they respond again.
        Map<TargetId, Target> polled = new TreeMap<>();
        subsetTargets.forEach(target -> polled.put(target.id(), target));
        unreachableBackoffs.keySet().forEach(id -> polled.put(id, configured.get(id)));
        for (Target target : polled.values()) {
            if (isPollDue(target.id(), nowMillis)) {
                commands.add(new TargetCommand.Poll(target));
            }
        }
    }

    private boolean isPollDue(TargetId id, long nowMillis) {
        Backoff backoff = unreachableBackoffs.get(id);
        if (backoff != null) {
            if (nowMillis < backoff.nextMillis) {
                return false;
            }
            backoff.nextMillis = nowMillis + backoff.delayMillis;
            return true;
        }
        long due = nextPollMillis.computeIfAbsent(id, targetId -> nowMillis + random.nextLong(POLL_PERIOD_MILLIS));
        if (nowMillis < due) {
            return false;
        }
        nextPollMillis.put(id, Math.max(due + POLL_PERIOD_MILLIS, nowMillis + 1));
        return true;
    }

    private void increaseBackoff(TargetId id, long nowMillis) {
        refreshSubsets();
        if (!configured.containsKey(id)) {
            return;
        }
        Backoff backoff = unreachableBackoffs.get(id);
        if (backoff == null) {
            unreachableBackoffs.put(id, new Backoff(INITIAL_BACKOFF_MILLIS, nowMillis + INITIAL_BACKOFF_MILLIS));
        } else {
            backoff.delayMillis = Math.min(MAX_BACKOFF_MILLIS, backoff.delayMillis * 2);
            backoff.nextMillis = nowMillis + backoff.delayMillis;
        }
    }

    /** Applies the host list and pushes its changes immediately to the routers of this failure domain. */
    private void applyHostList(List<HostEntry> hosts, long nowMillis, List<Command> commands) {
        List<TargetUpdate> changes = new ArrayList<>();
        for (HostEntry host : hosts) {
            if (!host.role().equals("target")) {
                continue;
            }
            TargetId id = new TargetId(host.name());
            boolean draining = drainState.isDraining(id);
            if (host.leaving() && !draining) {
                changes.add(drainState.recordObservation(id, true, nowMillis));
            } else if (nowMillis - drainState.revision(id) > HOST_LIST_LAG_MILLIS && draining) {
                changes.add(drainState.recordObservation(id, host.leaving(), nowMillis));
            }
        }
        for (int start = 0; start < changes.size(); start += UPDATES_PER_MESSAGE) {
            List<TargetUpdate> batch = changes.subList(start, Math.min(changes.size(), start + UPDATES_PER_MESSAGE));
            Ack push = new Ack(0, new GossipPayload(List.of(), batch, List.of(), configuration.revision()));
            for (RouterMember peer : RelaySelector.domainPeers(membership)) {
                commands.add(new Command.SendPeer(peer.host(), peer.address(), push));
            }
        }
    }

    private void refreshSubsets() {
        List<Target> targets = configuration.targets();
        if (targets == builtTargets && builtDrainVersion == drainState.version()) {
            return;
        }
        builtTargets = targets;
        builtDrainVersion = drainState.version();
        configured = new HashMap<>();
        targets.forEach(target -> configured.put(target.id(), target));
        subsets = TargetSubset.choose(membership.self(), targets, drainState);
        List<Target> chosen = new ArrayList<>();
        subsets.values().forEach(chosen::addAll);
        chosen.sort((left, right) -> left.id().compareTo(right.id()));
        subsetTargets = List.copyOf(chosen);
        nextPollMillis.keySet().retainAll(configured.keySet());
        unreachableBackoffs.keySet().retainAll(configured.keySet());
    }

    private static final class Backoff {
        private long delayMillis;
        private long nextMillis;

        private Backoff(long delayMillis, long nextMillis) {
            this.delayMillis = delayMillis;
            this.nextMillis = nextMillis;
        }
    }
}
