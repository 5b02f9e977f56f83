package org.amaranthlock.entry.target;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.FullHttpRequest;
import java.util.Objects;

/** One request that is sent to a target, until its answer is whole or it ends otherwise. */
public final class TargetExchange {
    private final String requestId;
    private final FullHttpRequest request;
    private final ExchangeListener listener;
    private Channel channel;
    private boolean completed;

    /** Creates an exchange; the request is released with it. */
    public TargetExchange(String requestId, FullHttpRequest request, ExchangeListener listener) {
        this.requestId = Objects.requireNonNull(requestId, "request id");
        this.request = Objects.requireNonNull(request, "request");
        this.listener = Objects.requireNonNull(listener, "listener");
    }

    /** Breaks the exchange off; its connection is closed, so that the target stops working. */
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

    void channel(Channel used) {
        channel = used;
    }

    void complete() {
        completed = true;
    }

    ExchangeListener listener() {
        return listener;
    }
}
