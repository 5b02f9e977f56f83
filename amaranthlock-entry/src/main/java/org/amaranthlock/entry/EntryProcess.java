package org.amaranthlock.entry;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.amaranthlock.coordination.forwarding.AdmissionPolicy;
import org.amaranthlock.coordination.forwarding.HostLoadReport;
import org.amaranthlock.coordination.forwarding.LeastDelayPlacement;
import org.amaranthlock.coordination.forwarding.LoadSheddingPolicy;
import org.amaranthlock.coordination.forwarding.StoreReaderSelector;
import org.amaranthlock.coordination.forwarding.SuspensionAwareClock;
import org.amaranthlock.coordination.forwarding.TargetLoadBalancer;
import org.amaranthlock.entry.control.ConfigurationPoller;
import org.amaranthlock.entry.control.PeerDirectory;
import org.amaranthlock.entry.control.PeerMessageRouter;
import org.amaranthlock.entry.control.PeerQueries;
import org.amaranthlock.entry.control.PeerStoreClient;
import org.amaranthlock.entry.control.PeerStoreServer;
import org.amaranthlock.entry.control.TargetWatcher;
import org.amaranthlock.entry.front.ClientServer;
import org.amaranthlock.entry.front.StatusServer;
import org.amaranthlock.entry.front.StatusServer.StatusResponse;
import org.amaranthlock.entry.log.DecisionLog;
import org.amaranthlock.entry.metrics.EntryMetrics;
import org.amaranthlock.entry.peer.EntryPeerMessage;
import org.amaranthlock.entry.peer.PeerConnections;
import org.amaranthlock.entry.settings.EntrySettings;
import org.amaranthlock.entry.settings.EntrySettingsReader;
import org.amaranthlock.entry.target.TargetConnectionPool;
import org.amaranthlock.model.AmaranthlockException;
import org.amaranthlock.platform.NettyPlatformStore;
import org.amaranthlock.platform.PeerEntry;
import org.amaranthlock.platform.ReadinessCheck;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.jboss.logging.Logger;

/** One running entry daemon. */
public final class EntryProcess {
    /** Time after the signal to end for which new connections are still accepted: the balancer needs two misses. */
    private static final long ACCEPT_WHILE_DRAINING_MILLIS = 2_600;

    /** Distance to the kill at which streams that still run are broken off, so that clients resume them elsewhere. */
    private static final long BREAK_OFF_MARGIN_MILLIS = 700;

    private static final long DRAIN_CHECK_MILLIS = 100;
    private static final long SETTINGS_CHECK_MILLIS = 2_000;

    private volatile EntrySettings settings;
    private final EventLoopGroup control = new NioEventLoopGroup(1, new DefaultThreadFactory("control", true));
    private final EventLoopGroup traffic = new NioEventLoopGroup(1, new DefaultThreadFactory("traffic", true));
    private final CountDownLatch ended = new CountDownLatch(1);
    private final EntryMetrics metrics = new EntryMetrics();
    private final DecisionLog log;
    private final RequestForwarder requests;
    private final NettyPlatformStore store;
    private final ClientServer front;
    private final StatusServer ready;
    private final StatusServer metricsPage;
    private final ConfigurationPoller configurationFollower;
    private final TargetWatcher targetFollower;
    private final PeerConnections peers;
    private final PeerDirectory peerDirectory;
    private volatile HostLoadReport news;
    private long drainingSinceMillis;

