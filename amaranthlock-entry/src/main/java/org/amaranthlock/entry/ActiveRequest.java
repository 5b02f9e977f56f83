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
import org.amaranthlock.coordination.forwarding.PromptPart;
import org.amaranthlock.coordination.forwarding.Rejection;
import org.amaranthlock.coordination.forwarding.RelayAttempt;
import org.amaranthlock.coordination.forwarding.RelayStart;
import org.amaranthlock.coordination.forwarding.RelayedRequest;
import org.amaranthlock.coordination.forwarding.StreamEvent;
import org.amaranthlock.coordination.forwarding.TargetResponse;
import org.amaranthlock.coordination.streamversion.StreamKey;
import org.amaranthlock.entry.front.ClientExchange;
import org.amaranthlock.entry.log.DecisionLog;
import org.amaranthlock.entry.metrics.EntryMetrics;
import org.amaranthlock.entry.target.ExchangeListener;
import org.amaranthlock.entry.target.TargetExchange;
import org.amaranthlock.model.AccountId;
import org.amaranthlock.model.SoftwareVersion;
import org.amaranthlock.platform.ClientRequest;
import org.amaranthlock.platform.TargetRequestEncoder;

/** Connects the state machine of one forwarded request with its client exchange, target connections and timer. */
final class ActiveRequest implements ForwardingPort {
    private final ClientRequest request;
    private final Optional<AccountId> account;
    private final ClientExchange exchange;
    private final OutboundCalls calls;
    private final Optional<RelayFactory> relayFactory;
    private final EventLoop loop;
    private final LongSupplier clockMillis;
    private final DecisionLog log;
    private final EntryMetrics metrics;
    private final boolean reuseConnections;
    private final Runnable onLoadChanged;
    private final Consumer<ActiveRequest> onCompleted;
    private ForwardedRequest forwardedRequest;

    /** State machine that has taken over from {@link #forwardedRequest}; null while there is none, or it gave it back. */
    private RelayedRequest relayedRequest;

    private long relayId;
    private TargetExchange currentExchange;
    private boolean reading = true;
    private boolean responseBegun;
    private Future<?> timer;
    private long timerAtMillis;

    /**
     * Creates a request.
     *
     * @param relayFactory creates the state machine if the request is passed to another host; empty if it may not be
     */
    ActiveRequest(
            ClientRequest request,
            Optional<AccountId> account,
            ClientExchange exchange,
            OutboundCalls calls,
            Optional<RelayFactory> relayFactory,
            EventLoop loop,
            LongSupplier clockMillis,
            DecisionLog log,
            EntryMetrics metrics,
            boolean reuseConnections,
            Runnable onLoadChanged,
            Consumer<ActiveRequest> onCompleted) {
        this.request = Objects.requireNonNull(request, "request");
        this.account = Objects.requireNonNull(account, "account");
        this.exchange = Objects.requireNonNull(exchange, "exchange");
        this.calls = Objects.requireNonNull(calls, "calls");
        this.relayFactory = Objects.requireNonNull(relayFactory, "relay factory");
        this.loop = Objects.requireNonNull(loop, "loop");
        this.clockMillis = Objects.requireNonNull(clockMillis, "clock");
        this.log = Objects.requireNonNull(log, "log");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.reuseConnections = reuseConnections;
        this.onLoadChanged = Objects.requireNonNull(onLoadChanged, "load listener");
        this.onCompleted = Objects.requireNonNull(onCompleted, "completion listener");
    }

    /** Returns the id that the client chose. */
    String id() {
        return request.requestId();
    }

    /** Returns the client account; empty if the request carries no known API key. */
    Optional<AccountId> account() {
        return account;
    }

    /** Returns the state machine of the request. */
    ForwardedRequest forwarded() {
        return forwardedRequest;
    }

    /** Returns whether another host serves the request. */
    boolean relayed() {
        return relayedRequest != null;
    }

    void start(ForwardedRequest forwarded) {
        prepare(forwarded);
        forwardedRequest.start(now());
    }

    /** Like {@link #start}, for a request that another host has counted. */
    void startCounted(ForwardedRequest forwarded) {
        prepare(forwarded);
        forwardedRequest.startCounted(now());
    }

