package org.amaranthlock.router.http;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.amaranthlock.coordination.Event;
import org.amaranthlock.coordination.RequestEvent.Arrived;
import org.amaranthlock.model.AmaranthlockException;
import org.amaranthlock.model.ErrorCode;
import org.amaranthlock.router.control.ControlQueue;
import org.amaranthlock.router.http.PendingCall.Content;

/** Takes callers' requests: parses them on the network thread and lets them arrive on the control thread. */
final class CallerFront {
    private final ControlQueue queue;
    private final ArrivalResolver resolver;
    private final ExchangeRegistry registry;

    CallerFront(ControlQueue queue, ArrivalResolver resolver, ExchangeRegistry registry) {
        this.queue = queue;
        this.resolver = resolver;
        this.registry = registry;
    }

    CompletableFuture<Reply> handle(InboundRequest request, CallerConnection connection) {
        CompletableFuture<Reply> reply = new CompletableFuture<>();
        try {
            PendingCall call = CallReader.read(request);
            queue.submit(nowMillis -> arrive(call, nowMillis, connection, reply));
        } catch (AmaranthlockException e) {
            refuse(e, reply);
        }
        return reply;
    }

    private Optional<Event> arrive(
            PendingCall call, long nowMillis, CallerConnection connection, CompletableFuture<Reply> reply) {
        if (connection.isGone()) {
            return Optional.empty();
        }
        Arrived arrived;
        try {
            arrived = resolver.resolve(call, nowMillis);
            requireOwnRequest(arrived);
        } catch (AmaranthlockException e) {
            refuse(e, reply);
            return Optional.empty();
        }
        if (arrived.resumeIndex().isPresent()) {
            registry.metrics().resumed("caller-return");
        }
        Exchange exchange = new Exchange(
                arrived.request(),
                arrived.spec().account(),
                arrived.spec().service(),
                nowMillis,
                registry,
                form(call, arrived),
                reply,
                connection.executor());
        registry.open(exchange);
        connection.attach(exchange);
        return Optional.of(arrived);
    }

    /** The id of a returning caller comes from its header; it must not end the connection of another account. */
    private void requireOwnRequest(Arrived arrived) {
        boolean foreign = registry.find(arrived.request())
                .filter(open -> !open.belongsTo(arrived.spec().account()))
                .isPresent();
        if (foreign) {
            throw new AmaranthlockException(
                    ErrorCode.UNKNOWN_REQUEST,
                    "The account has no request of the id in Last-Event-ID; send the id of the last event received.");
        }
    }

    private static AnswerForm form(PendingCall call, Arrived arrived) {
        long createdSeconds = TimeUnit.MILLISECONDS.toSeconds(arrived.spec().arrivedAtMillis());
        return switch (call.content()) {
            case Content.Call _ -> new AnswerForm.Proxied();
            case Content.Completion(var completion, var hashes) ->
                completion.stream()
                        ? new AnswerForm.Streamed(completion, createdSeconds, arrived.resumeIndex())
                        : new AnswerForm.Whole(completion, createdSeconds);
        };
    }

    private void refuse(AmaranthlockException error, CompletableFuture<Reply> reply) {
        registry.metrics().refused(error.code());
        reply.complete(Problems.notRun(error));
    }
}
