package org.amaranthlock.entry.target;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Objects;
import java.util.function.Consumer;
import org.amaranthlock.platform.TargetResponseDecoder;

/** Request to a target, until its response is complete, it fails or it is cancelled. */
public final class TargetExchange {
    /** Longest body of a response for a client, in bytes; it is buffered until it is complete. */
    private static final int MAX_RESPONSE_BYTES = 8 * 1024 * 1024;

    /** Longest body of a response to a call, in bytes; an engine lists a few thousand prompt parts. */
    private static final int MAX_CALL_RESPONSE_BYTES = 1024 * 1024;

    private final String requestId;
    private final FullHttpRequest request;
    private final ExchangeListener listener;
    private final int maxResponseBytes;
    private Channel channel;
    private Consumer<HttpResponse> headListener = _ -> {};
    private boolean answered;
    private boolean reading = true;
    private boolean completed;

    /** Creates an exchange for a request of a client; takes ownership of the request's buffer. */
    public TargetExchange(String requestId, FullHttpRequest request, ExchangeListener listener) {
        this(requestId, request, listener, MAX_RESPONSE_BYTES);
    }

    private TargetExchange(String requestId, FullHttpRequest request, ExchangeListener listener, int maxResponseBytes) {
        this.maxResponseBytes = maxResponseBytes;
        this.requestId = Objects.requireNonNull(requestId, "request id");
        this.request = Objects.requireNonNull(request, "request");
        this.listener = Objects.requireNonNull(listener, "listener");
    }

    /** Creates an exchange for a call of this host itself; takes ownership of the request's buffer. */
    static TargetExchange call(FullHttpRequest request, ExchangeListener listener) {
        return new TargetExchange(TargetResponseDecoder.NO_REQUEST_ID, request, listener, MAX_CALL_RESPONSE_BYTES);
    }

    /**
     * Cancels the exchange and closes its connection, so that the target stops working on the request. Before the target
     * has begun to answer, the connection is reset: a regular close sends what the system still holds of the request,
     * which may reach the target seconds later if packets are lost.
     */
    public void cancel() {
        if (completed) {
            return;
        }
        completed = true;
        if (channel != null) {
            if (!answered && channel.isOpen()) {
                channel.config().setOption(ChannelOption.SO_LINGER, 0);
            }
            channel.close();
        }
    }

    /** Sets whether the response is read on; what the target sends meanwhile stays with it. */
    public void setReading(boolean on) {
        reading = on;
        applyReading();
    }

    /** Returns whether this is a call of this host itself. */
    boolean isCall() {
        return requestId.equals(TargetResponseDecoder.NO_REQUEST_ID);
    }

    /** Returns the size of the longest body that is accepted, in bytes. */
    int maxResponseBytes() {
        return maxResponseBytes;
    }

    /** Sets what is called with the head of each response to this request. */
    void onHead(Consumer<HttpResponse> action) {
        headListener = Objects.requireNonNull(action, "action");
    }

    void head(HttpResponse head) {
        answered = true;
        headListener.accept(head);
    }

    String requestId() {
        return requestId;
    }

    FullHttpRequest request() {
        return request;
    }

    boolean completed() {
        return completed;
    }

    void channel(Channel assigned) {
        channel = assigned;
        applyReading();
    }

    void complete() {
        completed = true;
        applyReading();
    }

    /** A connection whose exchange has ended is read, so that its close is noticed. */
    private void applyReading() {
        if (channel != null) {
            channel.config().setAutoRead(reading || completed);
        }
    }

    ExchangeListener listener() {
        return listener;
    }
}
