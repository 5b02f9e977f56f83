package org.amaranthlock.standin.demo;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import org.amaranthlock.standin.HttpExchange;
import org.amaranthlock.standin.HttpProblemException;
import org.amaranthlock.standin.Json;
import org.amaranthlock.standin.ServerSentEventWriter;
import org.amaranthlock.standin.StandinServer;
import org.amaranthlock.standin.demo.RequestResult.Outcome;
import org.amaranthlock.standin.engine.VerifiableToken;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class DemoClientTest {
    private static final int TOKENS = 6;
    private static final long SEED = 3;

    private final List<String> lastEventIds = Collections.synchronizedList(new ArrayList<>());
    private final List<String> bodies = Collections.synchronizedList(new ArrayList<>());
    private final StandinServer failingRouter = new StandinServer("127.0.0.1", 0, this::sendTruncatedResponse);
    private final StandinServer workingRouter = new StandinServer("127.0.0.1", 0, this::sendRemainingResponse);
    private ClientPool routers;
    private boolean routersCanResume = true;

    @BeforeEach
    void start() {
        failingRouter.start();
        workingRouter.start();
        routers = new ClientPool(List.of(failingRouter.address(), workingRouter.address()));
    }

    @AfterEach
    void stop() {
        routers.close();
        failingRouter.stop();
        workingRouter.stop();
    }

    // Guards against a client that does not resume after the last event received, or that changes its request.
    @Test
    void generationResumesAtAnotherRouterWithLastEventId() {
        RequestResult result = generation(true).call();
        assertThat(result.outcome()).isEqualTo(Outcome.COMPLETE);
        assertThat(result.reconnects()).isEqualTo(1);
        assertThat(result.missingTokens() + result.duplicateTokens() + result.foreignTokens())
                .isEqualTo(0);
        assertThat(result.requestIds()).containsExactly("00a");
        assertThat(lastEventIds).containsExactly("null", "00a:2");
        assertThat(bodies.get(0)).isEqualTo(bodies.get(1));
    }

    // Guards against a demo that passes although the response of a resumable service was lost.
    @Test
    void onlyGenerationOfNonResumableServiceIsRestarted() {
        routersCanResume = false;
        assertThat(generation(true).call().outcome()).isEqualTo(Outcome.INCOMPLETE);
        lastEventIds.clear();
        RequestResult result = generation(false).call();
        assertThat(result.outcome()).isEqualTo(Outcome.COMPLETE);
        assertThat(result.missingTokens() + result.duplicateTokens() + result.foreignTokens())
                .isEqualTo(0);
        assertThat(lastEventIds)
                .containsExactly("null", "00a:2", "null", "00b:2")
                .inOrder();
    }

    // Guards against a client that gives up after one rejection or retries with another idempotency key.
    @Test
    void orderIsRetriedWithSameKeyAfterRejectionWithRetryAfter() {
        RequestResult result = new OrderClient(routers, "key", "order-1", 0).call();
        assertThat(result.outcome()).isEqualTo(Outcome.COMPLETE);
        assertThat(result.foreignTokens()).isEqualTo(0);
    }

    private GenerationClient generation(boolean resumable) {
        return new GenerationClient(routers, "key", "draft-1", 0, "drafts", resumable, TOKENS, SEED);
    }

    private void sendTruncatedResponse(HttpExchange exchange) throws IOException {
        if (exchange.path().startsWith("/services/")) {
            exchange.setResponseHeader("Retry-After", "0.05");
            throw new HttpProblemException(503, "overloaded", "The router is overloaded; retry later.");
        }
        recordRequest(exchange);
        try (ServerSentEventWriter events = exchange.startEventStream()) {
            // The stream ends without [DONE], as after the crash of a router.
            writeTokens(events, lastEventIds.size() == 1 ? "00a" : "00b", 0, 3);
        }
    }

    private void sendRemainingResponse(HttpExchange exchange) throws IOException {
        if (exchange.path().startsWith("/services/")) {
            assertThat(exchange.header("Idempotency-Key")).isEqualTo("order-1");
            exchange.sendJson(201, Map.of("accepted", Map.of("order", "order-1")));
            return;
        }
        recordRequest(exchange);
        if (!routersCanResume && lastEventIds.getLast().startsWith("00a")) {
            throw new HttpProblemException(410, "resume-unavailable", "The response is lost; send a new request.");
        }
        try (ServerSentEventWriter events = exchange.startEventStream()) {
            writeTokens(events, lastEventIds.getLast().substring(0, 3), 3, TOKENS);
            events.writeText("data: [DONE]\n\n");
        }
    }

    private void recordRequest(HttpExchange exchange) {
        lastEventIds.add(String.valueOf(exchange.header("Last-Event-ID")));
        bodies.add(new String(exchange.body(), StandardCharsets.UTF_8));
    }

    private static void writeTokens(ServerSentEventWriter events, String requestId, int from, int to)
            throws IOException {
        for (int i = from; i < to; i++) {
            String token = VerifiableToken.of(SEED, i, requestId).text();
            Object chunk = Map.of("choices", List.of(Map.of("delta", Map.of("content", token))));
            events.writeText("id: " + requestId + ":" + i + "\ndata: " + Json.toJson(chunk) + "\n\n");
        }
    }
}
