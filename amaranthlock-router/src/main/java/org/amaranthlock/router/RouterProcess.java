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
import org.amaranthlock.router.http.OperatorCalls;
import org.amaranthlock.router.http.RouterStatus;
import org.amaranthlock.router.metrics.RouterMetrics;
import org.amaranthlock.router.settings.RouterSettings;
import org.amaranthlock.transport.Service;
import org.jboss.logging.Logger;

/** One router process: transports, control thread and HTTP front. */
public final class RouterProcess implements Service {
    private static final Logger LOG = Logger.getLogger(RouterProcess.class);
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(10);
    private static final double MILLIS_PER_SECOND = 1_000;

    private final RouterSettings settings;
    private final RouterAssembly assembly;
    private final Runnable onFailure;
    private final Duration readTimeout;
    private final RouterClock clock = RouterClock.system();
    private final HostId self;
    private final ControlQueue queue = new ControlQueue();
    private final RouterMetrics metrics = new RouterMetrics();
    private final OperatorCalls operatorCalls = new OperatorCalls(queue);
    private final AtomicReference<RouterStatus> status = new AtomicReference<>(RouterStatus.STARTING);
    private final CountDownLatch drained = new CountDownLatch(1);
    private final HybridClock hybridClock;
    private final ExchangeRegistry exchanges;
    private final Timeline timeline;
    private volatile long lastReadyMillis;
    private Transports transports;
    private ControlLoop loop;
    private HttpFront front;

    RouterProcess(RouterSettings settings, RouterAssembly assembly, Runnable onFailure) {
        this(settings, assembly, onFailure, READ_TIMEOUT);
    }

    RouterProcess(RouterSettings settings, RouterAssembly assembly, Runnable onFailure, Duration readTimeout) {
        this.readTimeout = readTimeout;
        this.settings = settings;
        this.assembly = assembly;
        this.onFailure = onFailure;
        this.self = settings.hostId(clock.startMillis());
        this.hybridClock = new HybridClock(clock::millis);
        this.exchanges = new ExchangeRegistry(queue, metrics, clock::millis);
        this.timeline = new Timeline(self, Timeline.CAPACITY, hybridClock::next, metrics::timelineDropped);
        this.lastReadyMillis = clock.startMillis();
    }

    @Override
    public synchronized void start() {
        registerGauges();
        transports = assembly.transports().create(self, settings, queue, hybridClock);
        transports.peers().start();
        CoreParts parts =
                assembly.core().create(self, settings, transports.peers().localAddress(), clock.millis());
        transports.platform().start();
        transports.targets().start();
        CommandDispatcher dispatcher =
                new CommandDispatcher(transports, exchanges, operatorCalls, timeline, metrics, drained::countDown);
        loop = new ControlLoop(queue, parts.core(), dispatcher, clock, metrics, () -> publish(parts), onFailure);
        loop.start();
        front = new HttpFrontFactory(
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
                .create(parts.configuration());
        front.start();
        LOG.infof(
                "router %s serves HTTP on %s and peers on %s",
                self, httpAddress(), transports.peers().localAddress());
    }

    @Override
    public synchronized void stop() {
        // The front stops before the loop, so that answers that were completed last still reach their callers.
        stop(front);
        stop(loop);
        if (transports != null) {
            stop(transports.targets());
            stop(transports.platform());
            stop(transports.peers());
        }
        LOG.infof("router %s stopped", self);
    }

    /** Starts the graceful shutdown; the answer tells how many requests are open. */
    public CompletableFuture<OperatorCommand> drain() {
        return operatorCalls.ask(OperatorEvent.Drain::new);
    }

    /** Waits until the graceful shutdown is complete; returns false when the time is over. */
    public boolean awaitDrained(long timeoutSeconds) throws InterruptedException {
        return drained.await(timeoutSeconds, TimeUnit.SECONDS);
    }

    /** Waits until the graceful shutdown is complete. */
    public void awaitDrained() throws InterruptedException {
        drained.await();
    }

    /** Returns the address of the HTTP front; valid after the start. */
    public InetSocketAddress httpAddress() {
        return front.localAddress();
    }

    /** Returns the id of the process. */
    public HostId self() {
        return self;
    }

    private void publish(CoreParts parts) {
        boolean ready = parts.configuration().isReady();
        if (ready) {
            lastReadyMillis = clock.millis();
        }
        status.set(new RouterStatus(
                ready, parts.leaving().getAsBoolean(), parts.configuration().revision()));
    }

    private void registerGauges() {
        metrics.gauge("amaranthlock_open_requests", "Open requests of callers", exchanges::size);
        metrics.gauge("amaranthlock_event_queue_length", "Tasks that wait for the control thread", queue::size);
        metrics.gauge(
                "amaranthlock_config_revision",
                "Global revision of the configuration in force",
                () -> status.get().configurationRevision());
        metrics.gauge(
                "amaranthlock_config_staleness_seconds",
                "Time since the router last held every configuration revision it had heard of",
                this::stalenessSeconds);
    }

    private double stalenessSeconds() {
        return status.get().configurationReady() ? 0 : (clock.millis() - lastReadyMillis) / MILLIS_PER_SECOND;
    }

    private static void stop(Service service) {
        if (service != null) {
            service.stop();
        }
    }
}
