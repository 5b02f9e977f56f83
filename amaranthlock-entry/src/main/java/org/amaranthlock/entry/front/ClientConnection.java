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
 * One client connection: reads requests one after the other and writes their answers in order.
 *
 * <p>What a client sends before its answer is complete waits. An exchange is told when the client leaves.
 */
public final class ClientConnection extends ChannelInboundHandlerAdapter {
    /** Objects of later requests that wait; reading pauses beyond them. */
    private static final int MAX_WAITING_OBJECTS = 64;

    /** Time for a client to read an answer that was sent before its request was read, milliseconds. */
    private static final long LINGER_MILLIS = 1_000;

    private final ClientRequestHandler handling;
    private final Deque<HttpObject> waiting = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private HttpRequest reading;
    private ByteArrayOutputStream body;
    private ClientExchange exchange;
    private boolean closeAfter;
    private boolean discarding;
    private boolean headerStarted;
    private Future<?> timer;

    ClientConnection(ClientRequestHandler handling) {
        this.handling = Objects.requireNonNull(handling, "handling");
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    @Override
    public void channelActive(ChannelHandlerContext opened) {
        awaitRequest();
    }

    @Override
    public void channelInactive(ChannelHandlerContext closed) {
        cancelTimer();
        waiting.forEach(ReferenceCountUtil::release);
        waiting.clear();
        ClientExchange left = exchange;
        exchange = null;
        if (left != null) {
            left.clientDisconnected();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext failed, Throwable cause) {
        failed.close();
        if (!(cause instanceof IOException)) {
            // A fault of the program; the end of the pipeline logs it.
            failed.fireExceptionCaught(cause);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext unused, Object message) {
        if (discarding || !(message instanceof HttpObject object)) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (exchange != null) {
            waiting.addLast(object);
            if (waiting.size() > MAX_WAITING_OBJECTS) {
                context.channel().config().setAutoRead(false);
            }
            return;
        }
        handle(object);
    }

    /** Notes that bytes have come that are not decoded yet. */
    void onBytesReceived() {
        if (exchange == null && reading == null && !discarding && !headerStarted) {
            headerStarted = true;
            schedule(handling.limits().headerTimeoutMillis(), () -> refuse(Rejection.of(408, "header-timeout")));
        }
    }

    /** Closes the connection if no request is on it; otherwise after the answer. */
    void drain() {
        if (exchange == null && reading == null) {
            context.close();
        } else {
            closeAfter = true;
        }
    }

    void respond(TargetResponse answer, boolean headOnly) {
        FullHttpResponse response = ClientResponses.fullResponse(answer, headOnly);
        finish(response);
    }

    void reject(Rejection rejection, String requestId) {
        finish(ClientResponses.rejection(rejection, requestId));
    }

    void openStream(TargetResponse head) {
        HttpResponse response = ClientResponses.streamHead(head);
        connectionHeaders(response);
        context.write(response);
    }

    void writeEvents(byte[] events) {
        context.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(events)));
    }

    void endStream() {
        afterAnswer(context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
    }

    void abort() {
        exchange = null;
        context.close();
    }

    private void handle(HttpObject object) {
        try {
            if (object.decoderResult().isFailure()) {
                refuse(RequestValidator.rejectUndecodable(object.decoderResult().cause()));
                return;
            }
            if (object instanceof HttpRequest request) {
                begin(request);
            }
            if (object instanceof HttpContent content && reading != null) {
                append(content);
            }
        } finally {
            ReferenceCountUtil.release(object);
        }
    }

    private void begin(HttpRequest request) {
        cancelTimer();
        headerStarted = false;
        closeAfter = handling.draining() || !HttpUtil.isKeepAlive(request);
        reading = request;
        body = new ByteArrayOutputStream();
        Optional<Rejection> fault = RequestValidator.validate(request, handling.limits());
        if (fault.isPresent()) {
            refuse(fault.get());
            return;
        }
        if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
        ClientRequest head = ClientRequest.of(request, new byte[0]);
        head.timeLeftMillis().ifPresent(millis -> schedule(millis, () -> refuse(Rejection.of(408, "body-timeout"))));
    }

    private void append(HttpContent content) {
        body.writeBytes(ByteBufUtil.getBytes(content.content()));
        if (body.size() > handling.limits().maxBodyBytes()) {
            refuse(Rejection.of(413, "body-too-large"));
            return;
        }
        if (!(content instanceof LastHttpContent)) {
            return;
        }
        cancelTimer();
        ClientRequest request = ClientRequest.of(reading, body.toByteArray());
        boolean headOnly = HttpMethod.HEAD.equals(reading.method());
        reading = null;
        body = null;
        exchange = new ClientExchange(this, request.requestId(), headOnly);
        handling.handle(request, exchange);
    }

    /** Answers before the request is whole; what still comes of it is discarded and the connection closed. */
    private void refuse(Rejection rejection) {
        cancelTimer();
        String id = reading == null ? "" : reading.headers().get(WireHeaders.REQUEST_ID, "");
        reading = null;
        discarding = true;
        handling.onRejectedEarly(id, rejection.status(), rejection.reason());
        FullHttpResponse response = ClientResponses.rejection(rejection, id);
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        context.writeAndFlush(response).addListener(done -> {
            if (context.channel() instanceof SocketChannel socket) {
                socket.shutdownOutput();
            }
        });
        schedule(LINGER_MILLIS, () -> context.close());
    }

    private void finish(FullHttpResponse response) {
        connectionHeaders(response);
        afterAnswer(context.writeAndFlush(response));
    }

    private void connectionHeaders(HttpResponse response) {
        closeAfter |= handling.draining();
        if (closeAfter) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            return;
        }
        long idleSeconds = handling.limits().idleTimeoutMillis() / 1_000;
        response.headers().set("Keep-Alive", "timeout=" + Math.max(1, idleSeconds));
    }

    private void afterAnswer(ChannelFuture written) {
        exchange = null;
        if (closeAfter) {
            discarding = true;
            written.addListener(done -> context.close());
            return;
        }
        awaitRequest();
        while (exchange == null && !discarding && !waiting.isEmpty()) {
            handle(waiting.pollFirst());
        }
        if (waiting.isEmpty()) {
            context.channel().config().setAutoRead(true);
        }
    }

    private void awaitRequest() {
        schedule(handling.limits().idleTimeoutMillis(), () -> context.close());
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
}
