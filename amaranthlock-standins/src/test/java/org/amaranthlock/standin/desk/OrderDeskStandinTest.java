package org.amaranthlock.standin.desk;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import org.amaranthlock.standin.StreamingHttpClient;
import org.amaranthlock.standin.TestHttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class OrderDeskStandinTest {
    private OrderDeskStandin desk;
    private TestHttpClient caller;

    @AfterEach
    void stop() {
        caller.close();
        desk.stop();
    }

    // Guards against a desk that hides duplicates by itself.
    @Test
    void aRepeatedOrderIsExecutedAndCountedAgain() throws IOException {
        start(false);
        assertThat(order("k1", 5).status()).isEqualTo(201);
        assertThat(order("k1", 4).status()).isEqualTo(201);
        order("k2", 4);
        JsonNode executions = caller.sendForJson("GET", "/executions", "");
        assertThat(executions.path("k1").asInt()).isEqualTo(2);
        assertThat(executions.path("k2").asInt()).isEqualTo(1);
    }

    // Guards against a paused dispatcher whose late order is executed after reconciliation.
    @Test
    void reconciliationRaisesTheFenceOfTheKey() throws IOException {
        start(true);
        JsonNode before = caller.sendForJson("GET", "/orders/k1", "", "Amaranthlock-Fence", "7");
        assertThat(before.path("executed").asBoolean()).isFalse();
        StreamingHttpClient.Response refused = order("k1", 6);
        assertThat(refused.status()).isEqualTo(409);
        assertThat(refused.text()).contains("\"code\":\"fenced\"");
        assertThat(order("k1", 7).status()).isEqualTo(201);
        assertThat(order("k2", 1).status()).isEqualTo(201);
        JsonNode after = caller.sendForJson("GET", "/orders/k1", "");
        assertThat(after.path("executed").asBoolean()).isTrue();
        assertThat(after.path("body").asText()).contains("pallets");
    }

    // Guards against a lost answer that is taken for an order without effect.
    @Test
    void anOrderWithALostAnswerIsExecuted() throws IOException {
        start(false);
        caller.send("POST", "/faults", "{\"loseNextAnswers\":1}");
        assertThrows(IOException.class, () -> order("k1", 1));
        assertThat(caller.sendForJson("GET", "/executions", "").path("k1").asInt())
                .isEqualTo(1);
        assertThat(caller.send("GET", "/stock/dome", "").status()).isEqualTo(200);
    }

    private void start(boolean fencing) {
        desk = new OrderDeskStandin(OrderDeskStandin.Options.defaults(fencing));
        desk.start();
        caller = new TestHttpClient(desk);
    }

    private StreamingHttpClient.Response order(String key, long fence) throws IOException {
        return caller.send(
                "POST",
                "/orders",
                "{\"item\":\"pallets\"}",
                "Idempotency-Key",
                key,
                "Amaranthlock-Fence",
                Long.toString(fence));
    }
}
