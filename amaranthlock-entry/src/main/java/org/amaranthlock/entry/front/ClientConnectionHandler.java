package org.amaranthlock.entry.front;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.amaranthlock.coordination.forwarding.Rejection;
import org.amaranthlock.coordination.forwarding.TargetResponse;
import org.amaranthlock.platform.ClientRequest;
import org.amaranthlock.platform.WireHeaders;

/**
 * Channel handler of a client connection, which handles one request at a time and writes the responses in order.
 *
 * <p>Data that arrives before the current response is complete is queued. The current exchange is notified when the
 * client disconnects.
 */
public final class ClientConnectionHandler extends ChannelInboundHandlerAdapter {
    /** Limit of queued objects of later requests; reading pauses when it is exceeded. */
    private static final int MAX_QUEUED_OBJECTS = 64;

    /**
     * Time for a client to read a response that was sent before its request was received completely; closing the
     * connection at once could reset it before the client has read the response.
     */
    private static final long LINGER_MILLIS = 1_000;

    /** Time in which a request is read that has arrived before its connection was to be closed. */
    private static final long DRAIN_READ_MILLIS = 100;

    /** Number of unread bytes from which on a stream whose target cannot be paused is aborted. */
    private static final int MAX_UNSENT_BYTES = 1024 * 1024;

    private final ClientExchangeHandler exchangeHandler;
    private final UnreadBytes unreadBytes;
    private final UnreadBytes.Stream stream = new UnreadStream();
    private final Deque<HttpObject> queued = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private HttpRequest incomingRequest;
    private ByteArrayOutputStream body;
    private ConnectionExchange exchange;
    private boolean closeAfterResponse;
    private boolean discarding;
    private boolean headerStarted;
    private Future<?> timer;

    ClientConnectionHandler(ClientExchangeHandler exchangeHandler, UnreadBytes unreadBytes) {
        this.exchangeHandler = Objects.requireNonNull(exchangeHandler, "exchange handler");
        this.unreadBytes = Objects.requireNonNull(unreadBytes, "unread bytes");
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        awaitRequest();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        cancelTimer();
        queued.forEach(ReferenceCountUtil::release);
        queued.clear();
        ConnectionExchange openExchange = exchange;
        exchange = null;
        if (openExchange != null) {
            openExchange.onClientDisconnected();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
        if (!(cause instanceof IOException)) {
            // Program error; the end of the pipeline logs it.
            ctx.fireExceptionCaught(cause);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (discarding || !(message instanceof HttpObject object)) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (exchange != null) {
            queued.addLast(object);
            if (queued.size() > MAX_QUEUED_OBJECTS) {
                context.channel().config().setAutoRead(false);
            }
            return;
        }
        handle(object);
    }

    /** Starts the header timeout with the first bytes of a request, before they are decoded. */
    void onBytesReceived() {
        if (exchange == null && incomingRequest == null && !discarding && !headerStarted) {
            headerStarted = true;
            schedule(
                    exchangeHandler.limits().headerTimeoutMillis(),
                    () -> rejectEarly(Rejection.of(408, "header-timeout")));
        }
    }

    /**
     * Closes the connection, if it is idle as soon as what has already arrived is read, and otherwise after the current
     * response.
     */
    void drain() {
        if (isIdle()) {
            schedule(DRAIN_READ_MILLIS, this::closeIfIdle);
        } else {
            closeAfterResponse = true;
        }
    }

    /** Rejects a request that is not received completely, because the process ends. */
    void endUnread() {
        if (!discarding && (incomingRequest != null || headerStarted)) {
            rejectEarly(Rejection.hostStops());
        }
    }

    private boolean isIdle() {
        return exchange == null && incomingRequest == null && !headerStarted;
    }

    private void closeIfIdle() {
        if (isIdle()) {
            context.close();
        }
    }

    void respond(TargetResponse targetResponse, boolean headOnly) {
        FullHttpResponse response = ClientResponses.fullResponse(targetResponse, headOnly);
        int bytes = response.content().readableBytes();
        count(bytes, writeResponse(response));
    }

    void reject(Rejection rejection, String requestId) {
        writeResponse(ClientResponses.rejection(rejection, requestId));
    }

    void openStream(TargetResponse head) {
        HttpResponse response = ClientResponses.streamHead(head);
        setConnectionHeaders(response);
        context.write(response);
    }

    /** Writes events; breaks the stream off if the client has not read too many of them. */
    void writeEvents(byte[] events) {
        if (context.channel().bytesBeforeWritable() > MAX_UNSENT_BYTES) {
            stream.end();
            return;
        }
        count(events.length, context.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(events))));
    }

