package org.amaranthlock.entry.explain;

import io.netty.channel.EventLoop;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.amaranthlock.entry.front.StatusServer.StatusRequest;
import org.amaranthlock.entry.front.StatusServer.StatusResponse;

/**
 * Answers calls for explanations, one at a time. It is called on the control thread, and has the traffic thread explain,
 * which owns the state; if that thread does not get to it in time, the call fails.
 */
public final class ExplainEndpoint {
    /** Path of the calls. */
    public static final String PATH = "/explain";

    /** Time for which a call waits for the traffic thread, in milliseconds. */
    private static final long TIMEOUT_MILLIS = 2_000;

    private final EventLoop controlLoop;
    private final EventLoop trafficLoop;
    private final Function<ExplainQuery, Explanation> explainer;

    /** Call that the traffic thread works on; null if none. */
    private Consumer<StatusResponse> pending;

    private Future<?> timeout;

    /**
     * Creates an endpoint.
     *
     * @param explainer explains requests on the traffic thread; throws {@link ExplainException}
     */
    public ExplainEndpoint(
            EventLoop controlLoop, EventLoop trafficLoop, Function<ExplainQuery, Explanation> explainer) {
        this.controlLoop = Objects.requireNonNull(controlLoop, "control loop");
        this.trafficLoop = Objects.requireNonNull(trafficLoop, "traffic loop");
        this.explainer = Objects.requireNonNull(explainer, "explainer");
    }

    /** Answers a call; called on the control thread. */
    public void handle(StatusRequest request, Consumer<StatusResponse> reply) {
        try {
            if (!request.method().equals("GET")) {
                throw new ExplainException(ExplainError.NOT_GET, "Explanations change nothing. Call them with GET.");
            }
            ExplainQueryParser parser = new ExplainQueryParser(request.uri());
            boolean json = parser.json();
            ExplainQuery query = parser.query();
            if (pending != null) {
                throw new ExplainException(
                        ExplainError.HOST_BUSY, "The host is explaining another request. Repeat the call.");
            }
            begin(reply);
            trafficLoop.execute(() -> explain(query, json, reply));
        } catch (ExplainException e) {
            reply.accept(error(e));
        }
    }

    private void begin(Consumer<StatusResponse> reply) {
        pending = reply;
        timeout = controlLoop.schedule(
                () -> end(
                        reply,
                        error(
                                new ExplainException(
                                        ExplainError.HOST_BUSY,
                                        "The host did not get to it within " + TIMEOUT_MILLIS
                                                + " ms, because it has too many requests. Repeat the call, or ask another host."))),
                TIMEOUT_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** Runs on the traffic thread. */
    private void explain(ExplainQuery query, boolean json, Consumer<StatusResponse> reply) {
        StatusResponse response;
        try {
            Explanation explanation = explainer.apply(query);
            response = json
                    ? new StatusResponse(200, ExplanationJson.write(explanation), "application/json")
                    : new StatusResponse(200, ExplanationText.write(explanation).getBytes(StandardCharsets.UTF_8));
        } catch (ExplainException e) {
            response = error(e);
        } catch (RuntimeException e) {
            response = error(new ExplainException(
                    ExplainError.INTERNAL,
                    "The explanation failed: " + e + ". Requests are not affected; report it with this message."));
        }
        StatusResponse answer = response;
        controlLoop.execute(() -> end(reply, answer));
    }

    /** Answers a call unless it has been answered. */
    private void end(Consumer<StatusResponse> reply, StatusResponse response) {
        if (pending == reply) {
            pending = null;
            timeout.cancel(false);
            reply.accept(response);
        }
    }

    private static StatusResponse error(ExplainException e) {
        return new StatusResponse(
                e.error().status(),
                ExplanationJson.writeError(e.error().code(), e.getMessage()),
                "application/problem+json");
    }
}
