package org.amaranthlock.entry;

import io.netty.channel.EventLoop;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.amaranthlock.entry.front.ClientServer;
import org.amaranthlock.entry.log.DecisionLog;

/**
 * Ends the service of clients within the grace period: new connections are accepted until the load balancer sends them
 * elsewhere, and running requests are aborted only when the period is nearly over. All calls are on the traffic loop.
 */
final class GracefulShutdown {
    /**
     * Time after the termination signal during which new connections are still accepted, because the load balancer
     * stops sending them only after two failed readiness checks.
     */
    private static final long ACCEPT_WHILE_DRAINING_MILLIS = 2_600;

    private static final long CHECK_INTERVAL_MILLIS = 100;

    private final EventLoop loop;
    private final LongSupplier clockMillis;
    private final LongSupplier graceMillis;
    private final RequestForwarder requestForwarder;
    private final ClientServer clientServer;
    private final Runnable onDrained;
    private final DecisionLog log;
    private final AbortMargin abortMargin = new AbortMargin();
    private long startedAtMillis;
    private long checkDueAtMillis;

    /**
     * Creates a shutdown.
     *
     * @param graceMillis returns the time from the termination signal to the forced kill
     * @param onDrained called when nothing is left to be done
     */
    GracefulShutdown(
            EventLoop loop,
            LongSupplier clockMillis,
            LongSupplier graceMillis,
            RequestForwarder requestForwarder,
            ClientServer clientServer,
            Runnable onDrained,
            DecisionLog log) {
        this.loop = Objects.requireNonNull(loop, "loop");
        this.clockMillis = Objects.requireNonNull(clockMillis, "clock");
        this.graceMillis = Objects.requireNonNull(graceMillis, "grace period");
        this.requestForwarder = Objects.requireNonNull(requestForwarder, "request forwarder");
        this.clientServer = Objects.requireNonNull(clientServer, "client server");
        this.onDrained = Objects.requireNonNull(onDrained, "drained listener");
        this.log = Objects.requireNonNull(log, "log");
    }

    /** Begins the shutdown; further calls have no effect. */
    void start() {
        if (requestForwarder.draining()) {
            return;
        }
        log.write("draining", "active", requestForwarder.activeRequestCount());
        requestForwarder.drain();
        startedAtMillis = clockMillis.getAsLong();
        schedule(this::stopAccepting, ACCEPT_WHILE_DRAINING_MILLIS);
    }

    /** Closes idle connections; requests that still arrive on others are served if they end within the grace period. */
    private void stopAccepting() {
        long grace = graceMillis.getAsLong();
        requestForwarder.graceLimit().endAt(startedAtMillis + grace - AbortMargin.maxMillis(grace));
        clientServer.drain();
        check();
    }

    private void check() {
        long nowMillis = clockMillis.getAsLong();
        abortMargin.recordLateness(nowMillis - checkDueAtMillis);
        if (requestForwarder.activeRequestCount() == 0 && clientServer.openConnectionCount() == 0) {
            onDrained.run();
            return;
        }
        long grace = graceMillis.getAsLong();
        if (nowMillis - startedAtMillis >= grace - abortMargin.millis(grace)) {
            log.write(
                    "drain-timeout",
                    "active",
                    requestForwarder.activeRequestCount(),
                    "connections",
                    clientServer.openConnectionCount(),
                    "after_ms",
                    nowMillis - startedAtMillis);
            clientServer.endUnread();
            requestForwarder.abortAll();
            loop.schedule(onDrained, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        schedule(this::check, CHECK_INTERVAL_MILLIS);
    }

    private void schedule(Runnable action, long delayMillis) {
        checkDueAtMillis = clockMillis.getAsLong() + delayMillis;
        loop.schedule(action, delayMillis, TimeUnit.MILLISECONDS);
    }
}
