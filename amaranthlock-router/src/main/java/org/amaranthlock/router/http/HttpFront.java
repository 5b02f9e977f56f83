package org.amaranthlock.router.http;

import io.servicetalk.buffer.api.ReadOnlyBufferAllocators;
import io.servicetalk.concurrent.Cancellable;
import io.servicetalk.concurrent.api.Completable;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import io.servicetalk.http.netty.HttpProtocolConfigs;
import io.servicetalk.http.netty.HttpServers;
import io.servicetalk.transport.api.IoExecutor;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.amaranthlock.model.AmaranthlockException;
import org.amaranthlock.model.ErrorCode;
import org.amaranthlock.transport.Lifecycle;
import org.jboss.logging.Logger;

/** HTTP server of a router, which serves clients and operators. */
public final class HttpFront implements Lifecycle {
    private static final Logger LOG = Logger.getLogger(HttpFront.class);
    private static final long STOP_TIMEOUT_SECONDS = 5;
    // Long enough for a response of a few hundred bytes to reach a client that reads.
    private static final long CLOSE_DELAY_MILLIS = 500;
    private static final int STATUS_NO_CONTENT = 204;
    private static final int STATUS_NOT_MODIFIED = 304;

    private final InetSocketAddress address;
    private final ClientRequestHandler clientRequestHandler;
    private final OperatorRequestHandler operatorRequestHandler;
    private final Duration readTimeout;
    private final FirstRequestTimeout firstRequestTimeout;
    private HttpServerContext server;

    HttpFront(
            InetSocketAddress address,
            Duration readTimeout,
            ClientRequestHandler clientRequestHandler,
            OperatorRequestHandler operatorRequestHandler) {
        this.readTimeout = readTimeout;
        this.firstRequestTimeout = new FirstRequestTimeout(readTimeout);
        this.address = address;
        this.clientRequestHandler = clientRequestHandler;
        this.operatorRequestHandler = operatorRequestHandler;
    }

    // The acceptors that replace the deprecated filter receive the connection without a means to close it later.
    @SuppressWarnings("deprecation")
    @Override
    public synchronized void start() {
        try {
            server = HttpServers.forAddress(address)
                    .protocols(HttpProtocolConfigs.h1()
                            .maxHeaderFieldLength(RequestReader.MAX_HEADER_BYTES)
                            .maxStartLineLength(RequestReader.MAX_HEADER_BYTES)
                            .build())
                    .executionStrategy(HttpExecutionStrategies.offloadNone())
                    .appendConnectionAcceptorFilter(original -> original.append(firstRequestTimeout::startTimer))
                    .listenStreamingAndAwait(this::handle);
        } catch (Exception e) {
            throw new AmaranthlockException(
                    ErrorCode.INVALID_SETTINGS,
                    "Can't listen on " + address + "; check the key http.address and whether the port is in use.",
                    e);
        }
    }

