package org.amaranthlock.standin.objectapi;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.amaranthlock.standin.StreamingHttpClient;
import org.amaranthlock.standin.TestHttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ObjectApiStandinTest {
    private final AtomicLong clock = new AtomicLong();
    private final ObjectApiStandin platform =
            new ObjectApiStandin(new ObjectApiOptions("127.0.0.1", 0, 10, 50, 2_000), clock::get);
    private TestHttpClient client;

    @BeforeEach
    void start() {
        platform.start();
        client = new TestHttpClient(platform);
    }

    @AfterEach
    void stop() {
        client.close();
        platform.stop();
    }

    // Guards against conditional writes of the same object that both succeed.
    @Test
    void conditionalWriteRequiresExpectedVersion() throws IOException {
        assertThat(client.send("PUT", "/objects/a/1", "x", "If-None-Match", "*")
                        .headers()
                        .value("ETag"))
                .isEqualTo("\"1\"");
        assertThat(client.send("PUT", "/objects/a/1", "y", "If-None-Match", "*").status())
                .isEqualTo(412);
        assertThat(client.send("PUT", "/objects/a/1", "y", "If-Match", "\"2\"").status())
                .isEqualTo(412);
        assertThat(client.send("PUT", "/objects/a/1", "y", "If-Match", "\"1\"").status())
                .isEqualTo(200);
        assertThat(client.send("GET", "/objects/a/1", "").text()).isEqualTo("y");
    }

    // Guards against an object that was deleted and recreated but looks unchanged to a conditional update.
    @Test
    void versionsContinueAfterDelete() throws IOException {
        client.send("PUT", "/objects/a", "x");
        assertThat(client.send("DELETE", "/objects/a", "", "If-Match", "\"1\"").status())
                .isEqualTo(200);
        client.send("PUT", "/objects/a", "z", "If-None-Match", "*");
        assertThat(client.send("GET", "/objects/a", "").headers().value("ETag")).isEqualTo("\"3\"");
    }

    // Guards against a watch that misses a delete or returns changes of keys without its prefix.
    @Test
    void waitingWatchReturnsChangesAndTombstonesOfItsPrefix() throws Exception {
        client.send("PUT", "/objects/config/x", "1");
        CompletableFuture<JsonNode> watch = CompletableFuture.supplyAsync(() -> watch("config/", 1));
        client.send("PUT", "/objects/other/x", "1");
        assertThat(watch.isDone()).isFalse();
        client.send("DELETE", "/objects/config/x", "");
        JsonNode response = TestHttpClient.await(watch);
        assertThat(response.path("deleted").path(0).path("key").asText()).isEqualTo("config/x");
        assertThat(response.path("revision").asLong()).isEqualTo(3);
        assertThat(response.path("changed")).isEmpty();
    }

    // Guards against a write that is not applied because its response is lost.
    @Test
    void writeWithLostResponseTakesEffect() throws IOException {
        client.send("POST", "/faults", "{\"loseNextWriteAnswers\":1}");
        assertThrows(IOException.class, () -> client.send("PUT", "/objects/a", "x", "If-None-Match", "*"));
        assertThat(client.send("GET", "/objects/a", "").text()).isEqualTo("x");
        assertThat(client.send("PUT", "/objects/b", "x").status()).isEqualTo(200);
    }

    // Guards against a platform stand-in that accepts higher rates or larger objects than the real platform.
    @Test
    void ratesAndSizesAreLimited() throws IOException {
        assertThat(client.send("PUT", "/objects/a", "x".repeat(1 << 20)).status())
                .isEqualTo(200);
        assertThat(client.send("PUT", "/objects/a", "x".repeat((1 << 20) + 1)).status())
                .isEqualTo(413);
        int status = 200;
        for (int i = 0; i < 10 && status == 200; i++) {
            status = client.send("PUT", "/objects/b", "x").status();
        }
        assertThat(status).isEqualTo(429);
        clock.addAndGet(1_000);
        assertThat(client.send("PUT", "/objects/b", "x").status()).isEqualTo(200);
    }

    // Guards against a host list that shows a change immediately, which would hide errors in code that reads the list.
    @Test
    void hostListIsDelayed() throws IOException {
        client.send("PUT", "/hosts/e1", "{\"role\":\"target\",\"address\":\"127.0.0.1:1\",\"leaving\":true}");
        assertThat(client.sendForJson("GET", "/hosts", "")).isEmpty();
        clock.addAndGet(2_000);
        JsonNode row = client.sendForJson("GET", "/hosts", "").path(0);
        assertThat(row.path("name").asText()).isEqualTo("e1");
        assertThat(row.path("leaving").asBoolean()).isTrue();
    }

    // Guards against an outage during which calls succeed or which never ends.
    @Test
    void outageRejectsCallsUntilItEnds() throws IOException {
        client.send("POST", "/faults", "{\"outage\":true}");
        StreamingHttpClient.Response rejected = client.send("PUT", "/objects/a", "x");
        assertThat(rejected.status()).isEqualTo(503);
        assertThat(rejected.text()).contains("platform-unavailable");
        client.send("POST", "/faults", "{\"outage\":false}");
        assertThat(client.send("GET", "/objects/a", "").status()).isEqualTo(404);
        assertThat(client.sendForJson("GET", "/stats", "").path("writes").asInt())
                .isEqualTo(1);
    }

    // Guards against a list that omits versions or returns objects without the prefix.
    @Test
    void listContainsObjectsOfPrefixInKeyOrder() throws IOException {
        client.send("PUT", "/objects/l/2", "b");
        client.send("PUT", "/objects/l/1", "a");
        client.send("PUT", "/objects/m/1", "c");
        StreamingHttpClient.Response response = client.send("GET", "/objects?prefix=l/", "");
        assertThat(response.headers().value("Platform-Revision")).isEqualTo("3");
        assertThat(response.text())
                .isEqualTo("[{\"key\":\"l/1\",\"version\":1,\"revision\":2,\"value\":\"YQ==\"},"
                        + "{\"key\":\"l/2\",\"version\":1,\"revision\":1,\"value\":\"Yg==\"}]");
    }

    private JsonNode watch(String prefix, long after) {
        try {
            return client.sendForJson("GET", "/watch?prefix=" + prefix + "&after=" + after + "&timeoutMs=5000", "");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