    /** Creates the parts of a daemon; {@link #start} starts them. */
    public EntryProcess(EntrySettings settings) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.log = new DecisionLog(Logger.getLogger("amaranthlock"), EntryProcess::steadyMillis);
        EventLoop trafficLoop = traffic.next();
        EventLoop controlLoop = control.next();
        SuspensionAwareClock ageClock = new SuspensionAwareClock(EntryProcess::steadyMillis, System::currentTimeMillis);
        TargetConnectionPool connections = new TargetConnectionPool(trafficLoop, EntryProcess::steadyMillis, metrics);
        UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create();
        this.requests = new RequestForwarder(
                trafficLoop,
                EntryProcess::steadyMillis,
                ageClock::millis,
                new AdmissionPolicy(
                        settings.bounds().maxRevocationMillis(),
                        settings.bounds().maxConfigurationAgeMillis()),
                settings.bounds().retryBudget(),
                new TargetLoadBalancer(
                        settings.failureDomain(), new LeastDelayPlacement(random), new LoadSheddingPolicy(random)),
                random,
                connections,
                log,
                metrics,
                this::newsChanged);
        this.store = new NettyPlatformStore(controlLoop, settings.storeAddress());
        PeerStoreServer relay = new PeerStoreServer(ageClock::millis);
        PeerStoreClient neighbour = new PeerStoreClient(
                controlLoop,
                new StoreReaderSelector(settings.hostName()),
                new DomainPeerQueries(),
                EntryProcess::steadyMillis,
                log,
                metrics);
        this.configurationFollower = new ConfigurationPoller(
                store,
                controlLoop,
                ageClock::millis,
                neighbour,
                relay,
                (configuration, sentAt) ->
                        trafficLoop.execute(() -> requests.onConfigurationConfirmed(configuration, sentAt)),
                log,
                metrics);
        this.targetFollower = new TargetWatcher(
                store,
                controlLoop,
                EntryProcess::steadyMillis,
                neighbour,
                relay,
                table -> trafficLoop.execute(() -> requests.updateTargets(table)),
                log,
                metrics);
        this.news = new HostLoadReport(settings.hostName(), Map.of(), Set.of(), Map.of(), 0);
        this.peers = new PeerConnections(
                controlLoop,
                settings.peerAddress(),
                () -> news,
                new PeerMessageRouter(
                        relay, neighbour, heard -> trafficLoop.execute(() -> requests.updateRemote(heard))),
                log);
        this.peerDirectory = new PeerDirectory(
                store, controlLoop, settings.hostName(), settings.failureDomain(), this::peersChanged, log, metrics);
        this.front = new ClientServer(traffic, settings.clientAddress(), requests);
        this.ready = new StatusServer(traffic, settings.readinessAddress(), this::readyPage);
        this.metricsPage =
                new StatusServer(control, settings.metricsAddress(), path -> new StatusResponse(200, metrics.scrape()));
    }

    /** Starts to serve. */
    public void start() {
        configurationFollower.start();
        targetFollower.start();
        InetSocketAddress listening = peers.start();
        peerDirectory.start(listening.getAddress().getHostAddress() + ":" + listening.getPort());
        front.start();
        ready.start();
        startMetrics();
        log.write(
                "started",
                "host",
                settings.hostName(),
                "domain",
                settings.failureDomain(),
                "callers",
                front.address().getPort());
    }

    /** Returns the address for clients. */
    public InetSocketAddress clientAddress() {
        return front.address();
    }

    /** Returns the address for the load balancer's checks. */
    public InetSocketAddress readinessAddress() {
        return ready.address();
    }

    /** Reads the settings file again; addresses that this process listens on stay as they are. */
    public void reload(Path file) {
        control.next().execute(() -> {
            try {
                EntrySettings changed = EntrySettingsReader.read(file);
                if (!changed.storeAddress().equals(settings.storeAddress())) {
                    store.address(changed.storeAddress());
                }
                boolean same = changed.equals(settings);
                settings = changed;
                log.write("reloaded", "changed", !same, "store", changed.storeAddress());
            } catch (AmaranthlockException e) {
                log.write("reload-failed", "cause", e.getMessage());
            }
        });
    }

    /** Reads the settings file again whenever it changes, since not every change is signalled. */
    public void watchSettings(Path file) {
        long[] modified = {modifiedMillis(file)};
        control.next()
                .scheduleAtFixedRate(
                        () -> {
                            long now = modifiedMillis(file);
                            if (now != modified[0]) {
                                modified[0] = now;
                                reload(file);
                            }
                        },
                        SETTINGS_CHECK_MILLIS,
                        SETTINGS_CHECK_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    /** Starts to end: nothing that runs is broken off before the time for it is nearly over. */
    public void drain() {
        traffic.next().execute(() -> {
            if (requests.draining()) {
                return;
            }
            log.write("draining", "active", requests.activeRequestCount());
            requests.drain();
            drainingSinceMillis = steadyMillis();
            traffic.schedule(this::closeFront, ACCEPT_WHILE_DRAINING_MILLIS, TimeUnit.MILLISECONDS);
        });
    }

    /** Ends at once; what is running is broken off. */
    public void stop() {
        control.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
        traffic.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
        ended.countDown();
    }

    /** Waits until the process has ended its work. */
    public void awaitTermination() throws InterruptedException {
        ended.await();
        log.write("stopped", "host", settings.hostName());
    }

    /** Runs on the control thread. */
    private void peersChanged(Set<PeerEntry> known) {
        peers.peers(known);
        traffic.next().execute(() -> requests.registeredHosts(known.size() + 1));
    }

    /** Runs on the traffic thread after each change. */
    private void newsChanged() {
        HostLoadReport fresh = requests.loadReport(settings.hostName());
        if (!fresh.equals(news)) {
            news = fresh;
            control.next().execute(peers::onLoadChanged);
        }
    }

    /** Requests are served without metrics, too, if another program has their port. */
    private void startMetrics() {
        try {
            metricsPage.start();
        } catch (Exception e) {
            log.write("metrics-unavailable", "address", settings.metricsAddress(), "cause", e.getMessage());
        }
    }

    private void closeFront() {
        front.drain();
        checkDrained();
    }

    private void checkDrained() {
        long sinceMillis = steadyMillis() - drainingSinceMillis;
        if (requests.activeRequestCount() == 0 && front.openConnectionCount() == 0) {
            ended.countDown();
            return;
        }
        if (sinceMillis >= settings.bounds().shutdownGraceMillis() - BREAK_OFF_MARGIN_MILLIS) {
            log.write("drain-timeout", "active", requests.activeRequestCount());
            requests.abortAll();
            traffic.schedule(ended::countDown, DRAIN_CHECK_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        traffic.schedule(this::checkDrained, DRAIN_CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private StatusResponse readyPage(String path) {
        if (!path.startsWith(ReadinessCheck.PATH)) {
            return new StatusResponse(404, "not found\n".getBytes(StandardCharsets.US_ASCII));
        }
        boolean serving = requests.isReady();
        byte[] text = (serving ? "ready\n" : "not ready\n").getBytes(StandardCharsets.US_ASCII);
        return new StatusResponse(serving ? 200 : 503, text);
    }

    private long modifiedMillis(Path file) {
        try {
            return Files.getLastModifiedTime(file).toMillis();
        } catch (IOException e) {
            log.write("settings-unreadable", "file", file, "cause", e.getMessage());
            return -1;
        }
    }

    /** Links to the hosts of the own failure domain. */
    private final class DomainPeerQueries implements PeerQueries {
        @Override
        public Set<String> connected() {
            return peers.connected(settings.failureDomain());
        }

        @Override
        public boolean sendQuery(String peer, EntryPeerMessage question) {
            return peers.sendQuery(peer, question);
        }

        @Override
        public void reset(String peer) {
            peers.reset(peer);
        }
    }

    private static long steadyMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}
