package org.amaranthlock.entry.control;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.amaranthlock.coordination.forwarding.ClockReading;
import org.amaranthlock.coordination.forwarding.Mechanisms;
import org.amaranthlock.coordination.forwarding.StoreReaderSelector;
import org.amaranthlock.coordination.forwarding.TargetTable;
import org.amaranthlock.coordination.promptpart.PromptPartGuard;
import org.amaranthlock.coordination.promptpart.PromptPartListener;
import org.amaranthlock.entry.log.DecisionLog;
import org.amaranthlock.entry.metrics.EntryMetrics;
import org.amaranthlock.entry.peer.EntryPeerMessage;
import org.amaranthlock.entry.peer.PeerFrame;
import org.amaranthlock.model.FailureDomain;
import org.amaranthlock.model.TargetId;
import org.amaranthlock.platform.PeerRegistration;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.jboss.logging.Logger;

/**
 * Hosts that read the store and ask one another, in virtual time: their registrations, configuration, targets and
 * verdicts, on connections that open and close as those of {@code PeerConnections}.
 */
final class StartFleet {
    /** Time of a message between two hosts or between a host and the store, in milliseconds. */
    static final long ONE_WAY_MILLIS = 12;

    /** Name of the logger of all hosts. */
    static final String LOGGER = "start-fleet";

    static final long APPLY_MILLIS = 2_500;
    private static final long MAINTENANCE_MILLIS = 500;
    private static final long LARGE_FLEET_MAINTENANCE_MILLIS = 1_500;
    private static final int LARGE_FLEET = 24;
    private static final long HEARTBEAT_MILLIS = 1_500;
    private static final long RESUME_POLL_MILLIS = 3;

    private final EmbeddedChannel channel = new EmbeddedChannel();
    final SimulatedStore store = new SimulatedStore(this::schedule, ONE_WAY_MILLIS);
    final UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(7);
    final Map<String, Host> hosts = new TreeMap<>();
    private final int domains;
    private final boolean startsFromPeers;
    private long nowMillis;

    StartFleet(int domains, boolean startsFromPeers) {
        this.domains = domains;
        this.startsFromPeers = startsFromPeers;
        channel.freezeTime();
        writeConfiguration(1);
        putTarget("engine-1", "ready");
    }

    void writeConfiguration(long version) {
        store.put("config", "main", configuration(version));
    }

    static ObjectNode configuration(long version) {
        return JsonNodeFactory.instance.objectNode().put("version", version);
    }

    void putTarget(String name, String state) {
        store.put(
                "servers",
                name,
                JsonNodeFactory.instance
                        .objectNode()
                        .put("service", "engines")
                        .put("address", "10.1.0.1:8000")
                        .put("zone", "zone-0")
                        .put("slots", 4)
                        .put("state", state));
    }

    /** Starts a process of the host with the given number, whose name is in the order of the numbers. */
    Host start(int number) {
        Host host = new Host(name(number), "zone-" + number % domains);
        hosts.put(host.name, host);
        host.start();
        return host;
    }

    Host host(int number) {
        return hosts.get(name(number));
    }

    void advance(long millis) {
        for (long step = 0; step < millis; step++) {
            nowMillis++;
            channel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
            channel.runPendingTasks();
        }
    }

    /** Has all connections to the store that are open go silent; new ones work. */
    void silenceStoreConnections() {
        store.silenceWatches();
        hosts.values().forEach(host -> host.losesNextCall = true);
    }

    /** Has all connections that are open, to the store and between hosts, go silent; new ones work. */
    void silenceOpenConnections() {
        silenceStoreConnections();
        hosts.values().forEach(host -> host.silent.addAll(host.connections.keySet()));
    }

    long nowMillis() {
        return nowMillis;
    }

    void schedule(long delayMillis, Runnable action) {
        channel.eventLoop().schedule(action, delayMillis, TimeUnit.MILLISECONDS);
    }

