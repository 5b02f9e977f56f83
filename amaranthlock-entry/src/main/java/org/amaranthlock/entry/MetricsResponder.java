package org.amaranthlock.entry;

import io.netty.channel.EventLoop;
import java.util.Objects;
import java.util.function.Consumer;
import org.amaranthlock.entry.explain.ExplainEndpoint;
import org.amaranthlock.entry.front.StatusServer.StatusRequest;
import org.amaranthlock.entry.front.StatusServer.StatusResponder;
import org.amaranthlock.entry.front.StatusServer.StatusResponse;
import org.amaranthlock.entry.metrics.EntryMetrics;

/** Answers on the metrics address, on the control thread: metrics, and explanations for operators. */
final class MetricsResponder implements StatusResponder {
    private final EntryMetrics metrics;
    private final EventLoop controlLoop;
    private final EventLoop trafficLoop;
    private final RequestForwarder requestForwarder;

    /** Created by the first call, because hosts start faster with fewer classes. */
    private ExplainEndpoint explainEndpoint;

    MetricsResponder(
            EntryMetrics metrics, EventLoop controlLoop, EventLoop trafficLoop, RequestForwarder requestForwarder) {
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.controlLoop = Objects.requireNonNull(controlLoop, "control loop");
        this.trafficLoop = Objects.requireNonNull(trafficLoop, "traffic loop");
        this.requestForwarder = Objects.requireNonNull(requestForwarder, "request forwarder");
    }

    @Override
    public void respond(StatusRequest request, Consumer<StatusResponse> reply) {
        if (!request.path().equals(ExplainEndpoint.PATH)) {
            reply.accept(new StatusResponse(200, metrics.scrape()));
            return;
        }
        if (explainEndpoint == null) {
            explainEndpoint = new ExplainEndpoint(controlLoop, trafficLoop, requestForwarder::explain);
        }
        explainEndpoint.handle(request, reply);
    }
}
