package org.amaranthlock.entry.control;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.amaranthlock.coordination.reservation.ReservationRequest;
import org.amaranthlock.coordination.reservation.ReservationTransport;
import org.amaranthlock.entry.log.DecisionLog;
import org.amaranthlock.entry.peer.EntryPeerMessage;
import org.amaranthlock.model.TargetId;

/**
 * {@link ReservationTransport} over the peer connections: calls and results on the traffic loop, queries on the control
 * loop.
 */
public final class ReservationQueryClient implements ReservationTransport {
    private final String hostName;
    private final EventLoop controlLoop;
    private final EventLoop trafficLoop;
    private final PeerQueries peerQueries;
    private final DecisionLog log;
    private final Map<Long, OutstandingQuery> outstandingQueries = new HashMap<>();
    private long lastQueryId;

    private record OutstandingQuery(String keeper, Consumer<Optional<TargetId>> result, Future<?> timeout) {}

    /** Creates a client of the host with the given name, whose queries are sent through {@code peerQueries}. */
    public ReservationQueryClient(
            String hostName, EventLoop controlLoop, EventLoop trafficLoop, PeerQueries peerQueries, DecisionLog log) {
        this.hostName = Objects.requireNonNull(hostName, "host name");
        this.controlLoop = Objects.requireNonNull(controlLoop, "control loop");
        this.trafficLoop = Objects.requireNonNull(trafficLoop, "traffic loop");
        this.peerQueries = Objects.requireNonNull(peerQueries, "peer queries");
        this.log = Objects.requireNonNull(log, "log");
    }

    @Override
    public void ask(String keeper, ReservationRequest request, long waitMillis, Consumer<Optional<TargetId>> result) {
        controlLoop.execute(() -> {
            long id = ++lastQueryId;
            Future<?> timeout = controlLoop.schedule(() -> fail(id, "no-answer"), waitMillis, TimeUnit.MILLISECONDS);
            outstandingQueries.put(id, new OutstandingQuery(keeper, result, timeout));
            if (!peerQueries.sendQuery(keeper, new EntryPeerMessage.ReservationQuery(id, hostName, request))) {
                fail(id, "not-connected");
            }
        });
    }

    /** Completes the query that a keeper has answered; called on the control loop. */
    public void onReserved(EntryPeerMessage.EngineReserved reserved) {
        complete(reserved.id(), Optional.of(reserved.target()));
    }

    /** Completes the queries to a host whose connection was closed; called on the control loop. */
    public void onConnectionClosed(String host) {
        List<Long> ids = outstandingQueries.entrySet().stream()
                .filter(query -> query.getValue().keeper().equals(host))
                .map(Map.Entry::getKey)
                .toList();
        ids.forEach(id -> fail(id, "link-closed"));
    }

    private void fail(long id, String cause) {
        OutstandingQuery query = outstandingQueries.get(id);
        if (query != null) {
            log.write("reservation-query-failed", "peer", query.keeper(), "cause", cause);
            complete(id, Optional.empty());
        }
    }

    private void complete(long id, Optional<TargetId> reserved) {
        OutstandingQuery query = outstandingQueries.remove(id);
        if (query != null) { // else it was answered after its timeout
            query.timeout().cancel(false);
            trafficLoop.execute(() -> query.result().accept(reserved));
        }
    }
}