    void endStream() {
        completeExchange(context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
    }

    void abort() {
        exchange = null;
        context.close();
    }

    private void handle(HttpObject object) {
        try {
            if (object.decoderResult().isFailure()) {
                rejectEarly(RequestValidator.rejectionOfUndecodable(
                        object.decoderResult().cause()));
                return;
            }
            if (object instanceof HttpRequest request) {
                beginRequest(request);
            }
            if (object instanceof HttpContent content && incomingRequest != null) {
                appendBody(content);
            }
        } finally {
            ReferenceCountUtil.release(object);
        }
    }

    private void beginRequest(HttpRequest request) {
        cancelTimer();
        headerStarted = false;
        closeAfterResponse = exchangeHandler.draining() || !HttpUtil.isKeepAlive(request);
        incomingRequest = request;
        body = new ByteArrayOutputStream();
        Optional<Rejection> rejection = RequestValidator.validate(request, exchangeHandler.limits());
        if (rejection.isPresent()) {
            rejectEarly(rejection.get());
            return;
        }
        if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
        // A client that names no deadline may send its body as long as it may keep a connection idle.
        long bodyMillis = ClientRequest.of(request, new byte[0])
                .timeLeftMillis()
                .orElse(exchangeHandler.limits().idleTimeoutMillis());
        schedule(bodyMillis, () -> rejectEarly(Rejection.of(408, "body-timeout")));
    }

    private void appendBody(HttpContent content) {
        body.writeBytes(ByteBufUtil.getBytes(content.content()));
        if (body.size() > exchangeHandler.limits().maxBodyBytes()) {
            rejectEarly(Rejection.of(413, "body-too-large"));
            return;
        }
        if (!(content instanceof LastHttpContent)) {
            return;
        }
        cancelTimer();
        ClientRequest request = ClientRequest.of(incomingRequest, body.toByteArray());
        boolean headOnly = HttpMethod.HEAD.equals(incomingRequest.method());
        incomingRequest = null;
        body = null;
        ConnectionExchange opened = new ConnectionExchange(this, request.requestId(), headOnly);
        exchange = opened;
        // Not at once: a client that has given up meanwhile has closed the connection, which is read after its request.
        context.executor().execute(() -> {
            if (exchange == opened && context.channel().isActive()) {
                exchangeHandler.handle(request, opened);
            }
        });
    }

    /** Rejects a request that is not received completely, discards the rest of it and closes the connection. */
    private void rejectEarly(Rejection rejection) {
        cancelTimer();
        String id = incomingRequest == null ? "" : incomingRequest.headers().get(WireHeaders.REQUEST_ID, "");
        incomingRequest = null;
        discarding = true;
        exchangeHandler.onRejectedEarly(id, rejection.status(), rejection.reason());
        FullHttpResponse response = ClientResponses.rejection(rejection, id);
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        context.writeAndFlush(response).addListener(done -> {
            if (context.channel() instanceof SocketChannel socket) {
                socket.shutdownOutput();
            }
        });
        schedule(LINGER_MILLIS, () -> context.close());
    }

    private ChannelFuture writeResponse(FullHttpResponse response) {
        setConnectionHeaders(response);
        ChannelFuture written = context.writeAndFlush(response);
        completeExchange(written);
        return written;
    }

    /** Counts bytes as unread until they are written to the socket, or the connection is closed. */
    private void count(int bytes, ChannelFuture written) {
        if (bytes > 0 && !written.isDone()) {
            written.addListener(_ -> unreadBytes.remove(stream, bytes));
            unreadBytes.add(stream, bytes);
        }
    }

    private void setConnectionHeaders(HttpResponse response) {
        closeAfterResponse |= exchangeHandler.draining();
        if (closeAfterResponse) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            return;
        }
        long idleSeconds = exchangeHandler.limits().idleTimeoutMillis() / 1_000;
        response.headers().set("Keep-Alive", "timeout=" + Math.max(1, idleSeconds));
    }

    private void completeExchange(ChannelFuture written) {
        exchange = null;
        if (closeAfterResponse) {
            discarding = true;
            written.addListener(done -> context.close());
            return;
        }
        awaitRequest();
        while (exchange == null && !discarding && !queued.isEmpty()) {
            handle(queued.pollFirst());
        }
        if (queued.isEmpty()) {
            context.channel().config().setAutoRead(true);
        }
    }

    private void awaitRequest() {
        schedule(exchangeHandler.limits().idleTimeoutMillis(), () -> context.close());
    }

    private void schedule(long delayMillis, Runnable action) {
        cancelTimer();
        timer = context.executor().schedule(action, delayMillis, TimeUnit.MILLISECONDS);
    }

    private void cancelTimer() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }

    /** Unread part of the responses on this connection. */
    private final class UnreadStream implements UnreadBytes.Stream {
        @Override
        public void pause() {
            setReading(false);
        }

        @Override
        public void resume() {
            setReading(true);
        }

        @Override
        public void end() {
            exchangeHandler.onClientTooSlow(exchange == null ? "-" : exchange.requestId());
            context.close();
        }

        private void setReading(boolean reading) {
            if (exchange != null) {
                exchange.setReading(reading);
            }
        }
    }
}
