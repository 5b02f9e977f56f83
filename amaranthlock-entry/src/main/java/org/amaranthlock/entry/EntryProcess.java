package org.amaranthlock.entry;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Path;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.amaranthlock.coordination.availability.TargetAvailability;
import org.amaranthlock.coordination.brittle.BrittleTargets;
import org.amaranthlock.coordination.estimate.PrefillEstimates;
import org.amaranthlock.coordination.forwarding.AdmissionPolicy;
import org.amaranthlock.coordination.forwarding.CrashHistory;
import org.amaranthlock.coordination.forwarding.EngineReservations;
import org.amaranthlock.coordination.forwarding.ForwardingState;
import org.amaranthlock.coordination.forwarding.LoadSheddingPolicy;
import org.amaranthlock.coordination.forwarding.Mechanism;
import org.amaranthlock.coordination.forwarding.StoreReaderSelector;
import org.amaranthlock.coordination.forwarding.SuspensionAwareClock;
import org.amaranthlock.coordination.forwarding.TargetLoadBalancer;
import org.amaranthlock.coordination.loadreport.ReportPlanner;
import org.amaranthlock.coordination.promptpart.PromptPartGuard;
import org.amaranthlock.coordination.region.RegionLinks;
import org.amaranthlock.coordination.rollout.RolloutGate;
import org.amaranthlock.coordination.streamversion.RegisteredVersions;
import org.amaranthlock.coordination.streamversion.StreamVersions;
import org.amaranthlock.coordination.targetlimit.PermitTransport;
import org.amaranthlock.coordination.targetlimit.TargetPermits;
import org.amaranthlock.entry.control.ConfigurationFetchServer;
import org.amaranthlock.entry.control.ConfigurationPollTimes;
import org.amaranthlock.entry.control.ConfigurationPoller;
import org.amaranthlock.entry.control.LoadReportCollector;
import org.amaranthlock.entry.control.LoadReportExchange;
import org.amaranthlock.entry.control.PeerDirectory;
import org.amaranthlock.entry.control.PeerLinks;
import org.amaranthlock.entry.control.PeerMessageDispatcher;
import org.amaranthlock.entry.control.PeerStoreClient;
import org.amaranthlock.entry.control.PeerStoreReader;
import org.amaranthlock.entry.control.PeerStoreServer;
import org.amaranthlock.entry.control.PermitQueryClient;
import org.amaranthlock.entry.control.PromptPartExchange;
import org.amaranthlock.entry.control.PromptPartVerdicts;
import org.amaranthlock.entry.control.ReservationQueryClient;
import org.amaranthlock.entry.control.ResponseBudget;
import org.amaranthlock.entry.control.RolloutListener;
import org.amaranthlock.entry.control.RolloutService;
import org.amaranthlock.entry.control.StartFromPeers;
import org.amaranthlock.entry.control.StartStateServer;
import org.amaranthlock.entry.control.StoreQueries;
import org.amaranthlock.entry.control.StreamVersionExchange;
import org.amaranthlock.entry.control.TargetWatcher;
import org.amaranthlock.entry.front.ClientServer;
import org.amaranthlock.entry.front.StatusServer;
import org.amaranthlock.entry.front.UnreadBytes;
import org.amaranthlock.entry.log.DecisionLog;
import org.amaranthlock.entry.metrics.EntryMetrics;
import org.amaranthlock.entry.peer.EntryPeerMessage;
import org.amaranthlock.entry.peer.PeerConnections;
import org.amaranthlock.entry.peer.PeerListener;
import org.amaranthlock.entry.relay.RelayClient;
import org.amaranthlock.entry.relay.RelayServer;
import org.amaranthlock.entry.settings.EntrySettings;
import org.amaranthlock.entry.settings.SettingsFileWatcher;
import org.amaranthlock.entry.target.PromptLocator;
import org.amaranthlock.entry.target.ResponseMemory;
import org.amaranthlock.entry.target.TargetConnectionPool;
import org.amaranthlock.model.FailureDomain;
import org.amaranthlock.platform.NettyPlatformStore;
import org.amaranthlock.platform.PeerRegistration;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.jboss.logging.Logger;

