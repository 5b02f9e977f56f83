package org.amaranthlock.entry.front;

import org.amaranthlock.coordination.forwarding.RequestLimits;
import org.amaranthlock.platform.ClientRequest;

/** Handler of the exchanges on client connections. All calls are on the traffic loop. */
public interface ClientExchangeHandler {
    /** Handles a completely received request; the response goes to {@code exchange}. */
    void handle(ClientRequest request, ClientExchange exchange);

    /** Returns the limits that apply to client requests. */
    RequestLimits limits();

    /** Returns whether the process is shutting down, so that connections close after their current response. */
    boolean draining();

    /** Records a stream that was broken off because its client had not read too much of it. */
    void onClientTooSlow(String requestId);

    /** Records a request that was rejected before it was received completely. */
    void onRejectedEarly(String requestId, int status, String reason);
}
