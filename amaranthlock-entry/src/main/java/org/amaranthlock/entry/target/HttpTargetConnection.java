package org.amaranthlock.entry.target;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.SequencedSet;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.amaranthlock.coordination.forwarding.EventStreamSplitter;
import org.amaranthlock.coordination.forwarding.MalformedStreamException;
import org.amaranthlock.coordination.forwarding.StreamEvent;
import org.amaranthlock.platform.MalformedResponseException;
import org.amaranthlock.platform.StrictResponseDecoder;
import org.amaranthlock.platform.TargetResponseDecoder;

/**
 * HTTP connection to a target that carries one exchange at a time.
 *
 * <p>A response whose request id differs from that of the current exchange is skipped, and the connection is not
 * reused. What a target may send is bounded: the head by the decoder, the body and the skipped responses by this class,
 * events by {@link EventStreamSplitter}, and what is buffered on all connections by {@link ResponseMemory}.
 */
final class HttpTargetConnection extends SimpleChannelInboundHandler<HttpObject> {
    /** Time for which an idle connection may be reused if the target does not state its idle timeout. */
    private static final long DEFAULT_IDLE_TIMEOUT_MILLIS = 3_000;

    /**
     * Margin before the target's idle timeout, so that a request is not sent while the target closes the connection.
     */
    private static final long IDLE_TIMEOUT_MARGIN_MILLIS = 1_000;

    /** Maximum size of the bodies of skipped responses to one request, in bytes. */
    private static final int MAX_SKIPPED_BYTES = 1024 * 1024;

    /** Maximum number of interim and other skipped responses to one request. */
    private static final int MAX_SKIPPED_RESPONSES = 32;

    /** Least mean size of the parts of a body of maximum size, in bytes; each part costs processor time. */
    private static final int MIN_MEAN_PART_BYTES = 64;

    /** Number of answered requests whose ids are remembered; a second copy of an answer is not expected later. */
    private static final int MAX_REMEMBERED_IDS = 64;

    private final Consumer<HttpTargetConnection> returnToPool;
    private final ResponseMemory memory;
    private final LongSupplier clockMillis;
    private final ResponseDecoder decoder = new ResponseDecoder();
    private Channel channel;
    private TargetExchange exchange;
    private HttpMethod method = HttpMethod.GET;
    private boolean activeAtWrite;
    private boolean requestSent;
    private HttpResponse head;
    private boolean skippingResponse;
    private boolean notReusable;
    private String failureCause;
    private ByteArrayOutputStream body;
    private long bodyParts;
    private EventStreamSplitter events;
    private int skippedBytes;
    private int skippedResponses;
    private long reservedBytes;
    private long reusableUntilMillis;

    /** Ids of the requests that were answered on this connection, the oldest first. */
    private final SequencedSet<String> answeredIds = new LinkedHashSet<>();

    HttpTargetConnection(Consumer<HttpTargetConnection> returnToPool, ResponseMemory memory, LongSupplier clockMillis) {
        this.returnToPool = returnToPool;
        this.memory = memory;
        this.clockMillis = clockMillis;
    }

    /** Decoder of the responses on this connection. */
    private final class ResponseDecoder extends StrictResponseDecoder {
        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage message) {
            return HttpMethod.HEAD.equals(method) || super.isContentAlwaysEmpty(message);
        }