    private static String name(int number) {
        return "entry-" + (100 + number);
    }

    /** Process of a host. */
    final class Host {
        /** Counts the responses to other hosts and delays none. */
        final SimulatedLink outgoing = new SimulatedLink(SimulatedLink.NARROWEST_BYTES_PER_MILLI);

        final String name;
        private final String domain;
        private final long startedAtMillis = nowMillis;
        private final DecisionLog log = new DecisionLog(Logger.getLogger(LOGGER), () -> nowMillis);
        private final EntryMetrics metrics = new EntryMetrics();
        private final ResponseBudget budget = new ResponseBudget(() -> nowMillis, log);
        private final PeerStoreServer server = new PeerStoreServer(this::clock, budget);
        private final PeerStoreClient client;
        private final ConfigurationPoller poller;
        private final TargetWatcher watcher;
        private final PromptPartVerdicts verdicts;
        private final PeerDirectory directory;
        private final PromptPartExchange exchange;
        private final StartStateServer stateServer;
        private final StartFromPeers startFromPeers;
        private final Map<String, PeerRegistration> peers = new LinkedHashMap<>();

        /** Processes to which this one has opened a connection, by name. */
        private final Map<String, Host> connections = new TreeMap<>();

        /** Hosts that tell starting hosts what they know. */
        private final Set<String> telling = new TreeSet<>();

        private final Set<String> toldLevel = new TreeSet<>();

        private final Set<String> connecting = new LinkedHashSet<>();

        /** Hosts to which the connection of this one has gone silent. */
        private final Set<String> silent = new TreeSet<>();

        private boolean suspended;
        private boolean cutFromStore;
        private boolean losesNextCall;
        private boolean killed;
        private boolean earlierBuild;
        private boolean verdictsKnown;
        private TargetTable targets;
        private long version;
        private long confirmedAtMillis = Long.MIN_VALUE / 2;
        private long readyAtMillis = Long.MAX_VALUE;

        private Host(String name, String domain) {
            this.name = name;
            this.domain = domain;
            var storeClient = store.clientOf(this::whenRunning, () -> cutFromStore || losesCall());
            this.client = new PeerStoreClient(
                    channel.eventLoop(),
                    new StoreReaderSelector(name),
                    new Connections(),
                    () -> nowMillis,
                    log,
                    metrics);
            this.watcher = new TargetWatcher(
                    storeClient,
                    channel.eventLoop(),
                    () -> nowMillis,
                    client,
                    server,
                    table -> {
                        targets = table;
                        checkReady();
                    },
                    Mechanisms.ALL,
                    log,
                    metrics);
            this.poller = new ConfigurationPoller(
                    storeClient,
                    channel.eventLoop(),
                    this::clock,
                    ConfigurationPollTimes.within(APPLY_MILLIS),
                    client,
                    server,
                    watcher,
                    (configuration, sentAtMillis) -> {
                        version = configuration.version();
                        confirmedAtMillis = Math.max(confirmedAtMillis, sentAtMillis);
                        checkReady();
                    },
                    this::announce,
                    log,
                    metrics);
            this.verdicts = new PromptPartVerdicts(
                    storeClient, channel.eventLoop(), () -> nowMillis, _ -> onVerdictsKnown(), log, metrics);
            Connections links = new Connections();
            this.exchange = new PromptPartExchange(
                    name,
                    new PromptPartGuard(name, PromptPartListener.none()),
                    channel.eventLoop(),
                    channel.eventLoop(),
                    links,
                    verdicts,
                    () -> nowMillis,
                    random,
                    this::onVerdictsKnown);
            this.stateServer =
                    new StartStateServer(channel.eventLoop(), poller, watcher, server, exchange, this::clock);
            this.startFromPeers = new StartFromPeers(
                    channel.eventLoop(),
                    name,
                    new FailureDomain(domain),
                    startsFromPeers,
                    links,
                    poller,
                    watcher,
                    exchange,
                    this::clock,
                    random,
                    log,
                    metrics);
            this.directory = new PeerDirectory(
                    storeClient,
                    channel.eventLoop(),
                    name,
                    new FailureDomain(domain),
                    this::onFirstList,
                    this::updatePeers,
                    random,
                    log,
                    metrics);
        }

