package org.amaranthlock.entry.front;

import org.amaranthlock.coordination.forwarding.RequestLimits;
import org.amaranthlock.platform.ClientRequest;

/** What a client's connection needs of the process. All calls are on the traffic loop. */
public interface ClientRequestHandler {
    /** Starts a whole request; its answer goes to {@code exchange}. */
    void handle(ClientRequest request, ClientExchange exchange);

    /** Returns the limits on clients. */
    RequestLimits limits();

    /** Returns whether the process is about to end, so that connections close after their answer. */
    boolean draining();

    /** Notes a request that was rejected before it was whole. */
    void onRejectedEarly(String requestId, int status, String reason);
}
