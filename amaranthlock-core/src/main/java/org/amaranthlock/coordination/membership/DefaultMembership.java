package org.amaranthlock.coordination.membership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.LongSupplier;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.coordination.CoreComponent;
import org.amaranthlock.coordination.Event;
import org.amaranthlock.coordination.ObjectApiEvent;
import org.amaranthlock.coordination.OperationNumberGenerator;
import org.amaranthlock.coordination.OperatorEvent;
import org.amaranthlock.model.HostId;
import org.amaranthlock.protocol.objectapi.HostEntry;
import org.amaranthlock.protocol.peer.MemberUpdate;
import org.amaranthlock.protocol.peer.PeerMessage;
import org.amaranthlock.protocol.peer.PeerMessage.Ack;
import org.amaranthlock.protocol.peer.PeerMessage.GossipPayload;
import org.amaranthlock.protocol.peer.PeerMessage.Ping;
import org.amaranthlock.protocol.peer.PeerMessage.PingRequest;
import org.amaranthlock.protocol.peer.PoisonMark;
import org.amaranthlock.protocol.peer.RouterState;
import org.amaranthlock.protocol.peer.TargetUpdate;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Tracks the routers of the cluster with the SWIM protocol: random probes, indirect probes, suspicion and refutation.
 *
 * <p>The host id identifies the process, not only the host, so a restarted router is a new member and its predecessor
 * is declared dead. A router that was wrongly declared dead refutes this by increasing its refutation counter.
 */
public final class DefaultMembership implements MembershipView, CoreComponent {
    private static final long PROBE_PERIOD_MILLIS = 500;
    private static final long DIRECT_PROBE_TIMEOUT_MILLIS = 200;
    private static final long SUSPICION_TIMEOUT_MILLIS = 1_500;
    private static final int INDIRECT_PROBES = 3;
    private static final int URGENT_GOSSIP_FANOUT = 3;
    /**
     * A longer gap between two ticks means that this process was paused, so missing acknowledgements do not indicate a
     * failed peer.
     */
    private static final long PAUSE_THRESHOLD_MILLIS = 500;
    /** Interval between attempts to reach dead or unknown routers, which merges the views after a network partition. */
    private static final long RECONNECT_PERIOD_MILLIS = 2_000;

    /**
     * Time after the start in which a router announces itself directly to every member that it discovers. When many
     * routers start together, the limited number of updates per message keeps gossip alone from reaching all in time.
     */
    private static final long ANNOUNCEMENT_MILLIS = 10_000;

    /**
     * Interval between member list requests of a starting router. One request is not enough, because lists do not yet
     * contain the routers that start at the same time.
     */
    private static final long LIST_REQUEST_PERIOD_MILLIS = 3_000;
    /**
     * Interval between direct notices to a suspected router. Without them, its refutation could reach some routers only
     * after their suspicion has expired when messages are lost.
     */
    private static final long SUSPECT_NOTICE_PERIOD_MILLIS = 500;

    private static final long RELAYED_PROBE_TIMEOUT_MILLIS = 2_000;

    private final RouterMember self;
    private final List<String> seeds;
    private final UniformRandomProvider random;
    private final OperationNumberGenerator sequenceNumbers;
    private final MemberTable table = new MemberTable();
    private final MemberGossip gossip;
    private final ProbeScheduler probeScheduler;
    private final Map<HostId, Long> suspicionEndMillis = new TreeMap<>();
    private final Map<Long, RelayedProbe> relayedProbes = new LinkedHashMap<>();
    private final TreeSet<String> listedAddresses = new TreeSet<>();
    private final MembershipSnapshot snapshot;
    private Optional<Probe> probe = Optional.empty();
    private int refutation;
    private boolean leaving;
    private final TreeSet<HostId> announcedTo = new TreeSet<>();
    private long announcementEndMillis;
    private long nextListRequestMillis;
    private long nextSuspectNoticeMillis;
    private boolean hasUrgentUpdates;
    private long lastTickMillis = -1;
    private long nextProbeMillis;
    private long nextReconnectMillis;