    @Override
    public void abort() {
        // As after a disconnect of the client, so that the target stops working on the request.
        onClientDisconnected();
        exchange.abort();
    }

    /** Ends the request because this process ends; a client whose response has not begun gets a final one. */
    void endWithProcess() {
        if (responseBegun) {
            abort();
            return;
        }
        onClientDisconnected();
        boolean sent = currentExchange != null || relayedRequest != null;
        Rejection rejection = sent ? Rejection.hostStopsAfterSend() : Rejection.hostStops();
        log.write("aborted", "id", id(), "status", rejection.status(), "cause", rejection.reason());
        exchange.reject(rejection);
    }

    @Override
    public void send(Attempt attempt) {
        int number = attempt.number();
        currentExchange = new TargetExchange(
                request.requestId(),
                TargetRequestEncoder.encode(request, attempt, account),
                new AttemptListener(number));
        currentExchange.setReading(reading);
        calls.connections().send(attempt.target(), currentExchange, reuseConnections);
    }

    @Override
    public void cancel(Attempt attempt) {
        currentExchange.cancel();
    }

    @Override
    public void probe(Attempt attempt) {
        calls.connections()
                .probe(
                        attempt.target(),
                        reachable -> forwardedRequest.onProbeResult(attempt.number(), reachable, now()));
    }

    @Override
    public void locatePrompt(PromptPart part, List<EntryTarget> engines, Optional<SoftwareVersion> version) {
        calls.promptLocator()
                .locate(part, engines, version, holders -> forwardedRequest.onPromptLocated(holders, now()));
    }

    @Override
    public void announceStreamVersion(SoftwareVersion version) {
        calls.streamVersions().announce(StreamKey.of(request.requestId()), version);
    }

    @Override
    public void askStreamVersion(StreamKey stream) {
        calls.streamVersions().ask(stream, version -> forwardedRequest.onStreamVersionAnswered(version, now()));
    }

    @Override
    public void checkResponds(EntryTarget target) {
        calls.connections()
                .checkResponds(target, responds -> forwardedRequest.onTargetChecked(target, responds, now()));
    }

    @Override
    public void checkCrash(Attempt attempt, long delayMillis) {
        loop.schedule(
                () -> calls.connections()
                        .probe(
                                attempt.target(),
                                reachable -> forwardedRequest.onCrashCheckResult(attempt, reachable, now())),
                delayMillis,
                TimeUnit.MILLISECONDS);
    }

    @Override
    public void probeLostTarget(Attempt attempt) {
        calls.connections()
                .probe(attempt.target(), reachable -> forwardedRequest.onLostTargetProbed(attempt, reachable, now()));
    }

    @Override
    public void copyKvCache(Attempt attempt, EntryTarget backupTarget) {
        calls.connections()
                .copyKvCache(
                        request.requestId(),
                        attempt.target(),
                        backupTarget,
                        copyId -> forwardedRequest.onCopyCompleted(attempt, backupTarget, copyId, now()));
    }

    @Override
    public void freeCopy(Attempt attempt, KvCacheCopy copy) {
        calls.connections().freeCopy(attempt.target(), copy.id());
    }

