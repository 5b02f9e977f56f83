package org.amaranthlock.router;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.amaranthlock.coordination.OperatorCommand;
import org.amaranthlock.coordination.OperatorEvent;
import org.amaranthlock.model.HostId;
import org.amaranthlock.protocol.HybridClock;
import org.amaranthlock.router.control.ControlQueue;
import org.amaranthlock.router.control.RouterClock;
import org.amaranthlock.router.control.Timeline;
import org.amaranthlock.router.http.ExchangeRegistry;
import org.amaranthlock.router.http.HttpFront;
import org.amaranthlock.router.http.HttpFrontFactory;
import org.amaranthlock.router.http.PendingOperatorCalls;
import org.amaranthlock.router.http.RouterStatus;
import org.amaranthlock.router.metrics.RouterMetrics;
import org.amaranthlock.router.settings.RouterSettings;
import org.amaranthlock.transport.Lifecycle;
import org.jboss.logging.Logger;

/** Router process: owns and manages the transports, the control loop and the HTTP server. */
public final class RouterProcess implements Lifecycle {
    private static final Logger LOG = Logger.getLogger(RouterProcess.class);
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(10);
    private static final double MILLIS_PER_SECOND = 1_000;

    private final RouterSettings settings;
    private final RouterProcessFactory processFactory;
    private final Runnable onFailure;
    private final Duration readTimeout;
    private final RouterClock clock = RouterClock.system();
    private final HostId self;
    private final ControlQueue queue = new ControlQueue();
    private final RouterMetrics metrics = new RouterMetrics();
    private final PendingOperatorCalls operatorCalls = new PendingOperatorCalls(queue);
    private final AtomicReference<RouterStatus> status = new AtomicReference<>(RouterStatus.STARTING);
    private final CountDownLatch drained = new CountDownLatch(1);
    private final HybridClock hybridClock;
    private final ExchangeRegistry exchanges;
    private final Timeline timeline;
    private volatile long lastConfigurationReadyMillis;
    private Transports transports;
    private ControlLoop controlLoop;
    private HttpFront httpFront;

    RouterProcess(RouterSettings settings, RouterProcessFactory processFactory, Runnable onFailure) {
        this(settings, processFactory, onFailure, READ_TIMEOUT);
    }

    RouterProcess(
            RouterSettings settings, RouterProcessFactory processFactory, Runnable onFailure, Duration readTimeout) {
        this.readTimeout = readTimeout;
        this.settings = settings;
        this.processFactory = processFactory;
        this.onFailure = onFailure;
        this.self = settings.hostId(clock.startMillis());
        this.hybridClock = new HybridClock(clock::millis);
        this.exchanges = new ExchangeRegistry(queue, metrics, clock::millis);
        this.timeline = new Timeline(self, Timeline.DEFAULT_CAPACITY, hybridClock::next, metrics::countTimelineDrop);
        this.lastConfigurationReadyMillis = clock.startMillis();
    }

    @Override
    public synchronized void start() {
        registerGauges();
        transports = processFactory.transportsFactory().create(self, settings, queue, hybridClock);
        transports.peers().start();
        CoreComponents components = processFactory
                .coreFactory()
                .create(self, settings, transports.peers().localAddress(), clock.millis());
        transports.platform().start();
        transports.targets().start();
        CommandDispatcher dispatcher =
                new CommandDispatcher(transports, exchanges, operatorCalls, timeline, metrics, drained::countDown);
        controlLoop = new ControlLoop(
                queue, components.core(), dispatcher, clock, metrics, () -> publishStatus(components), onFailure);
        controlLoop.start();
        httpFront = new HttpFrontFactory(
                        self,
                        settings.httpAddress(),
                        readTimeout,
                        settings.operators(),
                        queue,
                        exchanges,
                        operatorCalls,
                        timeline,
                        metrics,
                        status::get)
                .create(components.configuration());
        httpFront.start();
        LOG.infof(
                "router %s listens for HTTP on %s and for peers on %s",
                self, httpAddress(), transports.peers().localAddress());
    }

    @Override
    public synchronized void stop() {
        // The HTTP server stops before the control loop, so that the last completed responses still reach their
        // clients.
        stop(httpFront);
        stop(controlLoop);
        if (transports != null) {
            stop(transports.targets());
            stop(transports.platform());
            stop(transports.peers());
        }
        LOG.infof("router %s stopped", self);
    }

    /** Starts the graceful shutdown; the result contains the number of open requests. */
    public CompletableFuture<OperatorCommand> drain() {
        return operatorCalls.submit(OperatorEvent.Drain::new);
    }

    /** Waits until the graceful shutdown is complete; returns false if the timeout elapses first. */
    public boolean awaitDrained(long timeoutSeconds) throws InterruptedException {
        return drained.await(timeoutSeconds, TimeUnit.SECONDS);
    }

    /** Waits until the graceful shutdown is complete. */
    public void awaitDrained() throws InterruptedException {
        drained.await();
    }

    /** Returns the address of the HTTP server; valid after {@link #start()}. */
    public InetSocketAddress httpAddress() {
        return httpFront.localAddress();
    }

    /** Returns the id of the process. */
    public HostId self() {
        return self;
    }

    private void publishStatus(CoreComponents components) {
        boolean configurationReady = components.configuration().isReady();
        if (configurationReady) {
            lastConfigurationReadyMillis = clock.millis();
        }
        status.set(new RouterStatus(
                configurationReady,
                components.draining().getAsBoolean(),
                components.configuration().revision()));
    }

    private void registerGauges() {
        metrics.registerGauge("amaranthlock_open_requests", "Open requests of clients", exchanges::size);
        metrics.registerGauge("amaranthlock_event_queue_length", "Tasks queued for the control thread", queue::size);
        metrics.registerGauge(
                "amaranthlock_config_revision",
                "Global revision of the configuration in force",
                () -> status.get().configurationRevision());
        metrics.registerGauge(
                "amaranthlock_config_staleness_seconds",
                "Time since the router last held every configuration revision known to it",
                this::stalenessSeconds);
    }

    private double stalenessSeconds() {
        return status.get().configurationReady()
                ? 0
                : (clock.millis() - lastConfigurationReadyMillis) / MILLIS_PER_SECOND;
    }

    private static void stop(Lifecycle component) {
        if (component != null) {
            component.stop();
        }
    }
}