        /** The target may see the end of this response elsewhere, so that what follows belongs to no request. */
        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            notReusable = true;
            super.handleTransferEncodingChunkedWithContentLength(message);
        }

        /** Bytes that arrive while no response is due belong to another one, and the rest of it may follow. */
        @Override
        protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> out) throws Exception {
            if (isIdle() && bytes.isReadable()) {
                notReusable = true;
            }
            super.decode(context, bytes, out);
        }
    }

    HttpResponseDecoder decoder() {
        return decoder;
    }

    Channel channel() {
        return channel;
    }

    boolean isReusable() {
        return channel.isActive() && !notReusable && clockMillis.getAsLong() < reusableUntilMillis;
    }

    /** Returns whether a request with this id was answered on this connection lately. */
    boolean hasAnswered(String requestId) {
        return answeredIds.contains(requestId);
    }

    boolean wasActiveAtWrite() {
        return activeAtWrite;
    }

    void begin(TargetExchange next) {
        exchange = next;
        next.channel(channel);
        method = next.request().method();
        activeAtWrite = channel.isActive();
        requestSent = false;
        skippedBytes = 0;
        skippedResponses = 0;
    }

    void markRequestSent() {
        requestSent = true;
    }

    void close() {
        notReusable = true;
        channel.close();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (message.decoderResult().isFailure()) {
            fail("not HTTP: " + reason(message.decoderResult().cause()));
            return;
        }
        if (message instanceof HttpResponse response) {
            beginResponse(response);
        }
        if (message instanceof HttpContent content && skippingResponse) {
            skipContent(content);
        } else if (message instanceof HttpContent content && !isIdle()) {
            readContent(content);
        }
        if (message instanceof LastHttpContent) {
            if (skippingResponse) {
                skippingResponse = false;
            } else if (!isIdle()) {
                completeResponse();
            }
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        fail(failureCause == null ? "closed" : failureCause);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        failureCause = cause.getClass().getSimpleName();
        fail(failureCause);
        if (!(cause instanceof IOException)) {
            // Program error; the end of the pipeline logs it.
            context.fireExceptionCaught(cause);
        }
    }

    private static String reason(Throwable cause) {
        return cause instanceof MalformedResponseException malformed
                ? malformed.reason()
                : cause.getClass().getSimpleName();
    }

    private boolean isIdle() {
        return exchange == null || exchange.completed();
    }

    private void beginResponse(HttpResponse response) {
        if (response.status().codeClass() == io.netty.handler.codec.http.HttpStatusClass.INFORMATIONAL) {
            skipResponse();
            return;
        }
        if (isIdle()) {
            close();
            return;
        }
        if (!TargetResponseDecoder.isResponseTo(response, exchange.requestId())) {
            notReusable = true;
            skipResponse();
            return;
        }
        exchange.head(response);
        boolean hasBody = !HttpMethod.HEAD.equals(method);
        if (hasBody && HttpUtil.getContentLength(response, 0L) > exchange.maxResponseBytes()) {
            fail(tooLong());
            return;
        }
        head = response;
        if (response.status().code() == 200 && TargetResponseDecoder.isEventStream(response)) {
            events = new EventStreamSplitter();
            exchange.listener().onStreamOpened(TargetResponseDecoder.decode(response, new byte[0]));
        } else {
            body = new ByteArrayOutputStream();
            bodyParts = 0;
        }
    }

    private void readContent(HttpContent content) {
        if (events == null) {
            readBody(content);
        } else {
            readEvents(content);
        }
    }

    private void readBody(HttpContent content) {
        int size = body.size() + content.content().readableBytes();
        bodyParts++;
        if (size > exchange.maxResponseBytes() || bodyParts > exchange.maxResponseBytes() / MIN_MEAN_PART_BYTES + 1) {
            fail(tooLong());
        } else if (reserve(size)) {
            body.writeBytes(ByteBufUtil.getBytes(content.content()));
        }
    }

    private void readEvents(HttpContent content) {
        List<StreamEvent> completeEvents;
        try {
            completeEvents = events.add(ByteBufUtil.getBytes(content.content()));
        } catch (MalformedStreamException e) {
            fail(e.reason());
            return;
        }
        if (reserve(events.pendingBytes()) && !completeEvents.isEmpty()) {
            exchange.listener().onEvents(completeEvents);
        }
    }

    private void skipResponse() {
        skippingResponse = true;
        skippedResponses++;
        if (skippedResponses > MAX_SKIPPED_RESPONSES) {
            fail("more than " + MAX_SKIPPED_RESPONSES + " responses before the expected one");
        }
    }

    private void skipContent(HttpContent content) {
        skippedBytes += content.content().readableBytes();
        if (skippedBytes > MAX_SKIPPED_BYTES) {
            fail("more than " + MAX_SKIPPED_BYTES + " bytes before the expected response");
        }
    }

    /** Reserves memory for this number of bytes instead of the bytes before; fails the exchange if none is left. */
    private boolean reserve(long bytes) {
        memory.release(reservedBytes);
        reservedBytes = 0;
        if (!memory.tryReserve(bytes)) {
            fail("no memory left for responses");
            return false;
        }
        reservedBytes = bytes;
        return true;
    }

    private String tooLong() {
        return "answer of more than " + exchange.maxResponseBytes() + " bytes";
    }

    private void completeResponse() {
        // When a connection that was reset closes, the decoder ends a response without a length as if it were complete.
        if (failureCause != null) {
            fail(failureCause);
            return;
        }
        TargetExchange completedExchange = exchange;
        HttpResponse response = head;
        byte[] responseBody = body == null ? null : body.toByteArray();
        boolean truncated = events != null && !events.atBoundary();
        clearResponse();
        rememberAnswered(completedExchange.requestId());
        if (truncated) {
            close();
            completedExchange.complete();
            completedExchange.listener().onLost("stream ended inside an event");
            return;
        }
        completedExchange.complete();
        // Before the request is sent completely, the target would read the next one as the rest of its body.
        if (HttpUtil.isKeepAlive(response) && isSelfDelimited(response) && requestSent && !notReusable) {
            long idleMillis = TargetResponseDecoder.keepAliveMillis(response)
                    .orElse(DEFAULT_IDLE_TIMEOUT_MILLIS + IDLE_TIMEOUT_MARGIN_MILLIS);
            reusableUntilMillis = clockMillis.getAsLong() + idleMillis - IDLE_TIMEOUT_MARGIN_MILLIS;
            returnToPool.accept(this);
        } else {
            close();
        }
        if (responseBody == null) {
            completedExchange.listener().onStreamEnded();
        } else {
            completedExchange.listener().onResponse(TargetResponseDecoder.decode(response, responseBody));
        }
    }

    private void rememberAnswered(String requestId) {
        answeredIds.add(requestId);
        if (answeredIds.size() > MAX_REMEMBERED_IDS) {
            answeredIds.removeFirst();
        }
    }

    private void clearResponse() {
        exchange = null;
        head = null;
        body = null;
        events = null;
        memory.release(reservedBytes);
        reservedBytes = 0;
    }

    private boolean isSelfDelimited(HttpResponse response) {
        return HttpUtil.isContentLengthSet(response)
                || HttpUtil.isTransferEncodingChunked(response)
                || response.status().code() == 204
                || response.status().code() == 304
                || HttpMethod.HEAD.equals(method);
    }

    /** Fails the exchange; the cause reaches the client as its error reason and is part of the interface. */
    private void fail(String cause) {
        notReusable = true;
        if (channel != null) {
            channel.close();
        }
        TargetExchange failedExchange = exchange;
        clearResponse();
        if (failedExchange == null || failedExchange.completed()) {
            return;
        }
        failedExchange.complete();
        failedExchange.listener().onLost(cause);
    }
}
