package org.amaranthlock.entry.control;

import io.netty.channel.EventLoop;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.amaranthlock.coordination.forwarding.ClockReading;
import org.amaranthlock.entry.log.DecisionLog;
import org.amaranthlock.entry.metrics.EntryMetrics;
import org.amaranthlock.entry.peer.EntryPeerMessage.KnownObjects;
import org.amaranthlock.entry.peer.EntryPeerMessage.StartQuery;
import org.amaranthlock.entry.peer.EntryPeerMessage.StartState;
import org.amaranthlock.model.FailureDomain;
import org.amaranthlock.platform.PeerRegistration;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Fetches the configuration, the targets and the verdicts on prompt parts from other hosts when this one starts.
 *
 * <p>Load pattern: all hosts of a fleet are restarted, in turn or at once. Each call to the store is charged, and most
 * of them would return what another host has just read. The host queries the reader of its failure domain, or that of
 * another one, and reads from the store what no peer has sent within {@link #PEER_WAIT_MILLIS}. If a host with a lower
 * name in its domain is starting too, that one reads the store, and this one waits longer.
 *
 * <p>The age of a peer's data is computed from the time at which the query was sent and an interval that the peer
 * measures with a clock that includes suspensions. Data that is too old is ignored. All calls are on the control loop.
 */
public final class StartFromPeers {
    /** Time for a peer to respond, from the list of hosts and from each query, in milliseconds. */
    static final long PEER_WAIT_MILLIS = 150;

    /**
     * Time for a first peer to be connected, from the list of hosts, in milliseconds. Allows for the slowness of
     * processes that have just started.
     */
    static final long CONNECT_WAIT_MILLIS = 500;

    /** Time for the hosts to be listed, from the start, in milliseconds; equals the timeout of that call. */
    static final long LIST_WAIT_MILLIS = 1_000;

    /** Time without a response to a query after which another peer is queried, in milliseconds. */
    private static final long ANSWER_MILLIS = 50;

    /**
     * Minimum further wait for a starting host that reads the store, in milliseconds; covers its reads and some
     * messages.
     */
    private static final long READER_WAIT_MILLIS = 350;

    /** Maximum random addition to that wait, which spreads the reads of the waiting hosts, in milliseconds. */
    private static final long SPREAD_MILLIS = 650;

    private final EventLoop loop;
    private final String hostName;
    private final FailureDomain domain;
    private final boolean enabled;
    private final Peers peers;
    private final ConfigurationPoller configurationPoller;
    private final TargetWatcher targetWatcher;
    private final PromptPartExchange promptPartExchange;
    private final Supplier<ClockReading> clock;
    private final UniformRandomProvider random;
    private final DecisionLog log;
    private final EntryMetrics metrics;
    private final Set<Part> missing = EnumSet.allOf(Part.class);
    private final Map<Long, Query> outstanding = new HashMap<>();
    private final Set<String> asked = new HashSet<>();
    private long lastId;
    private boolean listed;
    private ClockReading listedAt;
    private boolean waitOver;
    private boolean spreading;

    private enum Part {
        CONFIGURATION,
        TARGETS,
        VERDICTS
    }

    /** Connections to the other hosts. */
    public interface Peers {
        /** Returns the connected hosts that answer a {@link StartQuery}. */
        List<PeerRegistration> peersThatTellStarts();

        /**
         * Returns whether connections are being opened, or are open and their hosts have not sent their message level.
         */
        boolean isConnecting();

        /** Sends a query to a host; returns whether it is connected. */
        boolean sendStartQuery(String peer, StartQuery query);
    }

    private record Query(String peer, ClockReading sentAt, boolean mayWait) {}

    /**
     * Creates the component that fetches the start state of a host.
     *
     * @param enabled whether peers are queried; if not, the store is read at once
     */
    public StartFromPeers(
            EventLoop loop,
            String hostName,
            FailureDomain domain,
            boolean enabled,
            Peers peers,
            ConfigurationPoller configurationPoller,
            TargetWatcher targetWatcher,
            PromptPartExchange promptPartExchange,
            Supplier<ClockReading> clock,
            UniformRandomProvider random,
            DecisionLog log,
            EntryMetrics metrics) {
        this.loop = Objects.requireNonNull(loop, "loop");
        this.hostName = Objects.requireNonNull(hostName, "host name");
        this.domain = Objects.requireNonNull(domain, "domain");
        this.enabled = enabled;
        this.peers = Objects.requireNonNull(peers, "peers");
        this.configurationPoller = Objects.requireNonNull(configurationPoller, "configuration poller");
        this.targetWatcher = Objects.requireNonNull(targetWatcher, "target watcher");
        this.promptPartExchange = Objects.requireNonNull(promptPartExchange, "prompt part exchange");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.listedAt = clock.get();
        this.random = Objects.requireNonNull(random, "random");
        this.log = Objects.requireNonNull(log, "log");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
    }

    /** Starts to wait for the list of hosts, or reads the store if peers are not to be queried. */
    public void start() {
        if (!enabled) {
            loop.execute(() -> readMissing("switched-off"));
            return;
        }
        loop.schedule(
                () -> {
                    if (!listed) {
                        readMissing("not-listed");
                    }
                },
                LIST_WAIT_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** Starts to wait for responses of the hosts on the first list. */
    public void onPeersListed(Set<PeerRegistration> registered) {
        if (listed || missing.isEmpty()) {
            return;
        }
        listed = true;
        listedAt = clock.get();
        if (registered.isEmpty()) {
            readMissing("no-peers");
        } else {
            loop.schedule(this::onWaitOver, PEER_WAIT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Queries a host that has become able to respond, or another one in place of a disconnected host. */
    public void onConnectionsChanged() {
        if (missing.isEmpty() || !enabled) {
            return;
        }
        Set<String> telling = new HashSet<>();
        peers.peersThatTellStarts().forEach(peer -> telling.add(peer.name()));
        outstanding.values().removeIf(query -> !telling.contains(query.peer()));
        proceed();
    }

    /** Uses the response of a host. */
    public void onState(StartState state) {
        Query query = outstanding.remove(state.id());
        if (query == null || missing.isEmpty()) {
            return;
        }
        Set<Part> before = EnumSet.copyOf(missing);
        state.configuration().ifPresent(known -> useConfiguration(known, query));
        state.targets().ifPresent(known -> useTargets(known, query));
        state.verdicts().filter(_ -> missing.contains(Part.VERDICTS)).ifPresent(report -> {
            missing.remove(Part.VERDICTS);
            promptPartExchange.useVerdicts(report);
        });
        boolean used = before.size() > missing.size();
        metrics.recordStoreCall("start-state", used ? "Used" : "NotUsed");
        log.write(
                "start-from-peer",
                "peer",
                query.peer(),
                "configuration_age_ms",
                age(state.configuration(), query),
                "targets_age_ms",
                age(state.targets(), query),
                "missing",
                missing);
        proceed();
    }

    private void useConfiguration(KnownObjects known, Query query) {
        boolean used = missing.contains(Part.CONFIGURATION)
                && known.objects().size() == 1
                && configurationPoller.startFrom(known.objects().getFirst(), confirmedAt(known, query));
        if (used) {
            missing.remove(Part.CONFIGURATION);
        }
    }

    private void useTargets(KnownObjects known, Query query) {
        ClockReading confirmedAt = confirmedAt(known, query);
        if (missing.contains(Part.TARGETS)
                && clock.get().millisSince(confirmedAt) < TargetWatcher.MAX_UNCONFIRMED_MILLIS) {
            missing.remove(Part.TARGETS);
            targetWatcher.startFrom(known.objects(), known.position(), confirmedAt);
        }
    }

    /** A host of an earlier build may tell too long an interval, but the call was sent before its response. */
    private ClockReading confirmedAt(KnownObjects known, Query query) {
        return query.sentAt().plusMillis(known.readAfterMillis()).min(clock.get());
    }

    private Object age(Optional<KnownObjects> known, Query query) {
        return known.<Object>map(present -> clock.get().millisSince(confirmedAt(present, query)))
                .orElse("-");
    }

    private void proceed() {
        if (!missing.isEmpty()) {
            queryPeers();
        }
        if (waitOver) {
            readUnlessReaderStarts();
        }
    }

    /**
     * Queries the reader of this host's domain, and those of the other domains in turn while no response is expected
     * soon.
     */
    private void queryPeers() {
        Map<String, String> readers = new TreeMap<>();
        peers.peersThatTellStarts()
                .forEach(peer -> readers.merge(
                        peer.failureDomain().value(),
                        peer.name(),
                        (one, other) -> one.compareTo(other) <= 0 ? one : other));
        Optional<String> domainReader = Optional.ofNullable(readers.remove(domain.value()));
        domainReader.filter(asked::add).ifPresent(peer -> send(peer, peer.compareTo(hostName) < 0));
        if (outstanding.values().stream().noneMatch(this::isAnswerExpected)) {
            new TreeSet<>(readers.values())
                    .stream().filter(asked::add).findFirst().ifPresent(peer -> send(peer, false));
        }
    }

    private boolean mayAnswer(Query query) {
        return clock.get().millisSince(query.sentAt()) < PEER_WAIT_MILLIS;
    }

    private boolean isAnswerExpected(Query query) {
        return clock.get().millisSince(query.sentAt()) < ANSWER_MILLIS;
    }

    private void send(String peer, boolean mayWait) {
        long id = ++lastId;
        if (peers.sendStartQuery(peer, new StartQuery(id, mayWait))) {
            outstanding.put(id, new Query(peer, clock.get(), mayWait));
            loop.schedule(this::proceed, ANSWER_MILLIS, TimeUnit.MILLISECONDS);
            loop.schedule(this::proceed, PEER_WAIT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void onWaitOver() {
        long elapsed = clock.get().millisSince(listedAt);
        if (asked.isEmpty() && elapsed < CONNECT_WAIT_MILLIS && peers.isConnecting()) {
            loop.schedule(this::onWaitOver, ANSWER_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        waitOver = true;
        proceed();
    }

    private void readUnlessReaderStarts() {
        boolean readerStarts = outstanding.values().stream().anyMatch(Query::mayWait);
        if (!readerStarts && outstanding.values().stream().noneMatch(this::mayAnswer)) {
            readMissing("no-answer");
        } else if (readerStarts && !spreading) {
            spreading = true;
            loop.schedule(
                    () -> readMissing("reader-late"),
                    READER_WAIT_MILLIS + random.nextLong(SPREAD_MILLIS),
                    TimeUnit.MILLISECONDS);
        }
    }

    private void readMissing(String cause) {
        if (missing.isEmpty()) {
            return;
        }
        Set<Part> parts = EnumSet.copyOf(missing);
        missing.clear();
        outstanding.clear();
        log.write("start-reads-store", "parts", parts, "cause", cause);
        for (Part part : parts) {
            reader(part).run();
        }
    }

    private Runnable reader(Part part) {
        return switch (part) {
            case CONFIGURATION -> configurationPoller::start;
            case TARGETS -> targetWatcher::start;
            case VERDICTS -> promptPartExchange::readVerdicts;
        };
    }
}