    /**
     * Creates the membership.
     *
     * @param self this router
     * @param seeds configured peer addresses, with or without the address of this router
     * @param targetTopic gossip about draining targets
     * @param poisonTopic gossip about poison marks
     * @param configurationRevision supplies the highest configuration revision that this router holds
     * @param random source of randomness
     * @param sequenceNumbers source of sequence numbers
     */
    public DefaultMembership(
            RouterMember self,
            List<String> seeds,
            GossipTopic<TargetUpdate> targetTopic,
            GossipTopic<PoisonMark> poisonTopic,
            LongSupplier configurationRevision,
            UniformRandomProvider random,
            OperationNumberGenerator sequenceNumbers) {
        this.self = Objects.requireNonNull(self, "self");
        this.seeds = List.copyOf(seeds);
        this.random = Objects.requireNonNull(random, "random");
        this.sequenceNumbers = Objects.requireNonNull(sequenceNumbers, "sequenceNumbers");
        this.probeScheduler = new ProbeScheduler(self.host(), random);
        this.snapshot = new MembershipSnapshot(self, table);
        this.gossip =
                new MemberGossip(table, this::selfUpdate, targetTopic, poisonTopic, configurationRevision, random);
    }

    @Override
    public RouterMember self() {
        return self;
    }

    @Override
    public List<RouterMember> liveMembers() {
        return snapshot.liveMembers(leaving);
    }

    @Override
    public Optional<RouterMember> member(HostId host) {
        return snapshot.member(host);
    }

    @Override
    public boolean isDead(HostId host) {
        return !host.equals(self.host()) && !table.isPresent(host);
    }

    @Override
    public boolean isLeaving() {
        return leaving;
    }

    @Override
    public List<RouterMember> rendezvousOrder(String key) {
        return snapshot.rendezvousOrder(key, leaving);
    }

    @Override
    public List<Command> handle(Event event, long nowMillis) {
        List<Command> commands = new ArrayList<>();
        switch (event) {
            case Event.Tick tick -> tick(nowMillis, commands);
            case Event.PeerReceived received -> receive(received.from(), received.message(), nowMillis, commands);
            case Event.PeerUnreachable unreachable -> handleConnectFailure(unreachable.host(), nowMillis, commands);
            case ObjectApiEvent.HostsListed listed -> updateListedAddresses(listed.hosts());
            case OperatorEvent.Drain drain -> startLeaving();
            default -> {}
        }
        return commands;
    }

    private void startLeaving() {
        leaving = true;
        hasUrgentUpdates = true;
        gossip.addSelf();
    }

    private void updateListedAddresses(List<HostEntry> hosts) {
        listedAddresses.clear();
        for (HostEntry host : hosts) {
            if (host.role().equals("router") && !host.leaving()) {
                listedAddresses.add(host.address());
            }
        }
    }

    private void tick(long nowMillis, List<Command> commands) {
        if (lastTickMillis < 0) {
            nextProbeMillis = nowMillis + random.nextLong(PROBE_PERIOD_MILLIS);
            nextReconnectMillis = nowMillis;
            nextListRequestMillis = nowMillis + LIST_REQUEST_PERIOD_MILLIS;
            announcementEndMillis = nowMillis + ANNOUNCEMENT_MILLIS;
        } else if (nowMillis - lastTickMillis > PAUSE_THRESHOLD_MILLIS) {
            compensateForPause(nowMillis - lastTickMillis);
        }
        lastTickMillis = nowMillis;
        announceSelf(nowMillis, commands);
        expireSuspicions(nowMillis);
        notifySuspects(nowMillis, commands);
        gossipUrgentUpdates(nowMillis, commands);
        probeIndirectly(nowMillis, commands);
        if (nowMillis >= nextProbeMillis) {
            nextProbeMillis = Math.max(nextProbeMillis + PROBE_PERIOD_MILLIS, nowMillis + 1);
            expireProbe(nowMillis);
            startProbe(nowMillis, commands);
        }
        if (nowMillis >= nextReconnectMillis) {
            reconnect(nowMillis, commands);
        }
        relayedProbes
                .values()
                .removeIf(relayedProbe -> nowMillis - relayedProbe.startedMillis() > RELAYED_PROBE_TIMEOUT_MILLIS);
        table.removeExpiredDead(nowMillis);
    }

