package org.amaranthlock.entry.target;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.FullHttpRequest;
import java.util.Objects;

/** Request to a target, until its response is complete, it fails or it is cancelled. */
public final class TargetExchange {
    private final String requestId;
    private final FullHttpRequest request;
    private final ExchangeListener listener;
    private Channel channel;
    private boolean completed;

    /** Creates an exchange, which takes ownership of the request's buffer. */
    public TargetExchange(String requestId, FullHttpRequest request, ExchangeListener listener) {
        this.requestId = Objects.requireNonNull(requestId, "request id");
        this.request = Objects.requireNonNull(request, "request");
        this.listener = Objects.requireNonNull(listener, "listener");
    }

    /** Cancels the exchange and closes its connection, so that the target stops working on the request. */
    public void cancel() {
        if (completed) {
            return;
        }
        completed = true;
        if (channel != null) {
            channel.close();
        }
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
    }

    void complete() {
        completed = true;
    }

    ExchangeListener listener() {
        return listener;
    }
}
