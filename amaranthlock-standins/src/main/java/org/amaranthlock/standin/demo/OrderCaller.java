package org.amaranthlock.standin.demo;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import org.amaranthlock.standin.Json;
import org.amaranthlock.standin.StreamingHttpClient;
import org.amaranthlock.standin.demo.RequestResult.Ending;

/** Caller of an order that must be executed at most once; it repeats the order under the same key. */
final class OrderCaller extends AbstractCaller {
    private static final int CREATED = 201;

    private int foreignAnswers;

    OrderCaller(RouterPool routers, String accountKey, String label, int firstRouter) {
        super(routers, accountKey, label, firstRouter);
    }

    @Override
    Optional<Problem> attempt(StreamingHttpClient caller, Map<String, String> headers) throws IOException {
        byte[] body = Json.toJson(Map.of("order", label(), "item", "dome-120", "quantity", 1))
                .getBytes(StandardCharsets.UTF_8);
        StreamingHttpClient.Response answer = caller.send("POST", "/services/orders/orders", headers, body);
        noteRequestId(answer.headers().value("Amaranthlock-Request-Id"));
        if (answer.status() != CREATED) {
            return Optional.of(Problem.of(answer));
        }
        String accepted = Json.parseOrMissing(answer.text())
                .path("accepted")
                .path("order")
                .asText();
        if (!accepted.equals(label())) {
            foreignAnswers++;
        }
        return Optional.empty();
    }

    @Override
    boolean started() {
        return false;
    }

    @Override
    Ending lostConnection() {
        return Ending.UNKNOWN;
    }

    @Override
    RequestResult result(Ending ending, String detail) {
        return new RequestResult(label(), true, ending, requestIds(), reconnects(), 0, 0, foreignAnswers, detail);
    }
}