        private ClockReading clock() {
            return ClockReading.of(nowMillis);
        }

        private void start() {
            startFromPeers.start();
            directory.start("10.0.0." + name.substring("entry-".length()) + ":7000");
            schedule(MAINTENANCE_MILLIS, this::maintain);
            schedule(HEARTBEAT_MILLIS, this::hearOfOthers);
        }

        /** Returns the time from the start until this host could serve; {@link Long#MAX_VALUE} if it could not yet. */
        long readyAfterMillis() {
            return readyAtMillis == Long.MAX_VALUE ? Long.MAX_VALUE : readyAtMillis - startedAtMillis;
        }

        long version() {
            return version;
        }

        /** Returns the time as of which the host believes that its version is the newest; keys are accepted by it. */
        long confirmedAtMillis() {
            return confirmedAtMillis;
        }

        /** Returns whether the host would send new requests to a target. */
        boolean uses(String target) {
            return targets != null
                    && targets.target(new TargetId(target))
                            .filter(found -> !found.draining())
                            .isPresent();
        }

        /** The host is of a build that does not tell hosts that start what it knows. */
        void earlierBuild() {
            earlierBuild = true;
        }

        /** The host sends and handles nothing until it is resumed, and its connections stay open. */
        void suspend() {
            suspended = true;
        }

        void resume() {
            suspended = false;
        }

        /** Calls to the store get no response any more. */
        void cutFromStore() {
            cutFromStore = true;
        }

        /** Returns whether the next call or response is lost, because it uses a connection that has gone silent. */
        private boolean losesCall() {
            boolean lost = losesNextCall;
            losesNextCall = false;
            return lost;
        }

        /** The host ends, and its connections are closed. */
        void kill() {
            killed = true;
            hosts.remove(name, this);
            hosts.values().forEach(other -> schedule(ONE_WAY_MILLIS, () -> other.onClosed(this)));
        }

        private boolean runs() {
            return !killed && !suspended;
        }

        /** Runs an action of this process now, when it is resumed, or never if it has ended. */
        private void whenRunning(Runnable action) {
            if (runs()) {
                action.run();
            } else if (!killed) {
                schedule(RESUME_POLL_MILLIS, () -> whenRunning(action));
            }
        }

        private void checkReady() {
            stateServer.onPartKnown();
            if (version > 0 && targets != null && verdictsKnown) {
                readyAtMillis = Math.min(readyAtMillis, nowMillis);
            }
        }

        private void onVerdictsKnown() {
            verdictsKnown = true;
            checkReady();
        }

        private void onFirstList(Set<PeerRegistration> listed) {
            updatePeers(listed);
            startFromPeers.onPeersListed(listed);
        }

        private void announce(long newVersion) {
            connections.values().forEach(other -> send(other, () -> other.poller.onVersionAnnounced(newVersion)));
        }

        private void updatePeers(Set<PeerRegistration> listed) {
            peers.clear();
            listed.forEach(peer -> peers.put(peer.name(), peer));
            peers.keySet().forEach(this::connect);
        }

        private void maintain() {
            if (runs()) {
                peers.keySet().forEach(this::connect);
            }
            if (!killed) {
                schedule(
                        peers.size() >= LARGE_FLEET ? LARGE_FLEET_MAINTENANCE_MILLIS : MAINTENANCE_MILLIS,
                        this::maintain);
            }
        }

