package org.amaranthlock.entry;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.amaranthlock.coordination.forwarding.Attempt;
import org.amaranthlock.coordination.forwarding.EngineReport;
import org.amaranthlock.coordination.forwarding.EntryTarget;
import org.amaranthlock.coordination.forwarding.ForwardedRequest;
import org.amaranthlock.coordination.forwarding.ForwardingDecision;
import org.amaranthlock.coordination.forwarding.ForwardingPort;
import org.amaranthlock.coordination.forwarding.KvCacheCopy;
import org.amaranthlock.coordination.forwarding.Rejection;
import org.amaranthlock.coordination.forwarding.StreamEvent;
import org.amaranthlock.coordination.forwarding.TargetResponse;
import org.amaranthlock.entry.front.ClientExchange;
import org.amaranthlock.entry.log.DecisionLog;
import org.amaranthlock.entry.metrics.EntryMetrics;
import org.amaranthlock.entry.target.ExchangeListener;
import org.amaranthlock.entry.target.TargetConnectionPool;
import org.amaranthlock.entry.target.TargetExchange;
import org.amaranthlock.model.AccountId;
import org.amaranthlock.platform.ClientRequest;
import org.amaranthlock.platform.TargetRequestEncoder;

/** Joins one forwarded request with the connections and the timer that it uses. */
final class ActiveRequest implements ForwardingPort {
    private final ClientRequest request;
    private final Optional<AccountId> account;
    private final ClientExchange exchange;
    private final TargetConnectionPool connections;
    private final EventLoop loop;
    private final LongSupplier clockMillis;
    private final DecisionLog log;
    private final EntryMetrics metrics;
    private final boolean reuseConnections;
    private final Runnable onLoad;
    private final Consumer<ActiveRequest> onEnd;
    private ForwardedRequest life;
    private TargetExchange sent;
    private Future<?> timer;
    private long timerAtMillis;

    ActiveRequest(
            ClientRequest request,
            Optional<AccountId> account,
            ClientExchange exchange,
            TargetConnectionPool connections,
            EventLoop loop,
            LongSupplier clockMillis,
            DecisionLog log,
            EntryMetrics metrics,
            boolean reuseConnections,
            Runnable onLoad,
            Consumer<ActiveRequest> onEnd) {
        this.request = Objects.requireNonNull(request, "request");
        this.account = Objects.requireNonNull(account, "account");
        this.exchange = Objects.requireNonNull(exchange, "exchange");
        this.connections = Objects.requireNonNull(connections, "connections");
        this.loop = Objects.requireNonNull(loop, "loop");
        this.clockMillis = Objects.requireNonNull(clockMillis, "clock");
        this.log = Objects.requireNonNull(log, "log");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.reuseConnections = reuseConnections;
        this.onLoad = Objects.requireNonNull(onLoad, "load");
        this.onEnd = Objects.requireNonNull(onEnd, "end");
    }

    void start(ForwardedRequest forwarded) {
        life = forwarded;
        exchange.onDisconnect(() -> life.onClientDisconnected(now()));
        life.start(now());
    }

    @Override
    public void abort() {
        if (!life.completed()) {
            life.onClientDisconnected(now());
        }
        exchange.abort();
    }

    @Override
    public void send(Attempt attempt) {
        int number = attempt.number();
        sent = new TargetExchange(
                request.requestId(), TargetRequestEncoder.encode(request, attempt, account), new Listener(number));
        connections.send(attempt.target(), sent, reuseConnections);
    }

    @Override
    public void cancel(Attempt attempt) {
        sent.cancel();
    }

    @Override
    public void probe(Attempt attempt) {
        connections.probe(attempt.target(), reachable -> life.onProbeResult(attempt.number(), reachable, now()));
    }

    @Override
    public void checkCrash(Attempt attempt, long delayMillis) {
        loop.schedule(
                () -> connections.probe(
                        attempt.target(), reachable -> life.onCrashCheckResult(attempt, reachable, now())),
                delayMillis,
                TimeUnit.MILLISECONDS);
    }

    @Override
    public void copyKvCache(Attempt attempt, EntryTarget holder) {
        connections.copyKvCache(
                request.requestId(),
                attempt.target(),
                holder,
                copyId -> life.onCopyCompleted(attempt, holder, copyId, now()));
    }

    @Override
    public void freeCopy(Attempt attempt, KvCacheCopy copy) {
        connections.freeCopy(attempt.target(), copy.id());
    }

    @Override
    public void requestEngineReport(Attempt attempt) {
        connections.requestEngineReport(attempt.target(), report -> {
            log.write(
                    "engine-report",
                    "id",
                    request.requestId(),
                    "attempt",
                    attempt.number(),
                    "target",
                    attempt.target().id(),
                    "queued",
                    report.map(EngineReport::queueLength).orElse(-1),
                    "running",
                    report.map(known -> known.eventsByRequest().size()).orElse(-1),
                    "events_made",
                    report.map(known -> known.eventsByRequest().getOrDefault(request.requestId(), -1L))
                            .orElse(-1L));
            life.onEngineReport(attempt.number(), report, now());
        });
    }

    @Override
    public void scheduleTimer(long atMillis) {
        if (timer != null && !timer.isDone() && timerAtMillis <= atMillis) {
            return;
        }
        if (timer != null) {
            timer.cancel(false);
        }
        timerAtMillis = atMillis;
        long delay = Math.max(1, atMillis - now());
        timer = loop.schedule(this::tick, delay, TimeUnit.MILLISECONDS);
    }

    @Override
    public void respond(TargetResponse answer) {
        exchange.respond(answer);
    }

    @Override
    public void reject(Rejection rejection) {
        exchange.reject(rejection);
    }

    @Override
    public void openStream(TargetResponse head) {
        exchange.openStream(head);
    }

    @Override
    public void writeEvents(byte[] events) {
        exchange.writeEvents(events);
    }

    @Override
    public void endStream() {
        exchange.endStream();
    }

    @Override
    public void recordDecision(ForwardingDecision decision) {
        onLoad.run();
        metrics.recordAttempt(decision.step(), decision.cause().split("[^a-z]", 2)[0]);
        log.write(
                decision.step(),
                "id",
                request.requestId(),
                "attempt",
                decision.attempt(),
                "target",
                decision.target().map(Object::toString).orElse("-"),
                "cause",
                decision.cause(),
                "status",
                decision.status(),
                "elapsed_ms",
                decision.elapsedMillis(),
                "last_event",
                decision.events());
        if (decision.last()) {
            metrics.recordRequest(decision.step(), Integer.toString(decision.status()), decision.elapsedMillis());
            if (timer != null) {
                timer.cancel(false);
            }
            onEnd.accept(this);
        }
    }

    private void tick() {
        timer = null;
        life.onTimer(now());
    }

    private long now() {
        return clockMillis.getAsLong();
    }

    private final class Listener implements ExchangeListener {
        private final int attempt;

        Listener(int attempt) {
            this.attempt = attempt;
        }

        @Override
        public void onNotSent(String cause) {
            life.onNotSent(attempt, cause, now());
        }

        @Override
        public void onLost(String cause) {
            life.onAttemptLost(attempt, cause, now());
        }

        @Override
        public void onResponse(TargetResponse answer) {
            life.onResponse(attempt, answer, now());
        }

        @Override
        public void onStreamOpened(TargetResponse head) {
            life.onStreamOpened(attempt, head, now());
        }

        @Override
        public void onEvents(List<StreamEvent> events) {
            life.onEvents(attempt, events, now());
        }

        @Override
        public void onStreamEnded() {
            life.onStreamEnded(attempt, now());
        }
    }
}
