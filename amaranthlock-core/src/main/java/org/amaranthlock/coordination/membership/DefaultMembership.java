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
 * Failure detection by random probes, indirect probes, suspicion and refutation (SWIM).
 *
 * <p>The host id contains the start of the process, so a restarted router is a new member and the old one dies. A
 * router that was declared dead wrongly contradicts with a raised refutation counter.
 */
public final class DefaultMembership implements MembershipView, CoreComponent {
    private static final long PROBE_PERIOD_MILLIS = 500;
    private static final long DIRECT_TIMEOUT_MILLIS = 200;
    private static final long SUSPICION_MILLIS = 1_500;
    private static final int INDIRECT_PROBES = 3;
    private static final int URGENT_NEWS_RECEIVERS = 3;
    private static final int UPDATES_PER_MESSAGE = 8;
    /** Members sent at random when there is little news; about 0.5 KB/s per router. */
    private static final int REPAIRS_PER_MESSAGE = 2;

    private static final int MEMBERS_PER_LIST_MESSAGE = 64;
    /** A longer gap between two ticks means that this process was paused, so missing answers prove nothing. */
    private static final long PAUSE_MILLIS = 500;
    /** Pace of contacts to routers that are believed dead or not known, which heals partitions. */
    private static final long CONTACT_PERIOD_MILLIS = 2_000;

    /**
     * A router introduces itself directly to all that it gets to know in this time. When many routers start together,
     * the limited updates per message are too few for gossip alone to reach everyone in time.
     */
    private static final long INTRODUCTION_MILLIS = 10_000;

    /** Pace at which a starting router asks for member lists, which others that start with it are not yet in. */
    private static final long LIST_REQUEST_MILLIS = 3_000;
    /**
     * Pace at which a suspected router is told so directly. Without this, its refutation could reach some routers only
     * after the suspicion has expired there when messages are lost.
     */
    private static final long ACCUSATION_MILLIS = 500;

    private static final long RELAYED_PROBE_MILLIS = 2_000;

    private final RouterMember self;
    private final List<String> seeds;
    private final GossipTopic<TargetUpdate> targetNews;
    private final GossipTopic<PoisonMark> poisonNews;
    private final LongSupplier configurationRevision;
    private final UniformRandomProvider random;
    private final OperationNumberGenerator numbers;
    private final MemberTable table = new MemberTable();
    private final GossipQueue<HostId, MemberUpdate> updates = new GossipQueue<>();
    private final ProbeScheduler order;
    private final Map<HostId, Long> suspectUntil = new TreeMap<>();
    private final Map<Long, RelayedProbe> relayed = new LinkedHashMap<>();
    private final TreeSet<String> listedAddresses = new TreeSet<>();
    private final MembershipSnapshot snapshot;
    private Optional<Probe> probe = Optional.empty();
    private int refutation;
    private boolean leaving;
    private final TreeSet<HostId> introducedTo = new TreeSet<>();
    private long introductionEndMillis;
    private long nextListRequestMillis;
    private long nextAccusationMillis;
    private boolean urgentNews;
    private long lastTickMillis = -1;
    private long nextProbeMillis;
    private long nextContactMillis;

