package org.amaranthlock.entry.target;

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
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.amaranthlock.coordination.forwarding.EventStreamSplitter;
import org.amaranthlock.coordination.forwarding.StreamEvent;
import org.amaranthlock.platform.TargetResponseDecoder;

/**
 * One connection to a target, which carries one exchange at a time.
 *
 * <p>An answer whose request id is not that of the exchange belongs to nobody: it is skipped, and the connection is not
 * used again.
 */
final class HttpTargetConnection extends SimpleChannelInboundHandler<HttpObject> {
    /** Time for which an idle connection is used again if the target does not state its idle timeout. */
    private static final long DEFAULT_IDLE_MILLIS = 3_000;

    /** Distance to the target's idle timeout, so that a request does not cross the target's close. */
    private static final long IDLE_MARGIN_MILLIS = 1_000;

    /** Largest answer that is held in memory, bytes. */
    private static final int MAX_ANSWER_BYTES = 8 * 1024 * 1024;

    private final Consumer<HttpTargetConnection> keep;
    private final LongSupplier clockMillis;
    private Channel channel;
    private TargetExchange exchange;
    private HttpMethod method = HttpMethod.GET;
    private boolean activeAtWrite;
    private boolean written;
    private HttpResponse head;
    private boolean skipping;
    private boolean spoiled;
    private String failure;
    private ByteArrayOutputStream body;
    private EventStreamSplitter events;
    private long reusableUntilMillis;

    HttpTargetConnection(Consumer<HttpTargetConnection> keep, LongSupplier clockMillis) {
        this.keep = keep;
        this.clockMillis = clockMillis;
    }

    HttpResponseDecoder decoder() {
        return new HttpResponseDecoder() {
            @Override
            protected boolean isContentAlwaysEmpty(HttpMessage message) {
                return HttpMethod.HEAD.equals(method) || super.isContentAlwaysEmpty(message);
            }
        };
    }

    Channel channel() {
        return channel;
    }

    boolean isReusable() {
        return channel.isActive() && !spoiled && clockMillis.getAsLong() < reusableUntilMillis;
    }

    boolean wasActiveAtWrite() {
        return activeAtWrite;
    }

    void begin(TargetExchange next) {
        exchange = next;
        next.channel(channel);
        method = next.request().method();
        activeAtWrite = channel.isActive();
        written = false;
    }

    void requestWritten() {
        written = true;
    }

    void close() {
        spoiled = true;
        channel.close();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (message.decoderResult().isFailure()) {
            fail("not HTTP: " + message.decoderResult().cause().getClass().getSimpleName());
            return;
        }
        if (message instanceof HttpResponse response) {
            begin(response);
        }
        if (message instanceof HttpContent content && !skipping && !idle()) {
            content(content);
        }
        if (message instanceof LastHttpContent) {
            if (skipping) {
                skipping = false;
            } else if (!idle()) {
                finish();
            }
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        fail(failure == null ? "closed" : failure);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        failure = cause.getClass().getSimpleName();
        fail(failure);
        if (!(cause instanceof IOException)) {
            // A fault of the program; the end of the pipeline logs it.
            context.fireExceptionCaught(cause);
        }
    }

    private boolean idle() {
        return exchange == null || exchange.completed();
    }

    private void begin(HttpResponse response) {
        if (response.status().codeClass() == io.netty.handler.codec.http.HttpStatusClass.INFORMATIONAL) {
            skipping = true;
            return;
        }
        if (idle()) {
            close();
            return;
        }
        if (!TargetResponseDecoder.isResponseTo(response, exchange.requestId())) {
            skipping = true;
            spoiled = true;
            return;
        }
        head = response;
        if (response.status().code() == 200 && TargetResponseDecoder.isEventStream(response)) {
            events = new EventStreamSplitter();
            exchange.listener().onStreamOpened(TargetResponseDecoder.decode(response, new byte[0]));
        } else {
            body = new ByteArrayOutputStream();
        }
    }

    private void content(HttpContent content) {
        byte[] bytes = ByteBufUtil.getBytes(content.content());
        if (events == null) {
            body.writeBytes(bytes);
            if (body.size() > MAX_ANSWER_BYTES) {
                fail("answer of more than " + MAX_ANSWER_BYTES + " bytes");
            }
            return;
        }
        List<StreamEvent> whole;
        try {
            whole = events.add(bytes);
        } catch (NumberFormatException e) {
            fail("event without a number");
            return;
        }
        if (!whole.isEmpty()) {
            exchange.listener().onEvents(whole);
        }
    }

    private void finish() {
        if (failure != null) {
            fail(failure);
            return;
        }
        TargetExchange ending = exchange;
        HttpResponse answer = head;
        byte[] whole = body == null ? null : body.toByteArray();
        boolean torn = events != null && !events.atBoundary();
        exchange = null;
        head = null;
        body = null;
        events = null;
        if (torn) {
            close();
            ending.complete();
            ending.listener().onLost("stream ended inside an event");
            return;
        }
        ending.complete();
        if (HttpUtil.isKeepAlive(answer) && framed(answer) && written && !spoiled) {
            long idleMillis =
                    TargetResponseDecoder.keepAliveMillis(answer).orElse(DEFAULT_IDLE_MILLIS + IDLE_MARGIN_MILLIS);
            reusableUntilMillis = clockMillis.getAsLong() + idleMillis - IDLE_MARGIN_MILLIS;
            keep.accept(this);
        } else {
            close();
        }
        if (whole == null) {
            ending.listener().onStreamEnded();
        } else {
            ending.listener().onResponse(TargetResponseDecoder.decode(answer, whole));
        }
    }

    private boolean framed(HttpResponse answer) {
        return HttpUtil.isContentLengthSet(answer)
                || HttpUtil.isTransferEncodingChunked(answer)
                || answer.status().code() == 204
                || answer.status().code() == 304
                || HttpMethod.HEAD.equals(method);
    }

    private void fail(String cause) {
        spoiled = true;
        if (channel != null) {
            channel.close();
        }
        TargetExchange ending = exchange;
        exchange = null;
        if (ending == null || ending.completed()) {
            return;
        }
        ending.complete();
        ending.listener().onLost(cause);
    }
}