    @Override
    public synchronized void stop() {
        if (server == null) {
            return;
        }
        try {
            server.closeAsyncGracefully().toFuture().get(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (Exception e) {
            LOG.debug("The HTTP server did not stop gracefully; open connections are closed immediately.", e);
            server.closeAsync().subscribe();
        }
        server = null;
    }

    /** Returns the address that the server listens on; valid after {@link #start()}. */
    public synchronized InetSocketAddress localAddress() {
        return (InetSocketAddress) server.listenAddress();
    }

    private Single<StreamingHttpResponse> handle(
            HttpServiceContext context, StreamingHttpRequest request, StreamingHttpResponseFactory responses) {
        firstRequestTimeout.cancelTimer(context);
        IoExecutor ioExecutor = context.executionContext().ioExecutor();
        ClientConnection connection = new ClientConnection(ioExecutor::execute);
        connection.setCloseSubscription(clientDisconnected(context, request)
                .afterOnComplete(connection::markLost)
                .subscribe());
        boolean head = request.method().name().equals("HEAD");
        CompletableFuture<OutboundResponse> responseFuture = RequestReader.read(request, readTimeout)
                .thenCompose(inbound -> route(inbound, connection))
                .exceptionally(HttpFront::errorResponse);
        return Single.fromStage(responseFuture)
                .publishOn(ioExecutor)
                .map(outbound -> {
                    if (outbound.headers().containsKey("connection")) {
                        closeAfterDelay(context);
                    }
                    return toStreamingResponse(outbound, head, responses, connection);
                })
                .beforeCancel(connection::markLost);
    }

    /**
     * Closes a connection shortly after its response. On its own, the server reads the rest of a request before it
     * closes the connection, which never happens if the sender has stopped sending.
     */
    private static void closeAfterDelay(HttpServiceContext context) {
        Cancellable timer = context.executionContext()
                .executor()
                .schedule(() -> context.closeAsync().subscribe(), CLOSE_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        context.onClose().afterFinally(timer::cancel).subscribe();
    }

    /**
     * Returns a {@code Completable} that completes when the client has disconnected. A connection starts closing when
     * the client closes its side, but also when its request contains {@code Connection: close}; such a client has
     * disconnected only once the connection is closed.
     */
    private static Completable clientDisconnected(HttpServiceContext context, StreamingHttpRequest request) {
        boolean closeRequested = request.headers().contains("connection", "close");
        return closeRequested ? context.onClose() : context.onClosing();
    }

    private CompletableFuture<OutboundResponse> route(InboundRequest request, ClientConnection connection) {
        if (OperatorRequestHandler.accepts(request.path())) {
            return operatorRequestHandler.handle(request);
        }
        if (ClientRequestParser.accepts(request.path())) {
            return clientRequestHandler.handle(request, connection);
        }
        return CompletableFuture.completedFuture(ProblemResponses.notRunResponse(
                ErrorCode.UNKNOWN_SERVICE,
                "No resource exists at " + request.path().toLowerCase(Locale.ROOT)
                        + "; use /v1/chat/completions, /v1/completions or /services/<service>/<path>."));
    }

    private static OutboundResponse errorResponse(Throwable error) {
        Throwable cause = error instanceof CompletionException && error.getCause() != null ? error.getCause() : error;
        return switch (cause) {
            case AmaranthlockException known ->
                ProblemResponses.notRunResponse(known).withHeader("connection", "close");
            case TimeoutException _ ->
                ProblemResponses.notRunResponse(
                                ErrorCode.INVALID_REQUEST,
                                "The request was not received completely, or not processed, in time; send the request "
                                        + "without pauses, and read an entry again before retrying a change.")
                        .withHeader("connection", "close");
            default -> {
                LOG.error("Unexpected exception while handling an HTTP request", cause);
                yield ProblemResponses.notRunResponse(
                        ErrorCode.INTERNAL, "The router failed to process this request; report this as a bug.");
            }
        };
    }

    private static StreamingHttpResponse toStreamingResponse(
            OutboundResponse outbound,
            boolean head,
            StreamingHttpResponseFactory responses,
            ClientConnection connection) {
        StreamingHttpResponse response = responses.newResponse(HttpResponseStatus.of(outbound.status(), ""));
        outbound.headers().forEach((name, value) -> response.headers().set(name, value));
        return switch (outbound.body()) {
            case OutboundResponse.Body.Streaming(var bytes) ->
                response.payloadBody(bytes.beforeFinally(connection::responseSent));
            case OutboundResponse.Body.Buffered(var bytes) -> {
                connection.responseSent();
                boolean empty = outbound.status() == STATUS_NO_CONTENT || outbound.status() == STATUS_NOT_MODIFIED;
                if (!empty) {
                    response.headers().set("content-length", Integer.toString(bytes.length));
                }
                yield empty || head
                        ? response
                        : response.payloadBody(
                                Publisher.from(ReadOnlyBufferAllocators.DEFAULT_RO_ALLOCATOR.wrap(bytes)));
            }
        };
    }
}
