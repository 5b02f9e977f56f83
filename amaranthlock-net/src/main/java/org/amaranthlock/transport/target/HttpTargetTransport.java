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
import org.amaranthlock.coordination.TargetEvent.OrderAnswered;
import org.amaranthlock.coordination.TargetEvent.Unreachable;
import org.amaranthlock.model.Arguments;
import org.amaranthlock.model.AttemptId;
import org.amaranthlock.model.Target;
import org.amaranthlock.model.Work;
import org.amaranthlock.protocol.MalformedDataException;
import org.amaranthlock.transport.EventSink;
import org.amaranthlock.transport.TargetTransport;
import org.amaranthlock.transport.http.HttpClientSupport;
import org.amaranthlock.transport.target.TargetJson.CachePage;
import org.jboss.logging.Logger;

/** Client of engines and plain services over HTTP. Thread-safe. */
public final class HttpTargetTransport implements TargetTransport {
    /** Engines without fencing are protected by this limit, see section 3.9 of the design. */
    static final Duration ORDER_TIMEOUT = Duration.ofSeconds(2);

    private static final Duration POLL_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration CANCEL_TIMEOUT = Duration.ofSeconds(2);
    private static final int CONFLICT = 409;
    private static final Logger LOG = Logger.getLogger(HttpTargetTransport.class);

    private final EventSink sink;
    private final TargetFailures failures;
    private final StreamCalls streams;
    private final ServiceCalls services;
    private final TargetConnections connections = new TargetConnections();
    private final Map<AttemptId, Attempt> attempts = new ConcurrentHashMap<>();

    /**
     * Creates a transport.
     *
     * @param sink receives the events
     */
    public HttpTargetTransport(EventSink sink) {
        this.sink = Objects.requireNonNull(sink, "sink");
        this.failures = new TargetFailures(sink);
        this.streams = new StreamCalls(failures);
        this.services = new ServiceCalls(failures);
    }

    /** Does nothing; connections are made when they are first used. */
    @Override
    public void start() {}

    @Override
    public void stop() {
        attempts.values().forEach(Attempt::cancel);
        connections.closeAll();
    }

    @Override
    public void execute(RequestCommand command) {
        switch (command) {
            case RequestCommand.OpenStream open -> open(open);
            case RequestCommand.AttachStream attach -> attach(attach);
            case RequestCommand.CancelAttempt cancel -> cancel(cancel);
            case RequestCommand.CallService call -> call(call);
            case RequestCommand.Reconcile reconcile ->
                begin(
                        reconcile.attempt(),
                        reconcile.target(),
                        (attempt, connection) -> services.reconcile(attempt, connection, reconcile));
            case RequestCommand.DeliverTokens _,
                    RequestCommand.CompleteStream _,
                    RequestCommand.DeliverResponse _,
                    RequestCommand.Refuse _,
                    RequestCommand.Supersede _ ->
                throw new IllegalArgumentException("not a command to a target: " + command);
        }
    }

    @Override
    public void execute(TargetCommand command) {
        try {
            switch (command) {
                case TargetCommand.Poll poll -> poll(poll.target());
                case TargetCommand.SendOrder order -> giveOrder(order);
            }
        } catch (IllegalArgumentException e) {
            malformed(command, e);
        }
    }

    private void malformed(TargetCommand command, IllegalArgumentException failure) {
        LOG.warnf("Correct the address of target %s: %s", command.target().id(), failure.getMessage());
        switch (command) {
            case TargetCommand.Poll poll ->
                sink.accept(new Unreachable(poll.target().id()));
            case TargetCommand.SendOrder order ->
                sink.accept(new OrderAnswered(order.target().id(), order.order(), false, "malformed address"));
        }
    }

    private TargetConnection connection(Target target) {
        return connections.of(target.address());
    }

    /** Starts an attempt; nothing is sent if the target's address or a part of the request is malformed. */
    private void begin(AttemptId id, Target target, BiConsumer<Attempt, TargetConnection> exchange) {
        Attempt attempt = new Attempt(id, target, sink, () -> attempts.remove(id));
        attempts.put(id, attempt);
        try {
            exchange.accept(attempt, connection(target));
        } catch (IllegalArgumentException e) {
            attempt.fail(FailureKind.INVALID, "the request can't be sent: " + e.getMessage(), OptionalLong.empty());
        }
    }

    private void open(RequestCommand.OpenStream command) {
        Arguments.require(command.spec().work() instanceof Work.Generation, "not a generation: " + command);
        byte[] body =
                TargetJson.openStream(command, (Work.Generation) command.spec().work());
        begin(command.attempt(), command.target(), (attempt, connection) -> {
            HttpRequest request =
                    connection.request("POST", "/v1/streams", body).setHeader("content-type", "application/json");
            streams.start(attempt, connection, request, false);
        });
    }