    private void announceSelf(long nowMillis, List<Command> commands) {
        if (nowMillis >= announcementEndMillis) {
            return;
        }
        GossipPayload announcement = gossip.announcement();
        for (MemberUpdate member : table.presentMembers()) {
            if (announcedTo.add(member.host())) {
                send(member, new Ack(0, announcement), commands);
            }
        }
        List<MemberUpdate> others = table.presentMembers();
        if (nowMillis >= nextListRequestMillis && !others.isEmpty()) {
            nextListRequestMillis = nowMillis + LIST_REQUEST_PERIOD_MILLIS;
            MemberUpdate peer = others.get(random.nextInt(others.size()));
            send(peer, new Ping(Ping.LIST_REQUEST, gossip.create(peer.host(), nowMillis)), commands);
        }
    }

    private void compensateForPause(long gapMillis) {
        probe = Optional.empty();
        suspicionEndMillis.replaceAll((host, endMillis) -> endMillis + gapMillis);
    }

    private void expireSuspicions(long nowMillis) {
        List<HostId> expired = new ArrayList<>();
        suspicionEndMillis.forEach((host, endMillis) -> {
            if (nowMillis >= endMillis) {
                expired.add(host);
            }
        });
        for (HostId host : expired) {
            table.find(host).ifPresent(known -> apply(withState(known, RouterState.DEAD), nowMillis));
        }
    }

    private void notifySuspects(long nowMillis, List<Command> commands) {
        if (nowMillis < nextSuspectNoticeMillis || suspicionEndMillis.isEmpty()) {
            return;
        }
        nextSuspectNoticeMillis = nowMillis + SUSPECT_NOTICE_PERIOD_MILLIS;
        for (HostId host : suspicionEndMillis.keySet()) {
            table.find(host)
                    .ifPresent(known ->
                            send(known, new Ping(sequenceNumbers.next(), gossip.create(host, nowMillis)), commands));
        }
    }

    /** Gossips suspicions, deaths and departures immediately; probes alone take more than 2 s to reach 60 routers. */
    private void gossipUrgentUpdates(long nowMillis, List<Command> commands) {
        if (hasUrgentUpdates) {
            hasUrgentUpdates = false;
            for (MemberUpdate peer : randomAliveMembers(URGENT_GOSSIP_FANOUT, self.host())) {
                send(peer, new Ack(0, gossip.create(peer.host(), nowMillis)), commands);
            }
        }
    }

    private List<MemberUpdate> randomAliveMembers(int count, HostId excluded) {
        List<MemberUpdate> others = new ArrayList<>(table.presentMembers());
        others.removeIf(other -> other.host().equals(excluded) || other.state() != RouterState.ALIVE);
        List<MemberUpdate> chosen = new ArrayList<>();
        while (chosen.size() < count && !others.isEmpty()) {
            chosen.add(others.remove(random.nextInt(others.size())));
        }
        return chosen;
    }

    private void startProbe(long nowMillis, List<Command> commands) {
        Optional<MemberUpdate> next = probeScheduler.next(table);
        if (next.isEmpty()) {
            return;
        }
        MemberUpdate subject = next.get();
        long sequence = sequenceNumbers.next();
        probe = Optional.of(new Probe(subject.host(), sequence, nowMillis, false));
        send(subject, new Ping(sequence, gossip.create(subject.host(), nowMillis)), commands);
    }

