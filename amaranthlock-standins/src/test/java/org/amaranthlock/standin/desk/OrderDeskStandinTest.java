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
    private TestHttpClient client;

    @AfterEach
    void stop() {
        client.close();
        desk.stop();
    }

    // Guards against a desk that deduplicates orders and so hides duplicate deliveries.
    @Test
    void repeatedOrderIsExecutedAndCountedAgain() throws IOException {
        start(false);
        assertThat(sendOrder("k1", 5).status()).isEqualTo(201);
        assertThat(sendOrder("k1", 4).status()).isEqualTo(201);
        sendOrder("k2", 4);
        JsonNode executions = client.sendForJson("GET", "/executions", "");
        assertThat(executions.path("k1").asInt()).isEqualTo(2);
        assertThat(executions.path("k2").asInt()).isEqualTo(1);
    }

    // Guards against an order that a paused dispatcher sends late and that is executed after reconciliation.
    @Test
    void reconciliationRaisesFencingTokenOfKey() throws IOException {
        start(true);
        JsonNode before = client.sendForJson("GET", "/orders/k1", "", "Amaranthlock-Fence", "7");
        assertThat(before.path("executed").asBoolean()).isFalse();
        StreamingHttpClient.Response rejected = sendOrder("k1", 6);
        assertThat(rejected.status()).isEqualTo(409);
        assertThat(rejected.text()).contains("\"code\":\"fenced\"");
        assertThat(sendOrder("k1", 7).status()).isEqualTo(201);
        assertThat(sendOrder("k2", 1).status()).isEqualTo(201);
        JsonNode after = client.sendForJson("GET", "/orders/k1", "");
        assertThat(after.path("executed").asBoolean()).isTrue();
        assertThat(after.path("body").asText()).contains("pallets");
    }

    // Guards against an order that is taken as not executed because its response was lost.
    @Test
    void orderWithLostResponseIsExecuted() throws IOException {
        start(false);
        client.send("POST", "/faults", "{\"loseNextAnswers\":1}");
        assertThrows(IOException.class, () -> sendOrder("k1", 1));
        assertThat(client.sendForJson("GET", "/executions", "").path("k1").asInt())
                .isEqualTo(1);
        assertThat(client.send("GET", "/stock/dome", "").status()).isEqualTo(200);
    }

    private void start(boolean fencing) {
        desk = new OrderDeskStandin(OrderDeskStandin.Options.defaults(fencing));
        desk.start();
        client = new TestHttpClient(desk);
    }

    private StreamingHttpClient.Response sendOrder(String key, long fence) throws IOException {
        return client.send(
                "POST",
                "/orders",
                "{\"item\":\"pallets\"}",
                "Idempotency-Key",
                key,
                "Amaranthlock-Fence",
                Long.toString(fence));
    }
}