    private void attach(RequestCommand.AttachStream command) {
        String path = streamPath(command.attempt()) + "?from=" + command.fromIndex();
        begin(
                command.attempt(),
                command.target(),
                (attempt, connection) -> streams.start(attempt, connection, connection.request("GET", path), true));
    }

    private void call(RequestCommand.CallService command) {
        Arguments.require(command.spec().work() instanceof Work.ServiceCall, "not a service call: " + command);
        Work.ServiceCall work = (Work.ServiceCall) command.spec().work();
        begin(
                command.attempt(),
                command.target(),
                (attempt, connection) -> services.call(attempt, connection, command, work));
    }

    /** Stops the local exchange; an engine is told too, also about streams that another router opened. */
    private void cancel(RequestCommand.CancelAttempt command) {
        Attempt attempt = attempts.get(command.attempt());
        if (attempt != null) {
            attempt.cancel();
        }
        if (command.target().model().isEmpty()) {
            return;
        }
        try {
            TargetConnection connection = connection(command.target());
            connection
                    .exchange(connection.request("DELETE", streamPath(command.attempt())), CANCEL_TIMEOUT)
                    .whenComplete((response, failure) -> {
                        if (failure != null) {
                            LOG.debugf("Cancelling %s at %s failed: %s", command.attempt(), command.target(), failure);
                        }
                    });
        } catch (IllegalArgumentException e) {
            LOG.warnf("Correct the address of target %s: %s", command.target().id(), e.getMessage());
        }
    }

    private static String streamPath(AttemptId attempt) {
        String request =
                UrlEscapers.urlPathSegmentEscaper().escape(attempt.request().value());
        return "/v1/streams/" + request + "/" + attempt.number();
    }

    private void poll(Target target) {
        TargetConnection connection = connection(target);
        get(target, "/v1/load", body -> sink.accept(TargetJson.load(target.id(), body)));
        if (!target.model().isEmpty()) {
            long position = connection.cachePosition().get();
            get(target, "/v1/cache-events?after=" + position, body -> cacheEvents(target, connection, position, body));
        }
    }

    private void cacheEvents(Target target, TargetConnection connection, long position, byte[] body) {
        CachePage page = TargetJson.cacheEvents(target.id(), body, position);
        boolean isNew = connection.cachePosition().compareAndSet(position, page.position());
        if (isNew && page.position() > position) {
            sink.accept(page.change());
        }
    }

    private void get(Target target, String path, Consumer<byte[]> reader) {
        TargetConnection connection = connection(target);
        connection.exchange(connection.request("GET", path), POLL_TIMEOUT).whenComplete((response, failure) -> {
            if (failure != null) {
                pollFailed(target, connection, path, failure);
            } else if (response.status().code() == 200) {
                readPoll(target, path, response, reader);
            }
        });
    }

    /** A restarted engine numbers its cache events anew, so the position goes back to the start. */
    private void pollFailed(Target target, TargetConnection connection, String path, Throwable failure) {
        LOG.debugf("Reading %s of %s failed: %s", path, target.id(), failure);
        if (HttpClientSupport.connectFailed(failure)) {
            connection.cachePosition().set(0);
            if (path.equals("/v1/load")) {
                sink.accept(new Unreachable(target.id()));
            }
        }
    }

    private static void readPoll(Target target, String path, HttpResponse response, Consumer<byte[]> reader) {
        try {
            reader.accept(TargetJson.body(response));
        } catch (MalformedDataException e) {
            LOG.warnf("The answer of %s to %s can't be read: %s", target.id(), path, e.getMessage());
        }
    }

    private void giveOrder(TargetCommand.SendOrder command) {
        TargetConnection connection = connection(command.target());
        connection
                .exchange(
                        connection
                                .request("POST", "/v1/orders", TargetJson.order(command))
                                .setHeader("content-type", "application/json"),
                        ORDER_TIMEOUT)
                .whenComplete((response, failure) -> sink.accept(orderAnswer(command, response, failure)));
    }

    private static OrderAnswered orderAnswer(
            TargetCommand.SendOrder command, HttpResponse response, Throwable failure) {
        if (failure != null) {
            return new OrderAnswered(command.target().id(), command.order(), false, "no answer: " + failure);
        }
        int status = response.status().code();
        String code = TargetJson.problemCode(TargetJson.body(response));
        String detail = status == CONFLICT && code.isEmpty() ? "fenced" : "status " + status + " " + code;
        return new OrderAnswered(command.target().id(), command.order(), status >= 200 && status < 300, detail);
    }
}
