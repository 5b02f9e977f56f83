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

/** Targets from the configuration, with their availability from the host list, news and own observation. */
public final class DefaultTargetDirectory implements TargetDirectory, CoreComponent {
    private static final long LIST_PERIOD_MILLIS = 2_000;
    private static final long POLL_PERIOD_MILLIS = 2_000;
    private static final long FIRST_BACKOFF_MILLIS = 250;
    private static final long LAST_BACKOFF_MILLIS = 4_000;
    /** A leaving mark outlasts the lag of the host list; an older one is cleared when the list does not confirm it. */
    private static final long LIST_LAG_MILLIS = 60_000;

    private static final int UPDATES_PER_MESSAGE = 64;

    private final MembershipView membership;
    private final ConfigurationView configuration;
    private final TargetDrainState news;
    private final UniformRandomProvider random;
    private final OperationNumberGenerator numbers;
    private final Map<TargetId, Backoff> unreachable = new TreeMap<>();
    private final Map<TargetId, Long> nextPoll = new TreeMap<>();
    private Map<TargetId, Target> configured = new HashMap<>();
    private Map<ServiceName, List<Target>> subset = new TreeMap<>();
    private List<Target> all = List.of();
    private List<Target> builtFrom = List.of();
    private long builtNews = -1;
    private long nextListMillis;

    /**
     * Creates the directory.
     *
     * @param membership the routers, of which the relays read the host list
     * @param configuration source of the targets
     * @param news leaving targets, shared with the membership
     * @param random source of randomness
     * @param numbers source of operation numbers
     */
    public DefaultTargetDirectory(
            MembershipView membership,
            ConfigurationView configuration,
            TargetDrainState news,
            UniformRandomProvider random,
            OperationNumberGenerator numbers) {
        this.membership = Objects.requireNonNull(membership, "membership");
        this.configuration = Objects.requireNonNull(configuration, "configuration");
        this.news = Objects.requireNonNull(news, "news");
        this.random = Objects.requireNonNull(random, "random");
        this.numbers = Objects.requireNonNull(numbers, "numbers");
    }

    @Override
    public List<Target> targets(ServiceName service) {
        refresh();
        return subset.getOrDefault(service, List.of());
    }

    @Override
    public List<Target> allTargets() {
        refresh();
        return all;
    }

    @Override
    public Optional<Target> target(TargetId id) {
        refresh();
        return Optional.ofNullable(configured.get(id));
    }

    @Override
    public Optional<String> unavailableReason(TargetId id) {
        refresh();
        if (!configured.containsKey(id)) {
            return Optional.of("not configured");
        }
        if (news.isDraining(id)) {
            return Optional.of("leaving");
        }
        return unreachable.containsKey(id) ? Optional.of("unreachable") : Optional.empty();
    }

    @Override
    public List<Command> handle(Event event, long nowMillis) {
        List<Command> commands = new ArrayList<>();
        switch (event) {
            case Event.Tick tick -> tick(nowMillis, commands);
            case ObjectApiEvent.HostsListed listed -> compare(listed.hosts(), nowMillis, commands);
            case TargetEvent.Draining left -> news.recordObservation(left.target(), true, nowMillis);
            case TargetEvent.Unreachable failed -> lengthenBackoff(failed.target(), nowMillis);
            case TargetEvent.Reachable reached -> unreachable.remove(reached.target());
            case TargetEvent.LoadReported reported -> unreachable.remove(reported.target());
            default -> {}
        }
        return commands;
    }

    private void tick(long nowMillis, List<Command> commands) {
        refresh();
        if (nowMillis >= nextListMillis) {
            nextListMillis = nowMillis + LIST_PERIOD_MILLIS;
            if (RelaySelector.isRelay(membership)) {
                commands.add(new ObjectApiCommand.ListHosts(numbers.next()));
            }
        }
        Map<TargetId, Target> polled = new TreeMap<>();
        all.forEach(target -> polled.put(target.id(), target));
        unreachable.keySet().forEach(id -> polled.put(id, configured.get(id)));
        for (Target target : polled.values()) {
            if (pollDue(target.id(), nowMillis)) {
                commands.add(new TargetCommand.Poll(target));
            }
        }
    }

    private boolean pollDue(TargetId id, long nowMillis) {
        Backoff backoff = unreachable.get(id);
        if (backoff != null) {
            if (nowMillis < backoff.nextMillis) {
                return false;
            }
            backoff.nextMillis = nowMillis + backoff.delayMillis;
            return true;
        }
        long due = nextPoll.computeIfAbsent(id, key -> nowMillis + random.nextLong(POLL_PERIOD_MILLIS));
        if (nowMillis < due) {
            return false;
        }
        nextPoll.put(id, Math.max(due + POLL_PERIOD_MILLIS, nowMillis + 1));
        return true;
    }

    private void lengthenBackoff(TargetId id, long nowMillis) {
        refresh();
        if (!configured.containsKey(id)) {
            return;
        }
        Backoff backoff = unreachable.get(id);
        if (backoff == null) {
            unreachable.put(id, new Backoff(FIRST_BACKOFF_MILLIS, nowMillis + FIRST_BACKOFF_MILLIS));
        } else {
            backoff.delayMillis = Math.min(LAST_BACKOFF_MILLIS, backoff.delayMillis * 2);
            backoff.nextMillis = nowMillis + backoff.delayMillis;
        }
    }

    /** Takes the host list over and pushes changes at once to the routers of this failure domain. */
    private void compare(List<HostEntry> hosts, long nowMillis, List<Command> commands) {
        List<TargetUpdate> changes = new ArrayList<>();
        for (HostEntry host : hosts) {
            if (!host.role().equals("target")) {
                continue;
            }
            TargetId id = new TargetId(host.name());
            boolean known = news.isDraining(id);
            if (host.leaving() && !known) {
                changes.add(news.recordObservation(id, true, nowMillis));
            } else if (nowMillis - news.revision(id) > LIST_LAG_MILLIS && known) {
                changes.add(news.recordObservation(id, host.leaving(), nowMillis));
            }
        }
        for (int start = 0; start < changes.size(); start += UPDATES_PER_MESSAGE) {
            List<TargetUpdate> part = changes.subList(start, Math.min(changes.size(), start + UPDATES_PER_MESSAGE));
            Ack push = new Ack(0, new GossipPayload(List.of(), part, List.of(), configuration.revision()));
            for (RouterMember peer : RelaySelector.domainPeers(membership)) {
                commands.add(new Command.SendPeer(peer.host(), peer.address(), push));
            }
        }
    }

    private void refresh() {
        List<Target> targets = configuration.targets();
        if (targets == builtFrom && builtNews == news.version()) {
            return;
        }
        builtFrom = targets;
        builtNews = news.version();
        configured = new HashMap<>();
        targets.forEach(target -> configured.put(target.id(), target));
        subset = TargetSubset.choose(membership.self(), targets, news);
        List<Target> chosen = new ArrayList<>();
        subset.values().forEach(chosen::addAll);
        chosen.sort((left, right) -> left.id().compareTo(right.id()));
        all = List.copyOf(chosen);
        nextPoll.keySet().retainAll(configured.keySet());
        unreachable.keySet().retainAll(configured.keySet());
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
