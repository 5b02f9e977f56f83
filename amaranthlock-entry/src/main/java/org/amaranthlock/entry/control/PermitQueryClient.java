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
import org.amaranthlock.coordination.targetlimit.PermitDecision;
import org.amaranthlock.coordination.targetlimit.PermitRequest;
import org.amaranthlock.coordination.targetlimit.PermitTransport;
import org.amaranthlock.entry.log.DecisionLog;
import org.amaranthlock.entry.metrics.EntryMetrics;
import org.amaranthlock.entry.peer.EntryPeerMessage;

/** {@link PermitTransport} over the peer connections: calls and results on the traffic loop, queries on the control loop. */
public final class PermitQueryClient implements PermitTransport {
    /** Timeout of a query: a round trip between regions, and the work of two busy hosts. */
    private static final long TIMEOUT_MILLIS = 150;

    private final EventLoop controlLoop;
    private final EventLoop trafficLoop;
    private final PeerQueries peerQueries;
    private final DecisionLog log;
    private final EntryMetrics metrics;
    private final Map<Long, OutstandingQuery> outstandingQueries = new HashMap<>();
    private long lastQueryId;

    private record OutstandingQuery(String host, Consumer<Optional<PermitDecision>> result, Future<?> timeout) {}

    /** Creates a client whose queries are sent through {@code peerQueries}. */
    public PermitQueryClient(
            EventLoop controlLoop,
            EventLoop trafficLoop,
            PeerQueries peerQueries,
            DecisionLog log,
            EntryMetrics metrics) {
        this.controlLoop = Objects.requireNonNull(controlLoop, "control loop");
        this.trafficLoop = Objects.requireNonNull(trafficLoop, "traffic loop");
        this.peerQueries = Objects.requireNonNull(peerQueries, "peer queries");
        this.log = Objects.requireNonNull(log, "log");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
    }

    @Override
    public void ask(String host, PermitRequest request, Consumer<Optional<PermitDecision>> result) {
        controlLoop.execute(() -> sendQuery(host, request, result));
    }

    /** Completes the query that a host has decided; called on the control loop. */
    public void onDecided(EntryPeerMessage.PermitDecided decided) {
        complete(decided.id(), Optional.of(decided.decision()), "decided");
    }

    /** Completes the queries to a host whose connection was closed; called on the control loop. */
    public void onConnectionClosed(String host) {
        List<Long> ids = outstandingQueries.entrySet().stream()
                .filter(query -> query.getValue().host().equals(host))
                .map(Map.Entry::getKey)
                .toList();
        ids.forEach(id -> fail(id, "link-closed"));
    }

    private void sendQuery(String host, PermitRequest request, Consumer<Optional<PermitDecision>> result) {
        long id = ++lastQueryId;
        Future<?> timeout = controlLoop.schedule(() -> fail(id, "no-answer"), TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        outstandingQueries.put(id, new OutstandingQuery(host, result, timeout));
        if (!peerQueries.sendQuery(host, new EntryPeerMessage.PermitQuery(id, request))) {
            fail(id, "not-connected");
        }
    }

    private void fail(long id, String cause) {
        OutstandingQuery query = outstandingQueries.get(id);
        if (query != null) {
            log.write("permit-query-failed", "peer", query.host(), "cause", cause);
            complete(id, Optional.empty(), cause);
        }
    }

    private void complete(long id, Optional<PermitDecision> decision, String outcome) {
        OutstandingQuery query = outstandingQueries.remove(id);
        if (query == null) {
            return; // decided after its timeout
        }
        query.timeout().cancel(false);
        metrics.recordPermitQuery(outcome);
        trafficLoop.execute(() -> query.result().accept(decision));
    }
}