    private void probeIndirectly(long nowMillis, List<Command> commands) {
        if (probe.isEmpty()
                || probe.get().indirect()
                || nowMillis - probe.get().startedMillis() < DIRECT_PROBE_TIMEOUT_MILLIS) {
            return;
        }
        Probe current = probe.get();
        probe = Optional.of(current.asIndirect());
        for (MemberUpdate relay : randomAliveMembers(INDIRECT_PROBES, current.subject())) {
            PingRequest request =
                    new PingRequest(current.sequence(), current.subject(), gossip.create(relay.host(), nowMillis));
            send(relay, request, commands);
        }
    }

    private void expireProbe(long nowMillis) {
        probe.flatMap(current -> table.find(current.subject())).ifPresent(known -> suspect(known, nowMillis));
        probe = Optional.empty();
    }

    /**
     * Marks an alive router as suspect. A leaving router keeps its state, which {@code SUSPECT} does not override; only
     * its suspicion timeout starts, which its next acknowledgement cancels.
     */
    private void suspect(MemberUpdate known, long nowMillis) {
        if (known.state() == RouterState.ALIVE) {
            apply(withState(known, RouterState.SUSPECT), nowMillis);
        } else if (known.state() == RouterState.LEAVING) {
            suspicionEndMillis.putIfAbsent(known.host(), nowMillis + SUSPICION_TIMEOUT_MILLIS);
        }
    }

    /** Pings a router that is not in the view: a seed, a router of the host list or one that is considered dead. */
    private void reconnect(long nowMillis, List<Command> commands) {
        TreeSet<String> known = new TreeSet<>();
        known.add(self.address());
        table.presentMembers().forEach(member -> known.add(member.address()));
        Map<String, MemberUpdate> candidates = new TreeMap<>();
        seeds.forEach(address -> candidates.put(address, placeholderMember(address)));
        listedAddresses.forEach(address -> candidates.put(address, placeholderMember(address)));
        table.deadMembers().forEach(member -> candidates.put(member.address(), member));
        candidates.keySet().removeAll(known);
        boolean isolated = table.presentMembers().isEmpty();
        nextReconnectMillis = nowMillis + (isolated ? PROBE_PERIOD_MILLIS : RECONNECT_PERIOD_MILLIS);
        if (candidates.isEmpty()) {
            return;
        }
        List<MemberUpdate> choices = List.copyOf(candidates.values());
        MemberUpdate chosen = choices.get(random.nextInt(choices.size()));
        send(chosen, new Ping(Ping.LIST_REQUEST, gossip.createWithSelf(chosen.host(), nowMillis)), commands);
    }

    private MemberUpdate placeholderMember(String address) {
        return new MemberUpdate(
                HostId.unknownAt(address), address, self.region(), self.failureDomain(), RouterState.ALIVE, 0);
    }

    private void receive(HostId from, PeerMessage message, long nowMillis, List<Command> commands) {
        switch (message) {
            case Ping ping -> {
                applyGossip(ping.gossip(), nowMillis);
                sendAck(from, ping.sequence(), nowMillis, commands);
                if (ping.sequence() == Ping.LIST_REQUEST) {
                    sendMemberList(from, commands);
                }
            }
            case Ack ack -> {
                applyGossip(ack.gossip(), nowMillis);
                handleAck(from, ack.sequence(), nowMillis, commands);
            }
            case PingRequest request -> {
                applyGossip(request.gossip(), nowMillis);
                relayProbe(from, request, nowMillis, commands);
            }
            default -> {}
        }
    }

    private void sendAck(HostId from, long sequence, long nowMillis, List<Command> commands) {
        table.find(from).ifPresent(sender -> {
            boolean dead = sender.state() == RouterState.DEAD;
            GossipPayload payload = dead ? gossip.createWithSelf(from, nowMillis) : gossip.create(from, nowMillis);
            send(sender, new Ack(sequence, payload), commands);
        });
    }

