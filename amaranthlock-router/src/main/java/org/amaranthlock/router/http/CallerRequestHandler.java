package org.amaranthlock.router.http;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.amaranthlock.coordination.Event;
import org.amaranthlock.coordination.RequestEvent.Arrived;
import org.amaranthlock.model.AmaranthlockException;
import org.amaranthlock.model.ErrorCode;
import org.amaranthlock.router.control.ControlQueue;
import org.amaranthlock.router.http.ParsedRequest.Content;

/** Takes callers' requests: parses them on the network thread and lets them arrive on the control thread. */
final class CallerRequestHandler {
    private final ControlQueue queue;
    private final RequestResolver resolver;
    private final ExchangeRegistry registry;

    CallerRequestHandler(ControlQueue queue, RequestResolver resolver, ExchangeRegistry registry) {
        this.queue = queue;
        this.resolver = resolver;
        this.registry = registry;
    }

    CompletableFuture<OutboundResponse> handle(InboundRequest request, CallerConnection connection) {
        CompletableFuture<OutboundResponse> reply = new CompletableFuture<>();
        try {
            ParsedRequest call = CallerRequestParser.parse(request);
            queue.submit(nowMillis -> openExchange(call, nowMillis, connection, reply));
        } catch (AmaranthlockException e) {
            refuse(e, reply);
        }
        return reply;
    }

    private Optional<Event> openExchange(
            ParsedRequest call,
            long nowMillis,
            CallerConnection connection,
            CompletableFuture<OutboundResponse> reply) {
        if (connection.isLost()) {
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
        if (arrived.resumeAt().isPresent()) {
            registry.metrics().countResume("caller-return");
        }
        Exchange exchange = new Exchange(
                arrived.request(),
                arrived.spec().account(),
                arrived.spec().service(),
                nowMillis,
                registry,
                responseFormat(call, arrived),
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

    private static ResponseFormat responseFormat(ParsedRequest call, Arrived arrived) {
        long createdSeconds = TimeUnit.MILLISECONDS.toSeconds(arrived.spec().arrivedAtMillis());
        return switch (call.content()) {
            case Content.ServiceRequest _ -> new ResponseFormat.Proxied();
            case Content.Completion(var completion, var hashes) ->
                completion.stream()
                        ? new ResponseFormat.Streaming(completion, createdSeconds, arrived.resumeAt())
                        : new ResponseFormat.Buffered(completion, createdSeconds);
        };
    }

    private void refuse(AmaranthlockException error, CompletableFuture<OutboundResponse> reply) {
        registry.metrics().countRefusal(error.code());
        reply.complete(ProblemDetails.notRun(error));
    }
}
