package org.amaranthlock.transport.target;

import com.google.common.net.UrlEscapers;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpResponse;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.amaranthlock.coordination.RequestCommand;
import org.amaranthlock.coordination.RequestEvent.FailureKind;
import org.amaranthlock.coordination.TargetCommand;
import org.amaranthlock.coordination.TargetEvent.OrderResponseReceived;
import org.amaranthlock.coordination.TargetEvent.Unreachable;
import org.amaranthlock.model.Arguments;
import org.amaranthlock.model.AttemptId;
import org.amaranthlock.model.Target;
import org.amaranthlock.model.Work;
import org.amaranthlock.protocol.MalformedDataException;
import org.amaranthlock.transport.EventSink;
import org.amaranthlock.transport.TargetTransport;
import org.amaranthlock.transport.http.HttpClientSupport;
import org.amaranthlock.transport.target.TargetJson.CacheEventPage;
import org.jboss.logging.Logger;

/** {@link TargetTransport} over HTTP. Thread-safe. */
public final class HttpTargetTransport implements TargetTransport {
    /**
     * Bounds how long an order is outstanding. An engine that ignores fencing numbers could otherwise execute an order
     * after another router has taken over the lease of the engine group.
     */
    static final Duration ORDER_TIMEOUT = Duration.ofSeconds(2);

    private static final Duration POLL_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration CANCEL_TIMEOUT = Duration.ofSeconds(2);
    private static final int CONFLICT = 409;
    private static final Logger LOG = Logger.getLogger(HttpTargetTransport.class);

    private final EventSink sink;
    private final TargetFailureHandler failureHandler;
    private final StreamClient streamClient;
    private final ServiceClient serviceClient;
    private final TargetClients clients = new TargetClients();
    private final Map<AttemptId, HttpAttempt> attempts = new ConcurrentHashMap<>();

    /**
     * Creates a transport.
     *
     * @param sink receives the events
     */
    public HttpTargetTransport(EventSink sink) {
        this.sink = Objects.requireNonNull(sink, "sink");
        this.failureHandler = new TargetFailureHandler(sink);
        this.streamClient = new StreamClient(failureHandler);
        this.serviceClient = new ServiceClient(failureHandler);
    }

    /** Does nothing; clients are created on first use. */
    @Override
    public void start() {}

    @Override
    public void stop() {
        attempts.values().forEach(HttpAttempt::cancel);
        clients.closeAll();
    }

    @Override
    public void execute(RequestCommand command) {
        switch (command) {
            case RequestCommand.OpenStream open -> openStream(open);
            case RequestCommand.AttachStream attach -> attachStream(attach);
            case RequestCommand.CancelAttempt cancel -> cancelAttempt(cancel);
            case RequestCommand.CallService call -> callService(call);
            case RequestCommand.Reconcile reconcile ->
                startAttempt(
                        reconcile.attempt(),
                        reconcile.target(),
                        (attempt, client) -> serviceClient.reconcile(attempt, client, reconcile));
            case RequestCommand.DeliverTokens _,
                    RequestCommand.CompleteStream _,
                    RequestCommand.DeliverResponse _,
                    RequestCommand.Refuse _,
                    RequestCommand.Supersede _ ->
                throw new IllegalArgumentException("not a command for a target: " + command);
        }
    }

    @Override
    public void execute(TargetCommand command) {
        try {
            switch (command) {
                case TargetCommand.Poll poll -> poll(poll.target());
                case TargetCommand.SendOrder order -> sendOrder(order);
            }
        } catch (IllegalArgumentException e) {
            reportMalformedAddress(command, e);
        }
    }

    private void reportMalformedAddress(TargetCommand command, IllegalArgumentException failure) {
        LOG.warnf(
                "Malformed address of target %s; correct it: %s",
                command.target().id(), failure.getMessage());
        switch (command) {
            case TargetCommand.Poll poll ->
                sink.accept(new Unreachable(poll.target().id()));
            case TargetCommand.SendOrder order ->
                sink.accept(new OrderResponseReceived(order.target().id(), order.order(), false, "malformed address"));
        }
    }

    private TargetClient clientFor(Target target) {
        return clients.forAddress(target.address());
    }

    /** Starts an attempt; fails it without sending anything if the target's address or the request is malformed. */
    private void startAttempt(AttemptId id, Target target, BiConsumer<HttpAttempt, TargetClient> exchange) {
        HttpAttempt attempt = new HttpAttempt(id, target, sink, () -> attempts.remove(id));
        attempts.put(id, attempt);
        try {
            exchange.accept(attempt, clientFor(target));
        } catch (IllegalArgumentException e) {
            attempt.fail(
                    FailureKind.INVALID, "invalid request or target address: " + e.getMessage(), OptionalLong.empty());
        }
    }

    private void openStream(RequestCommand.OpenStream command) {
        Arguments.require(command.spec().work() instanceof Work.Generation, "not a generation request: " + command);
        byte[] body = TargetJson.writeOpenStream(
                command, (Work.Generation) command.spec().work());
        startAttempt(command.attempt(), command.target(), (attempt, client) -> {
            HttpRequest request =
                    client.newRequest("POST", "/v1/streams", body).setHeader("content-type", "application/json");
            streamClient.start(attempt, client, request, false);
        });
    }