    @Override
    public void requestEngineReport(Attempt attempt) {
        calls.connections().requestEngineReport(attempt.target(), report -> {
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
                    report.map(engineReport -> engineReport.eventsByRequest().size())
                            .orElse(-1),
                    "events_made",
                    report.map(engineReport -> engineReport.eventsByRequest().getOrDefault(request.requestId(), -1L))
                            .orElse(-1L));
            forwardedRequest.onEngineReport(attempt.number(), report, now());
        });
    }

    @Override
    public boolean handOver(RelayStart start) {
        if (relayFactory.isEmpty()) {
            return false;
        }
        relayedRequest = relayFactory.get().create(request.toAttributes(), start, this);
        relayedRequest.start(now());
        return true;
    }

    @Override
    public void relay(RelayAttempt attempt) {
        relayId = calls.relays()
                .send(
                        attempt,
                        request.forHost(attempt.timeLeftMillis(), attempt.lastEventId()),
                        relayFactory.orElseThrow().configurationVersion(),
                        new RelayResponses(relayedRequest, attempt.number(), clockMillis));
    }

    @Override
    public void takeBack(int executions, Optional<SoftwareVersion> streamVersion) {
        relayedRequest = null;
        forwardedRequest.takeBack(executions, streamVersion, now());
    }

    @Override
    public void cancelRelay(RelayAttempt attempt) {
        calls.relays().cancel(relayId);
    }

    @Override
    public void scheduleTimer(long atMillis) {
        // An earlier timer is kept: when it fires, ForwardedRequest schedules the next one.
        if (timer != null && !timer.isDone() && timerAtMillis <= atMillis) {
            return;
        }
        if (timer != null) {
            timer.cancel(false);
        }
        timerAtMillis = atMillis;
        long delay = Math.max(1, atMillis - now());
        timer = loop.schedule(this::fireTimer, delay, TimeUnit.MILLISECONDS);
    }

    @Override
    public void respond(TargetResponse response) {
        exchange.respond(response);
    }

    @Override
    public void reject(Rejection rejection) {
        exchange.reject(rejection);
    }

    @Override
    public void openStream(TargetResponse head, Optional<SoftwareVersion> version) {
        responseBegun = true;
        exchange.openStream(head, version);
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
        onLoadChanged.run();
        // Only the first word of the cause, because the rest, such as an exception name, would multiply the label
        // values.
        metrics.recordAttempt(decision.step(), decision.cause().split("[^a-z]", 2)[0]);
        log.write(
                decision.step(),
                "id",
                request.requestId(),
                "attempt",
                decision.attempt(),
                "target",
                decision.target().map(Object::toString).orElse("-"),
                "software",
                decision.version().map(Object::toString).orElse("-"),
                "cause",
                decision.cause(),
                "status",
                decision.status(),
                "elapsed_ms",
                decision.elapsedMillis(),
                "last_event",
                decision.lastEventId());
        if (decision.last()) {
            metrics.recordRequest(decision.step(), Integer.toString(decision.status()), decision.elapsedMillis());
            if (timer != null) {
                timer.cancel(false);
            }
            onCompleted.accept(this);
        }
    }

    private void prepare(ForwardedRequest forwarded) {
        forwardedRequest = forwarded;
        exchange.onDisconnect(this::onClientDisconnected);
        exchange.onReadingChanged(this::setReading);
    }

    private void setReading(boolean on) {
        reading = on;
        log.write(on ? "reading-resumed" : "reading-paused", "id", request.requestId());
        if (currentExchange != null) {
            currentExchange.setReading(on);
        }
        forwardedRequest.onReadingChanged(on, now());
    }

    private void onClientDisconnected() {
        if (relayedRequest != null) {
            relayedRequest.onClientDisconnected(now());
        } else {
            forwardedRequest.onClientDisconnected(now());
        }
    }

    private void fireTimer() {
        timer = null;
        if (relayedRequest != null) {
            relayedRequest.onTimer(now());
        } else {
            forwardedRequest.onTimer(now());
        }
    }

    private long now() {
        return clockMillis.getAsLong();
    }

    private final class AttemptListener implements ExchangeListener {
        private final int attempt;

        AttemptListener(int attempt) {
            this.attempt = attempt;
        }

        @Override
        public void onNotSent(String cause) {
            forwardedRequest.onNotSent(attempt, cause, now());
        }

        @Override
        public void onLost(String cause) {
            forwardedRequest.onAttemptLost(attempt, cause, now());
        }

        @Override
        public void onResponse(TargetResponse response) {
            forwardedRequest.onResponse(attempt, response, now());
        }

        @Override
        public void onStreamOpened(TargetResponse head) {
            forwardedRequest.onStreamOpened(attempt, head, now());
        }

        @Override
        public void onEvents(List<StreamEvent> events) {
            forwardedRequest.onEvents(attempt, events, now());
        }

        @Override
        public void onStreamEnded() {
            forwardedRequest.onStreamEnded(attempt, now());
        }
    }
}