        /** Load reports of all hosts arrive, over others too. */
        private void hearOfOthers() {
            if (runs() && !connections.isEmpty()) {
                hosts.values().stream()
                        .filter(other -> other != this && !peers.containsKey(other.name))
                        .filter(other -> !other.connections.isEmpty())
                        .forEach(other -> directory.onUnknownHost(other.name));
            }
            if (!killed) {
                schedule(HEARTBEAT_MILLIS, this::hearOfOthers);
            }
        }

        private void connect(String peer) {
            if (connections.containsKey(peer) || !connecting.add(peer)) {
                return;
            }
            Host other = hosts.get(peer);
            schedule(2 * ONE_WAY_MILLIS, () -> {
                connecting.remove(peer);
                if (runs() && other != null && !other.killed) {
                    connections.put(peer, other);
                    silent.remove(peer);
                    send(other, () -> other.onGreeting(this));
                }
            });
        }

        private void onGreeting(Host other) {
            if (peers.containsKey(other.name)) {
                connect(other.name);
            } else {
                directory.onUnknownHost(other.name);
            }
            send(other, () -> other.onLevelTold(this));
        }

        private void onLevelTold(Host other) {
            client.onPeerResponsive(other.name);
            toldLevel.add(other.name);
            if (connections.get(other.name) == other && !other.earlierBuild) {
                telling.add(other.name);
                startFromPeers.onConnectionsChanged();
            }
        }

        private void onClosed(Host other) {
            if (runs() && connections.remove(other.name, other)) {
                onConnectionLost(other.name);
            }
        }

        private void onConnectionLost(String peer) {
            telling.remove(peer);
            toldLevel.remove(peer);
            client.onPeerLost(peer, "link-closed");
            startFromPeers.onConnectionsChanged();
        }

        private void receive(EntryPeerMessage message, Host sender) {
            switch (message) {
                case EntryPeerMessage.ConfigurationQuery query ->
                    server.handleQuery(query, reply -> respond(sender, reply));
                case EntryPeerMessage.TargetsQuery query -> server.handleQuery(query, reply -> respond(sender, reply));
                case EntryPeerMessage.StartQuery query ->
                    stateServer.handleQuery(query, reply -> respond(sender, reply));
                default -> throw new AssertionError("unexpected message " + message);
            }
        }

        private void respond(Host sender, EntryPeerMessage reply) {
            outgoing.pass(PeerFrame.of(reply).bytes(), nowMillis);
            send(sender, () -> {
                if (sender.silent.contains(name)) {
                    return;
                }
                if (reply instanceof EntryPeerMessage.StartState state) {
                    sender.startFromPeers.onState(state);
                } else {
                    sender.client.onResponse((EntryPeerMessage.Response) reply);
                }
            });
        }

        private void send(Host receiver, Runnable action) {
            whenRunning(() -> schedule(ONE_WAY_MILLIS, () -> receiver.whenRunning(action)));
        }

        private final class Connections implements PeerQueries, StartFromPeers.Peers {
            @Override
            public List<PeerRegistration> peersThatTellStarts() {
                return telling.stream().map(peers::get).toList();
            }

            @Override
            public boolean isConnecting() {
                return !connecting.isEmpty() || !toldLevel.containsAll(connections.keySet());
            }

            @Override
            public boolean sendStartQuery(String peer, EntryPeerMessage.StartQuery query) {
                return sendQuery(peer, query);
            }

            @Override
            public Set<String> connectedPeers() {
                return connections.values().stream()
                        .filter(other -> other.domain.equals(domain))
                        .map(other -> other.name)
                        .collect(Collectors.toSet());
            }

            @Override
            public boolean sendQuery(String peer, EntryPeerMessage query) {
                Host receiver = connections.get(peer);
                if (receiver != null && !silent.contains(peer)) {
                    send(receiver, () -> receiver.receive(query, Host.this));
                }
                return receiver != null;
            }

            @Override
            public void reset(String peer) {
                if (connections.remove(peer) != null) {
                    onConnectionLost(peer);
                }
            }
        }
    }
}
