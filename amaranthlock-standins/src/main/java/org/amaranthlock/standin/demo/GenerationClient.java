package org.amaranthlock.standin.demo;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.amaranthlock.standin.Json;
import org.amaranthlock.standin.StreamingHttpClient;
import org.amaranthlock.standin.StreamingResponse;
import org.amaranthlock.standin.StreamingResponse.ServerSentEvent;
import org.amaranthlock.standin.demo.RequestResult.Outcome;

/** Client of a streamed generation, which resumes the response after the last event received. */
final class GenerationClient extends AbstractDemoClient {
    /** Time without data after which the client considers its connection lost, in milliseconds. */
    private static final long IDLE_TIMEOUT_MILLIS = 2_500;

    /** Problem code of a router that cannot resume a response started by another router. */
    private static final String RESUME_UNAVAILABLE = "resume-unavailable";

    private final TokenSequenceChecker checker;
    private final boolean resumable;
    private final byte[] body;
    private int restarts;
    private String lastEventId = "";
    private volatile int position;

    /**
     * Creates a client.
     *
     * @param routers the routers
     * @param accountKey the API key of the client account
     * @param label the name of the request
     * @param firstRouter the index of the first router
     * @param service the service, sent as the field {@code model} of the body
     * @param resumable whether the service resumes responses; if not, the client sends a new request after a failure
     * @param tokens the length of the response, in tokens
     * @param seed the sampling seed
     */
    GenerationClient(
            ClientPool routers,
            String accountKey,
            String label,
            int firstRouter,
            String service,
            boolean resumable,
            int tokens,
            long seed) {
        super(routers, accountKey, label, firstRouter);
        this.resumable = resumable;
        this.checker = new TokenSequenceChecker(seed, tokens);
        Map<String, Object> request = new LinkedHashMap<>();
        request.put("model", service);
        request.put("messages", List.of(Map.of("role", "user", "content", "Demo request " + label)));
        request.put("max_tokens", tokens);
        request.put("seed", seed);
        request.put("stream", true);
        this.body = Json.toJson(request).getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the number of tokens received so far. May be called by any thread. */
    int position() {
        return position;
    }

    @Override
    Optional<ProblemDetails> attempt(StreamingHttpClient client, Map<String, String> headers) throws IOException {
        if (!lastEventId.isEmpty()) {
            headers.put("Last-Event-ID", lastEventId);
        }
        try (StreamingResponse stream = client.openStream("POST", "/v1/chat/completions", headers, body)) {
            addRequestId(stream.headers().value("Amaranthlock-Request-Id"));
            if (stream.status() != 200) {
                return Optional.of(ProblemDetails.of(
                        new StreamingHttpClient.Response(stream.status(), stream.headers(), stream.readAll())));
            }
            return receive(stream);
        }
    }

    @Override
    boolean prepareRestart(ProblemDetails problem) {
        if (resumable || !problem.code().equals(RESUME_UNAVAILABLE)) {
            return false;
        }
        restarts++;
        checker.restart();
        lastEventId = "";
        position = 0;
        return true;
    }

    @Override
    String idempotencyKey() {
        return restarts == 0 ? label() : label() + "-again" + restarts;
    }

    @Override
    boolean responseStarted() {
        return position > 0;
    }

    @Override
    Outcome outcomeAfterConnectionLoss() {
        return Outcome.INCOMPLETE;
    }

    @Override
    RequestResult result(Outcome outcome, String detail) {
        if (outcome == Outcome.COMPLETE) {
            checker.finishResponse();
        }
        return new RequestResult(
                label(),
                false,
                outcome,
                requestIds(),
                reconnects(),
                checker.missingTokens(),
                checker.duplicateTokens(),
                checker.foreignTokens(),
                detail);
    }

    private Optional<ProblemDetails> receive(StreamingResponse stream) throws IOException {
        while (true) {
            ServerSentEvent event = stream.nextEvent(IDLE_TIMEOUT_MILLIS)
                    .orElseThrow(() -> new IOException("the event stream ended without [DONE]"));
            if (event.data().equals("[DONE]")) {
                return Optional.empty();
            }
            JsonNode data = Json.parseOrMissing(event.data());
            if (data.has("code")) {
                // A problem that occurs after the start of the stream is sent as an event.
                return Optional.of(ProblemDetails.of(data.path("status").asInt(500), data, null));
            }
            String content =
                    data.path("choices").path(0).path("delta").path("content").asText("");
            checker.accept(content);
            position = checker.position();
            if (!event.id().isEmpty()) {
                lastEventId = event.id();
                // The event id consists of the request id, a colon and the index.
                addRequestId(event.id().substring(0, Math.max(0, event.id().lastIndexOf(':'))));
            }
        }
    }
}
