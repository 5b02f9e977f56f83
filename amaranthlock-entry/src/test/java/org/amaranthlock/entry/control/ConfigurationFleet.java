package org.amaranthlock.entry.control;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.amaranthlock.coordination.forwarding.ClockReading;
import org.amaranthlock.coordination.forwarding.StoreReaderSelector;
import org.amaranthlock.entry.log.DecisionLog;
import org.amaranthlock.entry.metrics.EntryMetrics;
import org.amaranthlock.entry.peer.EntryPeerMessage;
import org.amaranthlock.platform.PlatformStore;
import org.amaranthlock.platform.StoreReply;
import org.amaranthlock.platform.StoredObject;
import org.jboss.logging.Logger;

/** Hosts that keep their configuration up to date, in virtual time, with a store and peer connections of the test. */
final class ConfigurationFleet {
    /** Time of a message between two hosts or between a host and the store, in milliseconds. */
    static final int ONE_WAY_MILLIS = 12;

    /** Time of a message over the link between two regions, in milliseconds. */
    private static final int CROSSING_MILLIS = 20;

    /** Bytes per millisecond of the link between two regions, 42 Mbit/s. */
    private static final double LINK_BYTES_PER_MILLI = 5_250;

    /** Bytes per millisecond of a host, 10 Mbit/s. */
    private static final double HOST_BYTES_PER_MILLI = 1_250;

    /** Time after which a closed connection to another host is opened again, in milliseconds. */
    private static final int RECONNECT_MILLIS = 500;

    /** Part of its size that an object has on its way between hosts; see EntryPeerMessageCodecTest. */
    private static final double COMPRESSED = 0.11;

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final Map<String, Host> hosts = new TreeMap<>();
    private StoredObject stored = new StoredObject("main", 1, JsonNodeFactory.instance.objectNode());
    private long nowMillis;
    private Set<String> domainsBeyondLink = Set.of();
    private int objectBytes;
    private boolean sharesReads;
    private double linkFreeAtMillis;
    private long crossedBytes;
    private long lastReadMillis;

    ConfigurationFleet() {
        channel.freezeTime();
    }

    /**
     * Puts domains beyond a link to the region of the store.
     *
     * @param bytes size of the configuration
     * @param shared whether one host beyond the link reads the store for the others
     */
    void putBeyondLink(Set<String> domains, int bytes, boolean shared) {
        domainsBeyondLink = domains;
        objectBytes = bytes;
        sharesReads = shared;
    }

    /** Returns the bytes of objects that have crossed the link. */
    long crossedBytes() {
        return crossedBytes;
    }

    /** Adds a host, which starts at once. */
    Host addHost(String name, String domain, long applyMillis) {
        Host host = new Host(name, domain, applyMillis);
        hosts.put(name, host);
        host.poller.start();
        return host;
    }

    /** Writes a configuration, acknowledged at once. */
    void write(long version, long revision) {
        ObjectNode spec = JsonNodeFactory.instance.objectNode().put("version", version);
        stored = new StoredObject("main", revision, spec);
    }

    /** Has all connections that are open, between hosts and to the store, go silent; new ones work. */
    void silenceOpenConnections() {
        for (Host host : hosts.values()) {
            host.losesNextRead = true;
            hosts.keySet().forEach(other -> host.connection(other).silent = true);
        }
    }

    /** Writes an object that is no configuration. */
    void writeUndecodable(long revision) {
        stored = new StoredObject(
                "main", revision, JsonNodeFactory.instance.objectNode().put("version", "seven"));
    }

    void advance(long millis) {
        for (long step = 0; step < millis; step++) {
            nowMillis++;
            channel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
            channel.runPendingTasks();
        }
    }

    void advanceUntil(BooleanSupplier condition) {
        while (!condition.getAsBoolean()) {
            advance(1);
        }
    }

    long nowMillis() {
        return nowMillis;
    }

    /** Returns when a host sent the last read; no confirmation can be newer. */
    long lastReadMillis() {
        return lastReadMillis;
    }

    private void schedule(long delayMillis, Runnable action) {
        channel.eventLoop().schedule(action, delayMillis, TimeUnit.MILLISECONDS);
    }

    /** Connection of a host to another one, which carries its messages and the responses to them. */
    private static final class Connection {
        private boolean open = true;
        private boolean silent;
    }

