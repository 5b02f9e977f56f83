package org.amaranthlock.standin.demo;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import org.amaranthlock.standin.Json;
import org.amaranthlock.standin.StreamingHttpClient;
import org.amaranthlock.standin.demo.RequestResult.Outcome;

/** Client that sends an order to be executed at most once, and retries it with the same idempotency key. */
final class OrderClient extends AbstractDemoClient {
    private static final int CREATED = 201;

    private int mismatchedResponses;

    OrderClient(ClientPool routers, String accountKey, String label, int firstRouter) {
        super(routers, accountKey, label, firstRouter);
    }

    @Override
    Optional<ProblemDetails> attempt(StreamingHttpClient client, Map<String, String> headers) throws IOException {
        byte[] body = Json.toJson(Map.of("order", label(), "item", "dome-120", "quantity", 1))
                .getBytes(StandardCharsets.UTF_8);
        StreamingHttpClient.Response response = client.send("POST", "/services/orders/orders", headers, body);
        addRequestId(response.headers().value("Amaranthlock-Request-Id"));
        if (response.status() != CREATED) {
            return Optional.of(ProblemDetails.of(response));
        }
        String acceptedOrder = Json.parseOrMissing(response.text())
                .path("accepted")
                .path("order")
                .asText();
        if (!acceptedOrder.equals(label())) {
            mismatchedResponses++;
        }
        return Optional.empty();
    }

    @Override
    boolean responseStarted() {
        return false;
    }

    @Override
    Outcome outcomeAfterConnectionLoss() {
        return Outcome.UNKNOWN;
    }

    @Override
    RequestResult result(Outcome outcome, String detail) {
        return new RequestResult(label(), true, outcome, requestIds(), reconnects(), 0, 0, mismatchedResponses, detail);
    }
}