/** Running entry daemon: creates its components, connects them and controls startup and shutdown. */
public final class EntryProcess {
    /**
     * Time after the start for which client connections wait for the configuration and the targets. Without them a
     * client would be rejected and use up its retry, but it does not wait long for its request to be read either.
     */
    private static final long MAX_ACCEPT_DELAY_MILLIS = 400;

    /**
     * Time after the start for which this host is not ready without the verdicts on prompt parts. The store may answer
     * other calls and not this one.
     */
    private static final long MAX_VERDICT_WAIT_MILLIS = 1_500;

    private static final long PATH_CHECK_INTERVAL_MILLIS = 500;
    private static final long LIMIT_REPORT_INTERVAL_MILLIS = 500;

    private volatile EntrySettings settings;
    private final EventLoopGroup controlGroup = new NioEventLoopGroup(1, new DefaultThreadFactory("control", true));
    private final EventLoopGroup trafficGroup = new NioEventLoopGroup(1, new DefaultThreadFactory("traffic", true));
    private final CountDownLatch terminated = new CountDownLatch(1);
    private final EntryMetrics metrics = new EntryMetrics();
    private final DecisionLog log;
    private final RegionLinks regionLinks;
    private final TargetPermits permits;
    private final TargetAvailability availability;
    private final RolloutGate rolloutGate;
    private final Optional<RolloutService> rolloutService;
    private final PromptPartExchange promptPartExchange;
    private final ReservationQueryClient reservationQueryClient;
    private final Optional<EngineReservations> reservations;
    private final StreamVersionExchange streamVersionExchange;
    private final RequestForwarder requestForwarder;
    private final NettyPlatformStore store;
    private final ClientServer clientServer;
    private final StatusServer readinessServer;
    private final StatusServer metricsServer;
    private final ConfigurationPoller configurationPoller;
    private final ConfigurationFetchServer configurationFetchServer;
    private final TargetWatcher targetWatcher;
    private final PeerConnections peerConnections;
    private final PeerLinks peerLinks;
    private final PeerListener peerListener;
    private final PeerDirectory peerDirectory;
    private final LoadReportExchange loadReportExchange;
    private final LoadReportCollector loadReportCollector;
    private final StartStateServer startStateServer;
    private final StartFromPeers startFromPeers;
    private final GracefulShutdown shutdown;

    /** Creates the components of a daemon; {@link #start} starts them. */
    public EntryProcess(EntrySettings settings) {
        this(settings, Optional.empty());
    }