    /** Host with its own poller; other hosts of its failure domain are its peers. */
    final class Host {
        private final String name;
        private final String domain;
        private final ResponseBudget budget = new ResponseBudget(
                () -> nowMillis, new DecisionLog(Logger.getLogger("configuration-fleet"), () -> nowMillis));
        private final PeerStoreServer server = new PeerStoreServer(this::clock, budget);
        private final PeerStoreClient client;
        private final ConfigurationPoller poller;
        private final ConfigurationFetchServer fetchServer;
        private double freeAtMillis;
        private final Map<Long, Long> inForceAtMillis = new LinkedHashMap<>();
        private long confirmedAtMillis;
        private final Map<String, Connection> connections = new TreeMap<>();
        private boolean silent;
        private boolean killed;
        private boolean cutFromStore;
        private boolean rejectedByStore;
        private boolean losesNextRead;
        private boolean keepsStoreConnection;
        private int reads;
        private long clockAheadMillis;
        private boolean earlierBuild;
        private boolean listenerFails;

        private Host(String name, String domain, long applyMillis) {
            this.name = name;
            this.domain = domain;
            DecisionLog log = new DecisionLog(Logger.getLogger("configuration-fleet"), () -> nowMillis);
            EntryMetrics metrics = new EntryMetrics();
            this.client = new PeerStoreClient(
                    channel.eventLoop(),
                    new StoreReaderSelector(name),
                    new Connections(),
                    () -> nowMillis,
                    log,
                    metrics);
            this.poller = new ConfigurationPoller(
                    new Store(),
                    channel.eventLoop(),
                    this::clock,
                    ConfigurationPollTimes.within(applyMillis),
                    client,
                    server,
                    StoreLinkListener.none(),
                    (configuration, sentAtMillis) -> {
                        if (listenerFails) {
                            listenerFails = false;
                            throw new IllegalStateException("fault of the test");
                        }
                        inForceAtMillis.putIfAbsent(configuration.version(), nowMillis);
                        confirmedAtMillis = Math.max(confirmedAtMillis, sentAtMillis);
                        known();
                    },
                    this::announce,
                    log,
                    metrics);
            this.fetchServer = new ConfigurationFetchServer(poller, this::clock);
        }

        private ClockReading clock() {
            long inclusive = nowMillis + clockAheadMillis;
            return new ClockReading(earlierBuild ? inclusive : nowMillis, inclusive);
        }

        /** The time of day of this host jumps ahead, which its clock takes for a suspension. */
        void jumpClock(long millis) {
            clockAheadMillis += millis;
        }

        /** The host is of a build that measures all intervals by the clock that takes a jump for a suspension. */
        void earlierBuild() {
            earlierBuild = true;
        }

        private void known() {
            fetchServer.onConfigurationKnown();
        }

        private boolean isBeyondLink() {
            return domainsBeyondLink.contains(domain);
        }

        /** Returns after how long an object that this host sends now has arrived at another host of its region. */
        private long objectMillis() {
            freeAtMillis = Math.max(freeAtMillis, nowMillis) + objectBytes * COMPRESSED / HOST_BYTES_PER_MILLI;
            return (long) Math.ceil(freeAtMillis) - nowMillis;
        }

        /** Returns after how long a response of the store that is sent now has crossed the link, if there is one. */
        private long linkMillis() {
            if (!isBeyondLink()) {
                return 0;
            }
            crossedBytes += objectBytes;
            linkFreeAtMillis = Math.max(linkFreeAtMillis, nowMillis) + objectBytes / LINK_BYTES_PER_MILLI;
            return (long) Math.ceil(linkFreeAtMillis) - nowMillis + CROSSING_MILLIS - ONE_WAY_MILLIS;
        }

        /** Returns when a version came into force; {@link Long#MAX_VALUE} if it never did. */
        long inForceAtMillis(long version) {
            return inForceAtMillis.getOrDefault(version, Long.MAX_VALUE);
        }

        /** Returns the time to which the host's belief that its configuration is the newest refers. */
        long confirmedAtMillis() {
            return confirmedAtMillis;
        }

        /** Returns the number of reads that the host has sent to the store. */
        int reads() {
            return reads;
        }

        /** The host neither sends nor handles anything any more, and its connections stay open. */
        void freeze() {
            silent = true;
        }

        /** The host ends, and its connections are closed. */
        void kill() {
            killed = true;
            silent = true;
            hosts.values().forEach(other -> other.client.onPeerLost(name, "link-closed"));
        }

        /** Calls to the store get no response any more. */
        void cutFromStore() {
            cutFromStore = true;
        }

        /** The next call to the store gets no response. */
        void loseNextRead() {
            losesNextRead = true;
        }

        /** The next confirmation of the configuration meets a program error. */
        void failNextConfirmation() {
            listenerFails = true;
        }

