package org.amaranthlock.standin.demo;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import org.amaranthlock.standin.Json;
import org.amaranthlock.standin.StreamingHttpClient;
import org.amaranthlock.standin.demo.RequestResult.Outcome;

/** Caller of an order that must be executed at most once; it repeats the order under the same key. */
final class OrderClient extends AbstractDemoClient {
    private static final int CREATED = 201;

    private int mismatchedResponses;

    OrderClient(ClientPool routers, String accountKey, String label, int firstRouter) {
        super(routers, accountKey, label, firstRouter);
    }

    @Override
    Optional<ProblemDetails> attempt(StreamingHttpClient caller, Map<String, String> headers) throws IOException {
        byte[] body = Json.toJson(Map.of("order", label(), "item", "dome-120", "quantity", 1))
                .getBytes(StandardCharsets.UTF_8);
        StreamingHttpClient.Response answer = caller.send("POST", "/services/orders/orders", headers, body);
        addRequestId(answer.headers().value("Amaranthlock-Request-Id"));
        if (answer.status() != CREATED) {
            return Optional.of(ProblemDetails.of(answer));
        }
        String accepted = Json.parseOrMissing(answer.text())
                .path("accepted")
                .path("order")
                .asText();
        if (!accepted.equals(label())) {
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
    RequestResult result(Outcome ending, String detail) {
        return new RequestResult(label(), true, ending, requestIds(), reconnects(), 0, 0, mismatchedResponses, detail);
    }
}