    /**
     * Creates the components of a daemon; {@link #start} starts them.
     *
     * @param clientSocket listening socket for clients, if it was opened before the settings were read
     */
    public EntryProcess(EntrySettings settings, Optional<ServerSocketChannel> clientSocket) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.log = new DecisionLog(Logger.getLogger("amaranthlock"), EntryProcess::monotonicMillis);
        EventLoop trafficLoop = trafficGroup.next();
        EventLoop controlLoop = controlGroup.next();
        SuspensionAwareClock ageClock =
                new SuspensionAwareClock(EntryProcess::monotonicMillis, System::currentTimeMillis);
        UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create();
        this.regionLinks = RegionSetup.createLinks(settings, log, metrics);
        this.peerConnections = createPeerConnections(controlLoop);
        this.peerLinks = PeerLinks.toFleet(peerConnections);
        PermitQueryClient permitQueryClient = new PermitQueryClient(controlLoop, trafficLoop, peerLinks, log, metrics);
        this.permits = createPermits(permitQueryClient, random);
        this.availability = new TargetAvailability(new AvailabilityLog(log, metrics));
        this.rolloutGate = RolloutSetup.createGate(settings, random);
        PromptPartGuard promptPartGuard =
                new PromptPartGuard(settings.hostName(), new PromptPartLog(log, metrics, this::reportPromptParts));
        StreamVersions streamVersions = new StreamVersions();
        this.streamVersionExchange = createStreamVersionExchange(streamVersions, trafficLoop, controlLoop);
        this.reservationQueryClient = createReservationQueryClient(controlLoop, trafficLoop);
        TargetLoadBalancer loadBalancer = createLoadBalancer(random);
        this.reservations = PlacementSetup.createReservations(
                settings, loadBalancer, reservationQueryClient, metrics, EntryProcess::monotonicMillis);
        RelayClient relayClient = new RelayClient(controlLoop, trafficLoop, peerLinks, metrics);
        this.requestForwarder = createForwarder(
                trafficLoop, ageClock, random, loadBalancer, relayClient, promptPartGuard, streamVersions);
        this.store = new NettyPlatformStore(
                controlLoop, settings.storeAddress(), RegionSetup.countStoreCalls(regionLinks, trafficLoop));
        this.promptPartExchange = createPromptPartExchange(promptPartGuard, trafficLoop, controlLoop, random);
        PeerStoreServer peerStoreServer =
                new PeerStoreServer(ageClock::read, new ResponseBudget(EntryProcess::monotonicMillis, log));
        PeerStoreClient peerStoreClient = createPeerStoreClient(controlLoop);
        this.targetWatcher = createTargetWatcher(trafficLoop, controlLoop, peerStoreClient, peerStoreServer);
        this.configurationPoller = createConfigurationPoller(controlLoop, ageClock, peerStoreClient, peerStoreServer);
        this.configurationFetchServer = new ConfigurationFetchServer(configurationPoller, ageClock::read);
        this.startStateServer = new StartStateServer(
                controlLoop, configurationPoller, targetWatcher, peerStoreServer, promptPartExchange, ageClock::read);
        this.startFromPeers = createStartFromPeers(controlLoop, ageClock);
        this.loadReportExchange = createLoadReportExchange(controlLoop, ageClock, random);
        this.loadReportCollector = createLoadReportCollector(trafficLoop, controlLoop);
        this.peerDirectory = createPeerDirectory(controlLoop);
        this.rolloutService = RolloutSetup.createService(
                settings, store, controlLoop, trafficLoop, peerConnections, rolloutGate, log, metrics);
        this.peerListener = new PeerMessageDispatcher(
                storeQueries(peerStoreServer, peerStoreClient),
                permitQueryClient,
                (request, reply) -> trafficLoop.execute(() -> reply.accept(permits.issue(request))),
                new PeerMessageDispatcher.ReservationQueries(reservationQueryClient, this::reserve),
                streamVersionExchange,
                relayClient,
                new RelayServer(requestForwarder),
                trafficLoop,
                loadReportExchange,
                reportListeners(),
                this::onConnectionChanged,
                configurationPoller::onVersionAnnounced);
        this.clientServer = new ClientServer(
                trafficGroup, settings.clientAddress(), clientSocket, requestForwarder, UnreadBytes.ofHeap());
        this.shutdown = createShutdown(trafficLoop);
        this.readinessServer =
                new StatusServer(trafficGroup, settings.readinessAddress(), new ReadinessResponder(requestForwarder));
        this.metricsServer = new StatusServer(
                controlGroup,
                settings.metricsAddress(),
                new MetricsResponder(metrics, controlLoop, trafficLoop, requestForwarder));
    }

    /** Binds all addresses and starts serving. */
    public void start() {
        clientServer.start();
        trafficGroup.next().execute(() -> requestForwarder.whenConfigured(clientServer::accept));
        trafficGroup.schedule(clientServer::accept, MAX_ACCEPT_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        trafficGroup.schedule(requestForwarder::endVerdictWait, MAX_VERDICT_WAIT_MILLIS, TimeUnit.MILLISECONDS);
        InetSocketAddress peerAddress = peerConnections.start(peerListener, loadReportExchange::greeting);
        startFromPeers.start();
        peerDirectory.start(peerAddress.getAddress().getHostAddress() + ":" + peerAddress.getPort());
        trafficGroup.scheduleAtFixedRate(
                requestForwarder::checkPaths,
                PATH_CHECK_INTERVAL_MILLIS,
                PATH_CHECK_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
        loadReportExchange.start();
        // Shares of target limits change hands without any request.
        trafficGroup.scheduleAtFixedRate(
                loadReportCollector::onLoadChanged,
                LIMIT_REPORT_INTERVAL_MILLIS,
                LIMIT_REPORT_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
        RegionSetup.publishBytes(regionLinks, trafficGroup.next(), metrics);
        EventLoopMonitor.start("traffic", trafficGroup.next(), EntryProcess::monotonicMillis, log, metrics);
        EventLoopMonitor.start("control", controlGroup.next(), EntryProcess::monotonicMillis, log, metrics);
        promptPartExchange.start();
        rolloutService.ifPresent(RolloutService::start);
        readinessServer.start();
        startMetrics();
        log.write(
                "started",
                "host",
                settings.hostName(),
                "domain",
                settings.failureDomain(),
                "callers",
                clientServer.address().getPort());
    }

    /** Returns the address on which clients connect. */
    public InetSocketAddress clientAddress() {
        return clientServer.address();
    }

    /** Returns the address of the load balancer's readiness check. */
    public InetSocketAddress readinessAddress() {
        return readinessServer.address();
    }

    /** Returns the address of metrics and explanations. */
    public InetSocketAddress metricsAddress() {
        return metricsServer.address();
    }

    /**
     * Reads the settings again when the file changes, and at each call of the returned action. The address of the store
     * and the shutdown grace period take effect; the addresses on which this process listens and the other bounds stay as
     * they were at startup.
     */
    public Runnable watchSettings(Path file) {
        SettingsFileWatcher watcher = new SettingsFileWatcher(file, controlGroup.next(), this::apply, log);
        watcher.start();
        return watcher::reload;
    }

    /** Starts a graceful shutdown; running requests are aborted only when the grace period is nearly over. */
    public void drain() {
        trafficGroup.next().execute(shutdown::start);
    }

    /** Stops at once and aborts all running requests. */
    public void stop() {
        controlGroup.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
        trafficGroup.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
        terminated.countDown();
    }

    /** Waits until the daemon has shut down. */
    public void awaitTermination() throws InterruptedException {
        terminated.await();
        log.write("stopped", "host", settings.hostName());
    }

    private PeerConnections createPeerConnections(EventLoop controlLoop) {
        return new PeerConnections(
                controlLoop, settings.peerAddress(), RegionSetup.countSentFrames(regionLinks), log, metrics);
    }

    private StoreQueries storeQueries(PeerStoreServer server, PeerStoreClient client) {
        return new StoreQueries(server, client, configurationFetchServer, startStateServer, startFromPeers);
    }

    private StreamVersionExchange createStreamVersionExchange(
            StreamVersions streamVersions, EventLoop trafficLoop, EventLoop controlLoop) {
        return new StreamVersionExchange(
                settings.hostName(),
                streamVersions,
                trafficLoop,
                controlLoop,
                peerLinks,
                EntryProcess::monotonicMillis,
                log);
    }

    private StartFromPeers createStartFromPeers(EventLoop controlLoop, SuspensionAwareClock ageClock) {
        return new StartFromPeers(
                controlLoop,
                settings.hostName(),
                settings.failureDomain(),
                settings.mechanisms().uses(Mechanism.START_FROM_PEERS),
                peerLinks,
                configurationPoller,
                targetWatcher,
                promptPartExchange,
                ageClock::read,
                RandomSource.SPLIT_MIX_64.create(),
                log,
                metrics);
    }

    private TargetWatcher createTargetWatcher(
            EventLoop trafficLoop, EventLoop controlLoop, PeerStoreReader peerReader, PeerStoreServer peerStoreServer) {
        return new TargetWatcher(
                store,
                controlLoop,
                EntryProcess::monotonicMillis,
                peerReader,
                peerStoreServer,
                table -> {
                    startStateServer.onPartKnown();
                    trafficLoop.execute(() -> requestForwarder.updateTargets(table));
                    rolloutService.ifPresent(RolloutService::onTargetsChanged);
                },
                settings.mechanisms(),
                log,
                metrics);
    }

    private LoadReportExchange createLoadReportExchange(
            EventLoop controlLoop, SuspensionAwareClock ageClock, UniformRandomProvider random) {
        return new LoadReportExchange(
                settings.hostName(),
                controlLoop,
                peerLinks,
                new ReportPlanner(
                        settings.hostName(),
                        settings.failureDomain(),
                        settings.mechanisms().uses(Mechanism.REPORT_RELAYS)),
                random.nextLong(),
                ageClock::millis,
                reports -> trafficGroup.next().execute(() -> requestForwarder.applyLoadReports(reports)),
                host -> peerDirectory.onUnknownHost(host),
                log);
    }

    private LoadReportCollector createLoadReportCollector(EventLoop trafficLoop, EventLoop controlLoop) {
        return new LoadReportCollector(
                trafficLoop,
                EntryProcess::monotonicMillis,
                () -> requestForwarder.loadReport(settings.hostName()),
                loadReportExchange::minIntervalMillis,
                report -> controlLoop.execute(() -> loadReportExchange.publish(report)));
    }

    private PeerDirectory createPeerDirectory(EventLoop controlLoop) {
        return new PeerDirectory(
                store,
                controlLoop,
                settings.hostName(),
                settings.failureDomain(),
                this::onFirstList,
                this::updatePeers,
                RandomSource.SPLIT_MIX_64.create(),
                log,
                metrics);
    }

    private TargetPermits createPermits(PermitTransport transport, UniformRandomProvider random) {
        return new TargetPermits(
                settings.hostName(), transport, new LimitLog(log, metrics), EntryProcess::monotonicMillis, random);
    }

    private RequestForwarder createForwarder(
            EventLoop trafficLoop,
            SuspensionAwareClock ageClock,
            UniformRandomProvider random,
            TargetLoadBalancer loadBalancer,
            RelayClient relayClient,
            PromptPartGuard promptPartGuard,
            StreamVersions streamVersions) {
        TargetConnectionPool connections = new TargetConnectionPool(
                trafficLoop,
                ResponseMemory.ofHeap(),
                EntryProcess::monotonicMillis,
                metrics,
                (target, statement) -> availability.record(target.incarnation(), statement, monotonicMillis()),
                regionLinks);
        PromptLocator promptLocator =
                new PromptLocator(trafficLoop, connections::listKvCache, EntryProcess::monotonicMillis, random, log);
        return new RequestForwarder(
                trafficLoop,
                EntryProcess::monotonicMillis,
                ageClock::millis,
                System::currentTimeMillis,
                new AdmissionPolicy(
                        settings.bounds().maxRevocationMillis(),
                        settings.bounds().maxConfigurationAgeMillis()),
                settings.bounds().retryBudget(),
                new ForwardingState(
                        loadBalancer,
                        new CrashHistory(),
                        promptPartGuard,
                        new PrefillEstimates(),
                        streamVersions,
                        new RegisteredVersions(),
                        settings.mechanisms(),
                        reservations),
                random,
                new OutboundCalls(connections, promptLocator, relayClient, streamVersionExchange),
                log,
                metrics,
                () -> loadReportCollector.onLoadChanged());
    }

    /** Announces a version of the configuration to the other hosts; called on the control thread. */
    private void announceConfiguration(long version) {
        peerConnections.broadcast(new EntryPeerMessage.ConfigurationAnnounced(version));
    }

    private ConfigurationPoller createConfigurationPoller(
            EventLoop controlLoop,
            SuspensionAwareClock ageClock,
            PeerStoreReader peerReader,
            PeerStoreServer peerStoreServer) {
        return new ConfigurationPoller(
                store,
                controlLoop,
                ageClock::read,
                ConfigurationPollTimes.within(settings.bounds().maxConfigurationAgeMillis()),
                peerReader,
                peerStoreServer,
                targetWatcher,
                (configuration, sentAt) -> {
                    startStateServer.onPartKnown();
                    configurationFetchServer.onConfigurationKnown();
                    trafficGroup.next().execute(() -> requestForwarder.onConfigurationConfirmed(configuration, sentAt));
                },
                this::announceConfiguration,
                log,
                metrics);
    }

    private PromptPartExchange createPromptPartExchange(
            PromptPartGuard guard, EventLoop trafficLoop, EventLoop controlLoop, UniformRandomProvider random) {
        PromptPartVerdicts verdicts = new PromptPartVerdicts(
                store,
                controlLoop,
                System::currentTimeMillis,
                read -> {
                    startStateServer.onPartKnown();
                    trafficLoop.execute(() -> {
                        guard.applyVerdicts(read, monotonicMillis());
                        requestForwarder.endVerdictWait();
                    });
                },
                log,
                metrics);
        return new PromptPartExchange(
                settings.hostName(),
                guard,
                trafficLoop,
                controlLoop,
                peerLinks,
                verdicts,
                EntryProcess::monotonicMillis,
                random,
                () -> {
                    startStateServer.onPartKnown();
                    requestForwarder.endVerdictWait();
                });
    }

    private TargetLoadBalancer createLoadBalancer(UniformRandomProvider random) {
        return new TargetLoadBalancer(
                settings.failureDomain(),
                PlacementSetup.createPolicy(settings, random, metrics),
                new LoadSheddingPolicy(random),
                permits,
                new BrittleTargets(random, new BrittleLog(log, metrics)),
                availability,
                rolloutGate,
                regionLinks,
                settings.mechanisms());
    }

    private PeerStoreClient createPeerStoreClient(EventLoop controlLoop) {
        return new PeerStoreClient(
                controlLoop,
                new StoreReaderSelector(settings.hostName()),
                PeerLinks.toReaders(peerConnections, settings.failureDomain(), regionLinks),
                EntryProcess::monotonicMillis,
                log,
                metrics);
    }

    private GracefulShutdown createShutdown(EventLoop trafficLoop) {
        return new GracefulShutdown(
                trafficLoop,
                EntryProcess::monotonicMillis,
                () -> settings.bounds().shutdownGraceMillis(),
                requestForwarder,
                clientServer,
                terminated::countDown,
                log);
    }

    private ReservationQueryClient createReservationQueryClient(EventLoop controlLoop, EventLoop trafficLoop) {
        return new ReservationQueryClient(settings.hostName(), controlLoop, trafficLoop, peerLinks, log);
    }

    /** Answers the query of another host, if this one grants reservations. */
    private void reserve(EntryPeerMessage.ReservationQuery query, Consumer<EntryPeerMessage> reply) {
        reservations.ifPresent(all -> trafficGroup
                .next()
                .execute(() -> reply.accept(
                        new EntryPeerMessage.EngineReserved(query.id(), all.grant(query.host(), query.request())))));
    }

    private void onFirstList(Set<PeerRegistration> registeredPeers) {
        connectPeers(registeredPeers);
        startFromPeers.onPeersListed(registeredPeers);
    }

    private PeerMessageDispatcher.ReportListeners reportListeners() {
        return new PeerMessageDispatcher.ReportListeners(
                promptPartExchange::onReport,
                rolloutService.<RolloutListener>map(service -> service).orElse(RolloutListener.NONE));
    }

    private void connectPeers(Set<PeerRegistration> registeredPeers) {
        peerConnections.updatePeers(registeredPeers);
        loadReportExchange.onPeersChanged();
    }

    /** Applies a change of the registered peers; called on the control thread. */
    private void updatePeers(Set<PeerRegistration> registeredPeers) {
        connectPeers(registeredPeers);
        trafficGroup.next().execute(() -> requestForwarder.updateRegisteredHostCount(registeredPeers.size() + 1));
    }

    /** Applies a change of the connection to a peer; called on the control thread. */
    private void onConnectionChanged(String peer) {
        startFromPeers.onConnectionsChanged();
        loadReportExchange.onConnectionChanged(peer);
        Set<String> connected = peerConnections.connectedPeers();
        trafficGroup.next().execute(() -> permits.updateReachableHosts(connected));
        Map<String, FailureDomain> keepers = peerConnections.peersThatReserve();
        reservations.ifPresent(all -> trafficGroup.next().execute(() -> all.updatePeers(keepers)));
        streamVersionExchange.onConnectionChanged(peer);
        if (connected.contains(peer)) {
            promptPartExchange.onConnected(peer);
        }
    }

    /** Tells the other hosts what this one has found out about prompt parts; called on the traffic thread. */
    private void reportPromptParts() {
        // Not at once: the changes of one step go out together, and the caller may be in the middle of one.
        trafficGroup.next().execute(promptPartExchange::reportChanges);
    }

    /** Starts the metrics server; requests are served even if another program occupies its port. */
    private void startMetrics() {
        try {
            metricsServer.start();
        } catch (Exception e) {
            log.write("metrics-unavailable", "address", settings.metricsAddress(), "cause", e.getMessage());
        }
    }

    private void apply(EntrySettings newSettings) {
        if (!newSettings.storeAddress().equals(settings.storeAddress())) {
            store.changeAddress(newSettings.storeAddress());
        }
        boolean unchanged = newSettings.equals(settings);
        settings = newSettings;
        log.write("reloaded", "changed", !unchanged, "store", newSettings.storeAddress());
    }

    private static long monotonicMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}
