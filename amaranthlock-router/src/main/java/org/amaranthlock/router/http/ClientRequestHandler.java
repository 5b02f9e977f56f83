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

/** Handles clients' requests: parses them on the network thread and opens their exchanges on the control thread. */
final class ClientRequestHandler {
    private final ControlQueue queue;
    private final RequestResolver resolver;
    private final ExchangeRegistry registry;

    ClientRequestHandler(ControlQueue queue, RequestResolver resolver, ExchangeRegistry registry) {
        this.queue = queue;
        this.resolver = resolver;
        this.registry = registry;
    }

    CompletableFuture<OutboundResponse> handle(InboundRequest request, ClientConnection connection) {
        CompletableFuture<OutboundResponse> responseFuture = new CompletableFuture<>();
        try {
            ParsedRequest parsed = ClientRequestParser.parse(request);
            queue.submit(nowMillis -> openExchange(parsed, nowMillis, connection, responseFuture));
        } catch (AmaranthlockException e) {
            reject(e, responseFuture);
        }
        return responseFuture;
    }

    private Optional<Event> openExchange(
            ParsedRequest request,
            long nowMillis,
            ClientConnection connection,
            CompletableFuture<OutboundResponse> responseFuture) {
        if (connection.isLost()) {
            return Optional.empty();
        }
        Arrived arrived;
        try {
            arrived = resolver.resolve(request, nowMillis);
            requireOwnRequest(arrived);
        } catch (AmaranthlockException e) {
            reject(e, responseFuture);
            return Optional.empty();
        }
        if (arrived.resumeIndex().isPresent()) {
            registry.metrics().countResume("caller-return");
        }
        Exchange exchange = new Exchange(
                arrived.request(),
                arrived.spec().account(),
                arrived.spec().service(),
                nowMillis,
                registry,
                responseFormat(request, arrived),
                responseFuture,
                connection.executor());
        registry.add(exchange);
        connection.attach(exchange);
        return Optional.of(arrived);
    }

    /**
     * Rejects the request id of an open request of another account.
     *
     * <p>The id comes from a header, and adding an exchange with this id would end the other account's response.
     */
    private void requireOwnRequest(Arrived arrived) {
        boolean ownedByOther = registry.find(arrived.request())
                .filter(open -> !open.belongsTo(arrived.spec().account()))
                .isPresent();
        if (ownedByOther) {
            throw new AmaranthlockException(
                    ErrorCode.UNKNOWN_REQUEST,
                    "The account has no request with the id in Last-Event-ID; send the id of the last event received.");
        }
    }

    private static ResponseFormat responseFormat(ParsedRequest request, Arrived arrived) {
        long createdSeconds = TimeUnit.MILLISECONDS.toSeconds(arrived.spec().arrivedAtMillis());
        return switch (request.content()) {
            case Content.PlainServiceCall _ -> new ResponseFormat.Proxied();
            case Content.Completion(var completion, var hashes) ->
                completion.stream()
                        ? new ResponseFormat.Streaming(completion, createdSeconds, arrived.resumeIndex())
                        : new ResponseFormat.Buffered(completion, createdSeconds);
        };
    }

    private void reject(AmaranthlockException error, CompletableFuture<OutboundResponse> responseFuture) {
        registry.metrics().countRefusal(error.code());
        responseFuture.complete(ProblemResponses.notRunResponse(error));
    }
}