    private void attachStream(RequestCommand.AttachStream command) {
        String path = streamPath(command.attempt()) + "?from=" + command.fromIndex();
        startAttempt(
                command.attempt(),
                command.target(),
                (attempt, client) -> streamClient.start(attempt, client, client.newRequest("GET", path), true));
    }

    private void callService(RequestCommand.CallService command) {
        Arguments.require(command.spec().work() instanceof Work.ServiceCall, "not a service call: " + command);
        Work.ServiceCall work = (Work.ServiceCall) command.spec().work();
        startAttempt(
                command.attempt(),
                command.target(),
                (attempt, client) -> serviceClient.call(attempt, client, command, work));
    }

    /** Cancels the local exchange and the stream at the engine, which may have been opened by another router. */
    private void cancelAttempt(RequestCommand.CancelAttempt command) {
        HttpAttempt attempt = attempts.get(command.attempt());
        if (attempt != null) {
            attempt.cancel();
        }
        if (command.target().model().isEmpty()) { // a plain service, which has no streams
            return;
        }
        try {
            TargetClient client = clientFor(command.target());
            client.exchange(client.newRequest("DELETE", streamPath(command.attempt())), CANCEL_TIMEOUT)
                    .whenComplete((response, failure) -> {
                        if (failure != null) {
                            LOG.debugf(
                                    "Failed to cancel attempt %s at %s: %s",
                                    command.attempt(), command.target(), failure);
                        }
                    });
        } catch (IllegalArgumentException e) {
            LOG.warnf(
                    "Malformed address of target %s; correct it: %s",
                    command.target().id(), e.getMessage());
        }
    }

    private static String streamPath(AttemptId attempt) {
        String request =
                UrlEscapers.urlPathSegmentEscaper().escape(attempt.request().value());
        return "/v1/streams/" + request + "/" + attempt.number();
    }

    private void poll(Target target) {
        TargetClient client = clientFor(target);
        sendPoll(target, "/v1/load", body -> sink.accept(TargetJson.readLoad(target.id(), body)));
        if (!target.model().isEmpty()) {
            long position = client.cacheEventPosition().get();
            sendPoll(
                    target,
                    "/v1/cache-events?after=" + position,
                    body -> publishCacheEvents(target, client, position, body));
        }
    }

    private void publishCacheEvents(Target target, TargetClient client, long position, byte[] body) {
        CacheEventPage page = TargetJson.readCacheEvents(target.id(), body, position);
        // Overlapping polls may read the same events; only the first one publishes them.
        boolean isNew = client.cacheEventPosition().compareAndSet(position, page.position());
        if (isNew && page.position() > position) {
            sink.accept(page.change());
        }
    }

    private void sendPoll(Target target, String path, Consumer<byte[]> bodyHandler) {
        TargetClient client = clientFor(target);
        client.exchange(client.newRequest("GET", path), POLL_TIMEOUT).whenComplete((response, failure) -> {
            if (failure != null) {
                handlePollFailure(target, client, path, failure);
            } else if (response.status().code() == 200) {
                handlePollResponse(target, path, response, bodyHandler);
            }
        });
    }

    /**
     * Reports the target unreachable if no connection could be established. Then also resets the cache event position,
     * because the engine may have been restarted, and a restarted engine numbers its cache events from the start.
     */
    private void handlePollFailure(Target target, TargetClient client, String path, Throwable failure) {
        LOG.debugf("Failed to read %s from target %s: %s", path, target.id(), failure);
        if (HttpClientSupport.isConnectFailure(failure)) {
            client.cacheEventPosition().set(0);
            if (path.equals("/v1/load")) {
                sink.accept(new Unreachable(target.id()));
            }
        }
    }

    private static void handlePollResponse(
            Target target, String path, HttpResponse response, Consumer<byte[]> bodyHandler) {
        try {
            bodyHandler.accept(TargetJson.body(response));
        } catch (MalformedDataException e) {
            LOG.warnf("Malformed response of target %s to GET %s: %s", target.id(), path, e.getMessage());
        }
    }

    private void sendOrder(TargetCommand.SendOrder command) {
        TargetClient client = clientFor(command.target());
        client.exchange(
                        client.newRequest("POST", "/v1/orders", TargetJson.writeOrder(command))
                                .setHeader("content-type", "application/json"),
                        ORDER_TIMEOUT)
                .whenComplete((response, failure) -> sink.accept(orderEvent(command, response, failure)));
    }

    private static OrderResponseReceived orderEvent(
            TargetCommand.SendOrder command, HttpResponse response, Throwable failure) {
        if (failure != null) {
            return new OrderResponseReceived(command.target().id(), command.order(), false, "no response: " + failure);
        }
        int status = response.status().code();
        String code = TargetJson.problemCode(TargetJson.body(response));
        // Engines reject outdated fencing numbers with 409; a problem code is optional.
        String detail = status == CONFLICT && code.isEmpty() ? "fenced" : "status " + status + " " + code;
        return new OrderResponseReceived(command.target().id(), command.order(), status >= 200 && status < 300, detail);
    }
}
