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
import org.amaranthlock.transport.Service;
import org.jboss.logging.Logger;

/** HTTP server of a router, for callers and operators. */
public final class HttpFront implements Service {
    private static final Logger LOG = Logger.getLogger(HttpFront.class);
    private static final long STOP_TIMEOUT_SECONDS = 5;
    // Enough for an answer of a few hundred bytes to reach a caller that reads.
    private static final long CLOSE_DELAY_MILLIS = 500;
    private static final int STATUS_NO_CONTENT = 204;
    private static final int STATUS_NOT_MODIFIED = 304;

    private final InetSocketAddress address;
    private final CallerRequestHandler callers;
    private final OperatorRequestHandler operators;
    private final Duration readTimeout;
    private final FirstRequestTimeout firstRequestTimeout;
    private HttpServerContext server;

    HttpFront(
            InetSocketAddress address,
            Duration readTimeout,
            CallerRequestHandler callers,
            OperatorRequestHandler operators) {
        this.readTimeout = readTimeout;
        this.firstRequestTimeout = new FirstRequestTimeout(readTimeout);
        this.address = address;
        this.callers = callers;
        this.operators = operators;
    }

    // The acceptors that replace the deprecated filter are shown the connection without a means to close it later.
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
            LOG.debug("Open connections are closed without waiting.", e);
            server.closeAsync().subscribe();
        }
        server = null;
    }

    /** Returns the address that the server listens on; valid after the start. */
    public synchronized InetSocketAddress localAddress() {
        return (InetSocketAddress) server.listenAddress();
    }

    private Single<StreamingHttpResponse> handle(
            HttpServiceContext context, StreamingHttpRequest request, StreamingHttpResponseFactory responses) {
        firstRequestTimeout.cancelTimer(context);
        IoExecutor network = context.executionContext().ioExecutor();
        CallerConnection connection = new CallerConnection(network::execute);
        connection.setCloseSubscription(callerDisconnected(context, request)
                .afterOnComplete(connection::markLost)
                .subscribe());
        boolean head = request.method().name().equals("HEAD");
        CompletableFuture<OutboundResponse> reply = RequestReader.read(request, readTimeout)
                .thenCompose(inbound -> route(inbound, connection))
                .exceptionally(HttpFront::errorResponse);
        return Single.fromStage(reply)
                .publishOn(network)
                .map(done -> {
                    if (done.headers().containsKey("connection")) {
                        closeAfterDelay(context);
                    }
                    return toStreamingResponse(done, head, responses, connection);
                })
                .beforeCancel(connection::markLost);
    }

    /**
     * Closes a connection a moment after its answer. The server reads the rest of a request before it closes the
     * connection on its own, which never ends if the sender has stopped sending.
     */
    private static void closeAfterDelay(HttpServiceContext context) {
        Cancellable timer = context.executionContext()
                .executor()
                .schedule(() -> context.closeAsync().subscribe(), CLOSE_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        context.onClose().afterFinally(timer::cancel).subscribe();
    }

    /**
     * Returns the signal that the caller has left. The closing of a connection starts when the caller closes its side,
     * but also when its request says {@code Connection: close}; such a caller is only gone when the connection is.
     */
    private static Completable callerDisconnected(HttpServiceContext context, StreamingHttpRequest request) {
        boolean closeRequested = request.headers().contains("connection", "close");
        return closeRequested ? context.onClose() : context.onClosing();
    }

    private CompletableFuture<OutboundResponse> route(InboundRequest request, CallerConnection connection) {
        if (OperatorRequestHandler.accepts(request.path())) {
            return operators.handle(request);
        }
        if (CallerRequestParser.accepts(request.path())) {
            return callers.handle(request, connection);
        }
        return CompletableFuture.completedFuture(ProblemDetails.notRun(
                ErrorCode.UNKNOWN_SERVICE,
                "There is nothing at " + request.path().toLowerCase(Locale.ROOT)
                        + "; use /v1/chat/completions, /v1/completions or /services/<service>/<path>."));
    }

    private static OutboundResponse errorResponse(Throwable error) {
        Throwable cause = error instanceof CompletionException && error.getCause() != null ? error.getCause() : error;
        return switch (cause) {
            case AmaranthlockException known -> ProblemDetails.notRun(known).withHeader("connection", "close");
            case TimeoutException _ ->
                ProblemDetails.notRun(
                                ErrorCode.INVALID_REQUEST,
                                "No complete request or answer came in time; send the request at once, and read an "
                                        + "entry again before repeating a change.")
                        .withHeader("connection", "close");
            default -> {
                LOG.error("Unexpected exception at a request", cause);
                yield ProblemDetails.notRun(
                        ErrorCode.INTERNAL, "The router failed at this request; report this as a fault.");
            }
        };
    }

    private static StreamingHttpResponse toStreamingResponse(
            OutboundResponse reply, boolean head, StreamingHttpResponseFactory responses, CallerConnection connection) {
        StreamingHttpResponse response = responses.newResponse(HttpResponseStatus.of(reply.status(), ""));
        reply.headers().forEach((name, value) -> response.headers().set(name, value));
        return switch (reply.body()) {
            case OutboundResponse.Body.Streaming(var bytes) ->
                response.payloadBody(bytes.beforeFinally(connection::responseSent));
            case OutboundResponse.Body.Buffered(var bytes) -> {
                connection.responseSent();
                boolean empty = reply.status() == STATUS_NO_CONTENT || reply.status() == STATUS_NOT_MODIFIED;
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
