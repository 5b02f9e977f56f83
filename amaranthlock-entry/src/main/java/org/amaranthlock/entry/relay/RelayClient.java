package org.amaranthlock.entry.relay;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.amaranthlock.coordination.forwarding.RelayAttempt;
import org.amaranthlock.entry.control.PeerQueries;
import org.amaranthlock.entry.metrics.EntryMetrics;
import org.amaranthlock.entry.peer.EntryPeerMessage;
import org.amaranthlock.platform.ClientRequest;

/**
 * Passes requests of clients to other hosts. Its users and listeners are on the traffic loop, the peer connections on
 * the control loop.
 */
public final class RelayClient {
    private final EventLoop controlLoop;
    private final EventLoop trafficLoop;
    private final PeerQueries peerQueries;
    private final EntryMetrics metrics;

    /** Requests without a final response; used on the control loop only. */
    private final Map<Long, Outstanding> outstanding = new HashMap<>();

    private long lastId;

    private record Outstanding(String host, RelayListener listener) {}

    /** Creates a client that sends through {@code peerQueries}. */
    public RelayClient(EventLoop controlLoop, EventLoop trafficLoop, PeerQueries peerQueries, EntryMetrics metrics) {
        this.controlLoop = Objects.requireNonNull(controlLoop, "control loop");
        this.trafficLoop = Objects.requireNonNull(trafficLoop, "traffic loop");
        this.peerQueries = Objects.requireNonNull(peerQueries, "peer queries");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
    }

    /**
     * Sends a request to a host; called on the traffic loop.
     *
     * @param configurationVersion configuration by which this host has admitted the request
     * @param attempt host, number of executions left, and version that began the event stream
     * @return id of the request
     */
    public long send(RelayAttempt attempt, ClientRequest request, long configurationVersion, RelayListener listener) {
        String host = attempt.host();
        long id = ++lastId;
        controlLoop.execute(() -> {
            outstanding.put(id, new Outstanding(host, listener));
            EntryPeerMessage message = new EntryPeerMessage.RelayRequest(
                    id, configurationVersion, attempt.executionsLeft(), request, attempt.streamVersion());
            if (!peerQueries.sendQuery(host, message)) {
                outstanding.remove(id);
                metrics.recordRelay("not-connected");
                trafficLoop.execute(() -> listener.onNotSent("not-connected"));
            }
        });
        return id;
    }

    /** Cancels a request, so that its target stops working on it; called on the traffic loop. */
    public void cancel(long id) {
        controlLoop.execute(() -> {
            Outstanding cancelled = outstanding.remove(id);
            if (cancelled != null) {
                metrics.recordRelay("cancelled");
                peerQueries.sendQuery(cancelled.host(), new EntryPeerMessage.RelayCancel(id));
            }
        });
    }

    /** Handles a response of another host; called on the control loop. */
    public void onResponse(EntryPeerMessage.RelayResponse response) {
        Outstanding request = response.last() ? outstanding.remove(response.id()) : outstanding.get(response.id());
        if (request == null) {
            return; // cancelled before the response arrived
        }
        if (response.last()) {
            metrics.recordRelay(response.getClass().getSimpleName());
        }
        trafficLoop.execute(() -> request.listener().onResponse(response));
    }

    /** Ends the requests at a host whose connection was closed; called on the control loop. */
    public void onConnectionClosed(String host) {
        List<Map.Entry<Long, Outstanding>> lost = outstanding.entrySet().stream()
                .filter(request -> request.getValue().host().equals(host))
                .toList();
        for (Map.Entry<Long, Outstanding> request : lost) {
            outstanding.remove(request.getKey());
            metrics.recordRelay("link-closed");
            trafficLoop.execute(() -> request.getValue().listener().onLost("link-closed"));
        }
    }
}