    private void handleAck(HostId from, long sequence, long nowMillis, List<Command> commands) {
        if (probe.isPresent() && probe.get().sequence() == sequence) {
            HostId subject = probe.get().subject();
            probe = Optional.empty();
            if (table.find(subject)
                    .filter(known -> known.state() == RouterState.LEAVING)
                    .isPresent()) {
                suspicionEndMillis.remove(subject);
            }
        }
        RelayedProbe relayedProbe = relayedProbes.remove(sequence);
        if (relayedProbe != null) {
            sendAck(relayedProbe.requester(), relayedProbe.sequence(), nowMillis, commands);
        }
    }

    private void relayProbe(HostId requester, PingRequest request, long nowMillis, List<Command> commands) {
        table.find(request.subject()).ifPresent(subject -> {
            long sequence = sequenceNumbers.next();
            relayedProbes.put(sequence, new RelayedProbe(requester, request.sequence(), nowMillis));
            send(subject, new Ping(sequence, gossip.create(subject.host(), nowMillis)), commands);
        });
    }

    /** Starts the indirect probes before the direct one times out; a router that is not being probed is probed next. */
    private void handleConnectFailure(HostId host, long nowMillis, List<Command> commands) {
        if (probe.isPresent() && probe.get().subject().equals(host)) {
            if (!probe.get().indirect()) {
                probe = Optional.of(probe.get().withStart(nowMillis - DIRECT_PROBE_TIMEOUT_MILLIS));
                probeIndirectly(nowMillis, commands);
            }
        } else if (table.isPresent(host)) {
            probeScheduler.prioritize(host);
        }
    }

    private void sendMemberList(HostId to, List<Command> commands) {
        Optional<MemberUpdate> receiver = table.find(to);
        if (receiver.isEmpty()) {
            return;
        }
        for (GossipPayload part : gossip.memberList()) {
            send(receiver.get(), new Ack(0, part), commands);
        }
    }

    private void applyGossip(GossipPayload received, long nowMillis) {
        for (MemberUpdate update : received.members()) {
            if (update.host().equals(self.host())) {
                refute(update);
            } else {
                apply(update, nowMillis);
            }
        }
        gossip.applyTopics(received, nowMillis);
    }

    private void refute(MemberUpdate update) {
        boolean suspected = update.state() == RouterState.SUSPECT || update.state() == RouterState.DEAD;
        if (suspected && update.refutation() >= refutation) {
            refutation = update.refutation() + 1;
            gossip.addSelf();
        }
    }

    private void apply(MemberUpdate update, long nowMillis) {
        if (!table.apply(update, nowMillis)) {
            return;
        }
        gossip.add(update);
        hasUrgentUpdates = hasUrgentUpdates || update.state() != RouterState.ALIVE;
        if (update.state() == RouterState.SUSPECT) {
            suspicionEndMillis.put(update.host(), nowMillis + SUSPICION_TIMEOUT_MILLIS);
        } else {
            suspicionEndMillis.remove(update.host());
        }
    }

    private MemberUpdate selfUpdate() {
        RouterState state = leaving ? RouterState.LEAVING : RouterState.ALIVE;
        return new MemberUpdate(self.host(), self.address(), self.region(), self.failureDomain(), state, refutation);
    }

    private static MemberUpdate withState(MemberUpdate known, RouterState state) {
        return new MemberUpdate(
                known.host(), known.address(), known.region(), known.failureDomain(), state, known.refutation());
    }

    private static void send(MemberUpdate to, PeerMessage message, List<Command> commands) {
        commands.add(new Command.SendPeer(to.host(), to.address(), message));
    }

    private record Probe(HostId subject, long sequence, long startedMillis, boolean indirect) {
        private Probe asIndirect() {
            return new Probe(subject, sequence, startedMillis, true);
        }

        private Probe withStart(long millis) {
            return new Probe(subject, sequence, millis, indirect);
        }
    }

    private record RelayedProbe(HostId requester, long sequence, long startedMillis) {}
}