    /**
     * Creates the membership.
     *
     * @param self this router
     * @param seeds peer addresses of the settings, with or without this router's own
     * @param targetNews news about targets
     * @param poisonNews poison marks
     * @param configurationRevision highest configuration revision that this router holds
     * @param random source of randomness
     * @param numbers source of sequence numbers
     */
    public DefaultMembership(
            RouterMember self,
            List<String> seeds,
            GossipTopic<TargetUpdate> targetNews,
            GossipTopic<PoisonMark> poisonNews,
            LongSupplier configurationRevision,
            UniformRandomProvider random,
            OperationNumberGenerator numbers) {
        this.self = Objects.requireNonNull(self, "self");
        this.seeds = List.copyOf(seeds);
        this.targetNews = Objects.requireNonNull(targetNews, "targetNews");
        this.poisonNews = Objects.requireNonNull(poisonNews, "poisonNews");
        this.configurationRevision = Objects.requireNonNull(configurationRevision, "configurationRevision");
        this.random = Objects.requireNonNull(random, "random");
        this.numbers = Objects.requireNonNull(numbers, "numbers");
        this.order = new ProbeScheduler(self.host(), random);
        this.snapshot = new MembershipSnapshot(self, table);
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
        return !host.equals(self.host()) && !table.present(host);
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
            case Event.PeerUnreachable unreachable -> connectFailed(unreachable.host(), nowMillis, commands);
            case ObjectApiEvent.HostsListed listed -> learnHosts(listed.hosts());
            case OperatorEvent.Drain drain -> startLeaving();
            default -> {}
        }
        return commands;
    }

    private void startLeaving() {
        leaving = true;
        urgentNews = true;
        updates.add(self.host(), selfUpdate());
    }

    private void learnHosts(List<HostEntry> hosts) {
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
            nextContactMillis = nowMillis;
            nextListRequestMillis = nowMillis + LIST_REQUEST_MILLIS;
            introductionEndMillis = nowMillis + INTRODUCTION_MILLIS;
        } else if (nowMillis - lastTickMillis > PAUSE_MILLIS) {
            forgivePause(nowMillis - lastTickMillis);
        }
        lastTickMillis = nowMillis;
        introduce(nowMillis, commands);
        endSuspicions(nowMillis);
        accuse(nowMillis, commands);
        spreadUrgentNews(nowMillis, commands);
        probeIndirectly(nowMillis, commands);
        if (nowMillis >= nextProbeMillis) {
            nextProbeMillis = Math.max(nextProbeMillis + PROBE_PERIOD_MILLIS, nowMillis + 1);
            endProbe(nowMillis);
            startProbe(nowMillis, commands);
        }
        if (nowMillis >= nextContactMillis) {
            contact(nowMillis, commands);
        }
        relayed.values().removeIf(item -> nowMillis - item.startedMillis() > RELAYED_PROBE_MILLIS);
        table.removeExpiredDead(nowMillis);
    }

    private void introduce(long nowMillis, List<Command> commands) {
        if (nowMillis >= introductionEndMillis) {
            return;
        }
        GossipPayload news =
                new GossipPayload(List.of(selfUpdate()), List.of(), List.of(), configurationRevision.getAsLong());
        for (MemberUpdate member : table.present()) {
            if (introducedTo.add(member.host())) {
                send(member, new Ack(0, news), commands);
            }
        }
        List<MemberUpdate> others = table.present();
        if (nowMillis >= nextListRequestMillis && !others.isEmpty()) {
            nextListRequestMillis = nowMillis + LIST_REQUEST_MILLIS;
            MemberUpdate peer = others.get(random.nextInt(others.size()));
            send(peer, new Ping(Ping.LIST_REQUEST, news(peer.host(), nowMillis)), commands);
        }
    }

    private void forgivePause(long gapMillis) {
        probe = Optional.empty();
        suspectUntil.replaceAll((host, until) -> until + gapMillis);
    }

    private void endSuspicions(long nowMillis) {
        List<HostId> expired = new ArrayList<>();
        suspectUntil.forEach((host, until) -> {
            if (nowMillis >= until) {
                expired.add(host);
            }
        });
        for (HostId host : expired) {
            table.find(host).ifPresent(known -> apply(withState(known, RouterState.DEAD), nowMillis));
        }
    }

    private void accuse(long nowMillis, List<Command> commands) {
        if (nowMillis < nextAccusationMillis || suspectUntil.isEmpty()) {
            return;
        }
        nextAccusationMillis = nowMillis + ACCUSATION_MILLIS;
        for (HostId host : suspectUntil.keySet()) {
            table.find(host).ifPresent(known -> send(known, new Ping(numbers.next(), news(host, nowMillis)), commands));
        }
    }

    /** Passes suspicions, deaths and departures on at once; probes alone take more than 2 s to reach 60 routers. */
    private void spreadUrgentNews(long nowMillis, List<Command> commands) {
        if (urgentNews) {
            urgentNews = false;
            for (MemberUpdate peer : randomAlive(URGENT_NEWS_RECEIVERS, self.host())) {
                send(peer, new Ack(0, news(peer.host(), nowMillis)), commands);
            }
        }
    }

    private List<MemberUpdate> randomAlive(int count, HostId except) {
        List<MemberUpdate> others = new ArrayList<>(table.present());
        others.removeIf(other -> other.host().equals(except) || other.state() != RouterState.ALIVE);
        List<MemberUpdate> chosen = new ArrayList<>();
        while (chosen.size() < count && !others.isEmpty()) {
            chosen.add(others.remove(random.nextInt(others.size())));
        }
        return chosen;
    }

    private void startProbe(long nowMillis, List<Command> commands) {
        Optional<MemberUpdate> next = order.next(table);
        if (next.isEmpty()) {
            return;
        }
        MemberUpdate subject = next.get();
        long sequence = numbers.next();
        probe = Optional.of(new Probe(subject.host(), sequence, nowMillis, false));
        send(subject, new Ping(sequence, news(subject.host(), nowMillis)), commands);
    }

    private void probeIndirectly(long nowMillis, List<Command> commands) {
        if (probe.isEmpty()
                || probe.get().indirect()
                || nowMillis - probe.get().startedMillis() < DIRECT_TIMEOUT_MILLIS) {
            return;
        }
        Probe current = probe.get();
        probe = Optional.of(current.goneIndirect());
        for (MemberUpdate helper : randomAlive(INDIRECT_PROBES, current.subject())) {
            PingRequest request =
                    new PingRequest(current.sequence(), current.subject(), news(helper.host(), nowMillis));
            send(helper, request, commands);
        }
    }

    private void endProbe(long nowMillis) {
        probe.flatMap(current -> table.find(current.subject())).ifPresent(known -> suspect(known, nowMillis));
        probe = Optional.empty();
    }

    private void suspect(MemberUpdate known, long nowMillis) {
        if (known.state() == RouterState.ALIVE) {
            apply(withState(known, RouterState.SUSPECT), nowMillis);
        } else if (known.state() == RouterState.LEAVING) {
            suspectUntil.putIfAbsent(known.host(), nowMillis + SUSPICION_MILLIS);
        }
    }

    /** Contacts a router that is not in the view: a seed, a listed router or one that is believed dead. */
    private void contact(long nowMillis, List<Command> commands) {
        TreeSet<String> known = new TreeSet<>();
        known.add(self.address());
        table.present().forEach(member -> known.add(member.address()));
        Map<String, MemberUpdate> candidates = new TreeMap<>();
        seeds.forEach(address -> candidates.put(address, seed(address)));
        listedAddresses.forEach(address -> candidates.put(address, seed(address)));
        table.dead().forEach(member -> candidates.put(member.address(), member));
        candidates.keySet().removeAll(known);
        boolean alone = table.present().isEmpty();
        nextContactMillis = nowMillis + (alone ? PROBE_PERIOD_MILLIS : CONTACT_PERIOD_MILLIS);
        if (candidates.isEmpty()) {
            return;
        }
        List<MemberUpdate> choices = List.copyOf(candidates.values());
        MemberUpdate chosen = choices.get(random.nextInt(choices.size()));
        send(chosen, new Ping(Ping.LIST_REQUEST, newsWithSelf(chosen.host(), nowMillis)), commands);
    }

    private MemberUpdate seed(String address) {
        return new MemberUpdate(
                HostId.unknownAt(address), address, self.region(), self.failureDomain(), RouterState.ALIVE, 0);
    }

    private void receive(HostId from, PeerMessage message, long nowMillis, List<Command> commands) {
        switch (message) {
            case Ping ping -> {
                absorb(ping.gossip(), nowMillis);
                reply(from, ping.sequence(), nowMillis, commands);
                if (ping.sequence() == Ping.LIST_REQUEST) {
                    sendMembers(from, commands);
                }
            }
            case Ack ack -> {
                absorb(ack.gossip(), nowMillis);
                acknowledged(from, ack.sequence(), nowMillis, commands);
            }
            case PingRequest request -> {
                absorb(request.gossip(), nowMillis);
                probeFor(from, request, nowMillis, commands);
            }
            default -> {}
        }
    }

    private void reply(HostId from, long sequence, long nowMillis, List<Command> commands) {
        table.find(from).ifPresent(sender -> {
            boolean dead = sender.state() == RouterState.DEAD;
            GossipPayload news = dead ? newsWithSelf(from, nowMillis) : news(from, nowMillis);
            send(sender, new Ack(sequence, news), commands);
        });
    }

    private void acknowledged(HostId from, long sequence, long nowMillis, List<Command> commands) {
        if (probe.isPresent() && probe.get().sequence() == sequence) {
            HostId subject = probe.get().subject();
            probe = Optional.empty();
            if (table.find(subject)
                    .filter(known -> known.state() == RouterState.LEAVING)
                    .isPresent()) {
                suspectUntil.remove(subject);
            }
        }
        RelayedProbe waiting = relayed.remove(sequence);
        if (waiting != null) {
            reply(waiting.requester(), waiting.sequence(), nowMillis, commands);
        }
    }

    private void probeFor(HostId requester, PingRequest request, long nowMillis, List<Command> commands) {
        table.find(request.subject()).ifPresent(subject -> {
            long sequence = numbers.next();
            relayed.put(sequence, new RelayedProbe(requester, request.sequence(), nowMillis));
            send(subject, new Ping(sequence, news(subject.host(), nowMillis)), commands);
        });
    }

    private void connectFailed(HostId host, long nowMillis, List<Command> commands) {
        if (probe.isPresent() && probe.get().subject().equals(host)) {
            if (!probe.get().indirect()) {
                probe = Optional.of(probe.get().startedAt(nowMillis - DIRECT_TIMEOUT_MILLIS));
                probeIndirectly(nowMillis, commands);
            }
        } else if (table.present(host)) {
            order.prioritize(host);
        }
    }

    private void sendMembers(HostId to, List<Command> commands) {
        Optional<MemberUpdate> receiver = table.find(to);
        if (receiver.isEmpty()) {
            return;
        }
        List<MemberUpdate> all = new ArrayList<>(table.present());
        all.add(selfUpdate());
        for (int start = 0; start < all.size(); start += MEMBERS_PER_LIST_MESSAGE) {
            List<MemberUpdate> part = all.subList(start, Math.min(all.size(), start + MEMBERS_PER_LIST_MESSAGE));
            GossipPayload news = new GossipPayload(part, List.of(), List.of(), configurationRevision.getAsLong());
            send(receiver.get(), new Ack(0, news), commands);
        }
    }

    private void absorb(GossipPayload news, long nowMillis) {
        for (MemberUpdate update : news.members()) {
            if (update.host().equals(self.host())) {
                refute(update);
            } else {
                apply(update, nowMillis);
            }
        }
        if (!news.targets().isEmpty()) {
            targetNews.sink().apply(news.targets(), nowMillis);
        }
        if (!news.poison().isEmpty()) {
            poisonNews.sink().apply(news.poison(), nowMillis);
        }
    }

    private void refute(MemberUpdate update) {
        boolean accused = update.state() == RouterState.SUSPECT || update.state() == RouterState.DEAD;
        if (accused && update.refutation() >= refutation) {
            refutation = update.refutation() + 1;
            updates.add(self.host(), selfUpdate());
        }
    }

    private void apply(MemberUpdate update, long nowMillis) {
        if (!table.apply(update, nowMillis)) {
            return;
        }
        updates.add(update.host(), update);
        urgentNews = urgentNews || update.state() != RouterState.ALIVE;
        if (update.state() == RouterState.SUSPECT) {
            suspectUntil.put(update.host(), nowMillis + SUSPICION_MILLIS);
        } else {
            suspectUntil.remove(update.host());
        }
    }

    private GossipPayload newsWithSelf(HostId receiver, long nowMillis) {
        updates.add(self.host(), selfUpdate());
        return news(receiver, nowMillis);
    }

    private GossipPayload news(HostId receiver, long nowMillis) {
        int routers = table.present().size() + 1;
        Map<HostId, MemberUpdate> members = new LinkedHashMap<>();
        table.find(receiver)
                .filter(known -> known.state() != RouterState.ALIVE)
                .ifPresent(known -> members.put(receiver, known));
        for (MemberUpdate update : updates.take(UPDATES_PER_MESSAGE - members.size(), routers)) {
            members.putIfAbsent(update.host(), update);
        }
        int repairs = Math.min(REPAIRS_PER_MESSAGE, UPDATES_PER_MESSAGE - members.size());
        for (int i = 0; i < repairs; i++) {
            MemberUpdate update = randomMember();
            members.putIfAbsent(update.host(), update);
        }
        return new GossipPayload(
                List.copyOf(members.values()),
                targetNews.source().nextUpdates(UPDATES_PER_MESSAGE, nowMillis),
                poisonNews.source().nextUpdates(UPDATES_PER_MESSAGE, nowMillis),
                configurationRevision.getAsLong());
    }

    /** Returns one member at random; this repairs updates that were lost on all their transmissions. */
    private MemberUpdate randomMember() {
        List<MemberUpdate> all = table.present();
        int index = random.nextInt(all.size() + 1);
        return index == all.size() ? selfUpdate() : all.get(index);
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
        private Probe goneIndirect() {
            return new Probe(subject, sequence, startedMillis, true);
        }

        private Probe startedAt(long millis) {
            return new Probe(subject, sequence, millis, indirect);
        }
    }

    private record RelayedProbe(HostId requester, long sequence, long startedMillis) {}
}