        /** Sets whether the store rejects the calls at once. */
        void rejectedByStore(boolean rejected) {
            rejectedByStore = rejected;
        }

        /** Announces a version to all other hosts. */
        void announce(long version) {
            hosts.values().stream()
                    .filter(other -> other != this)
                    .forEach(other ->
                            send(other, connection(other.name), () -> other.poller.onVersionAnnounced(version)));
        }

        private Connection connection(String peer) {
            return connections.computeIfAbsent(peer, _ -> new Connection());
        }

        private void receive(EntryPeerMessage message, Host sender, Connection connection) {
            if (silent) {
                return;
            }
            if (message instanceof EntryPeerMessage.ConfigurationQuery query) {
                server.handleQuery(
                        query,
                        reply -> send(
                                sender, connection, () -> sender.client.onResponse((EntryPeerMessage.Response) reply)));
            }
            if (message instanceof EntryPeerMessage.ConfigurationFetch fetch) {
                fetchServer.handleQuery(
                        fetch,
                        reply -> schedule(
                                objectMillis(),
                                () -> send(
                                        sender,
                                        connection,
                                        () -> sender.client.onResponse((EntryPeerMessage.Response) reply))));
            }
        }

        private void send(Host receiver, Connection connection, Runnable action) {
            if (!silent) {
                schedule(ONE_WAY_MILLIS, () -> {
                    if (!receiver.silent && connection.open && !connection.silent) {
                        action.run();
                    }
                });
            }
        }

        private final class Connections implements PeerQueries {
            @Override
            public Set<String> connectedPeers() {
                return hosts.values().stream()
                        .filter(other -> !other.killed && !other.name.equals(name) && connection(other.name).open)
                        .filter(other -> other.domain.equals(domain) || (isStoreRemote() && other.isBeyondLink()))
                        .map(other -> other.name)
                        .collect(Collectors.toSet());
            }

            @Override
            public boolean sendQuery(String peer, EntryPeerMessage query) {
                Host receiver = hosts.get(peer);
                Connection connection = connection(peer);
                send(receiver, connection, () -> receiver.receive(query, Host.this, connection));
                return true;
            }

            @Override
            public Set<String> connectedDomainPeers() {
                return connectedPeers().stream()
                        .filter(other -> hosts.get(other).domain.equals(domain))
                        .collect(Collectors.toSet());
            }

            @Override
            public boolean isStoreRemote() {
                return sharesReads && isBeyondLink();
            }

            @Override
            public void reset(String peer) {
                connection(peer).open = false;
                schedule(RECONNECT_MILLIS, () -> connections.put(peer, new Connection()));
                client.onPeerLost(peer, "link-closed");
            }
        }

        /** Store as this host reaches it; a read returns what is stored when it arrives. */
        private final class Store implements PlatformStore {
            @Override
            public void read(String kind, String objectName, long timeoutMillis, Consumer<StoreReply> result) {
                if (silent) {
                    return;
                }
                reads++;
                lastReadMillis = nowMillis;
                if (rejectedByStore) {
                    schedule(2 * ONE_WAY_MILLIS, () -> result.accept(new StoreReply.Unanswered("busy")));
                    return;
                }
                if (cutFromStore || losesNextRead) {
                    losesNextRead = false;
                    boolean kept = keepsStoreConnection;
                    keepsStoreConnection = false;
                    schedule(timeoutMillis, () -> result.accept(new StoreReply.Unanswered("no response", kept)));
                    return;
                }
                keepsStoreConnection = true;
                schedule(ONE_WAY_MILLIS, () -> {
                    StoredObject found = stored;
                    schedule(ONE_WAY_MILLIS + linkMillis(), () -> {
                        if (!silent) {
                            result.accept(new StoreReply.Found(found));
                        }
                    });
                });
            }

            @Override
            public void list(String kind, String afterName, long timeoutMillis, Consumer<StoreReply> result) {
                throw new UnsupportedOperationException("the poller lists nothing");
            }

            @Override
            public void listStale(String kind, String afterName, long timeoutMillis, Consumer<StoreReply> result) {
                throw new UnsupportedOperationException("the poller lists nothing");
            }

            @Override
            public void write(
                    String kind, String objectName, JsonNode spec, long timeoutMillis, Consumer<StoreReply> result) {
                throw new UnsupportedOperationException("the poller writes nothing");
            }

            @Override
            public void watch(
                    String kind, long revision, long waitMillis, long timeoutMillis, Consumer<StoreReply> result) {
                throw new UnsupportedOperationException("the poller watches nothing");
            }
        }
    }
}
