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
    private TestHttpClient caller;

    @BeforeEach
    void start() {
        platform.start();
        caller = new TestHttpClient(platform);
    }

    @AfterEach
    void stop() {
        caller.close();
        platform.stop();
    }

    // Guards against two writers that both believe that they won the same position.
    @Test
    void aConditionalWriteTakesEffectOnlyOnTheExpectedVersion() throws IOException {
        assertThat(caller.send("PUT", "/objects/a/1", "x", "If-None-Match", "*")
                        .headers()
                        .value("ETag"))
                .isEqualTo("\"1\"");
        assertThat(caller.send("PUT", "/objects/a/1", "y", "If-None-Match", "*").status())
                .isEqualTo(412);
        assertThat(caller.send("PUT", "/objects/a/1", "y", "If-Match", "\"2\"").status())
                .isEqualTo(412);
        assertThat(caller.send("PUT", "/objects/a/1", "y", "If-Match", "\"1\"").status())
                .isEqualTo(200);
        assertThat(caller.send("GET", "/objects/a/1", "").text()).isEqualTo("y");
    }

    // Guards against a deleted and created object that looks unchanged to a conditional update.
    @Test
    void versionsGoOnBehindADelete() throws IOException {
        caller.send("PUT", "/objects/a", "x");
        assertThat(caller.send("DELETE", "/objects/a", "", "If-Match", "\"1\"").status())
                .isEqualTo(200);
        caller.send("PUT", "/objects/a", "z", "If-None-Match", "*");
        assertThat(caller.send("GET", "/objects/a", "").headers().value("ETag")).isEqualTo("\"3\"");
    }

    // Guards against a watch that misses a delete or returns changes outside its prefix.
    @Test
    void aWaitingWatchReturnsChangesAndTombstonesBelowItsPrefix() throws Exception {
        caller.send("PUT", "/objects/config/x", "1");
        CompletableFuture<JsonNode> watch = CompletableFuture.supplyAsync(() -> watch("config/", 1));
        caller.send("PUT", "/objects/other/x", "1");
        assertThat(watch.isDone()).isFalse();
        caller.send("DELETE", "/objects/config/x", "");
        JsonNode answer = TestHttpClient.await(watch);
        assertThat(answer.path("deleted").path(0).path("key").asText()).isEqualTo("config/x");
        assertThat(answer.path("revision").asLong()).isEqualTo(3);
        assertThat(answer.path("changed")).isEmpty();
    }

    // Guards against a test that takes a lost answer for a write without effect.
    @Test
    void aWriteWithALostAnswerTakesEffect() throws IOException {
        caller.send("POST", "/faults", "{\"loseNextWriteAnswers\":1}");
        assertThrows(IOException.class, () -> caller.send("PUT", "/objects/a", "x", "If-None-Match", "*"));
        assertThat(caller.send("GET", "/objects/a", "").text()).isEqualTo("x");
        assertThat(caller.send("PUT", "/objects/b", "x").status()).isEqualTo(200);
    }

    // Guards against a platform stand-in that is faster or larger than the real one.
    @Test
    void ratesAndSizesAreLimited() throws IOException {
        assertThat(caller.send("PUT", "/objects/a", "x".repeat(1 << 20)).status())
                .isEqualTo(200);
        assertThat(caller.send("PUT", "/objects/a", "x".repeat((1 << 20) + 1)).status())
                .isEqualTo(413);
        int status = 200;
        for (int i = 0; i < 10 && status == 200; i++) {
            status = caller.send("PUT", "/objects/b", "x").status();
        }
        assertThat(status).isEqualTo(429);
        clock.addAndGet(1_000);
        assertThat(caller.send("PUT", "/objects/b", "x").status()).isEqualTo(200);
    }

    // Guards against a host list that shows a change at once, which hides errors of its users.
    @Test
    void theHostListLags() throws IOException {
        caller.send("PUT", "/hosts/e1", "{\"role\":\"target\",\"address\":\"127.0.0.1:1\",\"leaving\":true}");
        assertThat(caller.sendForJson("GET", "/hosts", "")).isEmpty();
        clock.addAndGet(2_000);
        JsonNode row = caller.sendForJson("GET", "/hosts", "").path(0);
        assertThat(row.path("name").asText()).isEqualTo("e1");
        assertThat(row.path("leaving").asBoolean()).isTrue();
    }

    // Guards against an outage that lets calls through or never ends.
    @Test
    void anOutageRefusesCallsUntilItEnds() throws IOException {
        caller.send("POST", "/faults", "{\"outage\":true}");
        StreamingHttpClient.Response refused = caller.send("PUT", "/objects/a", "x");
        assertThat(refused.status()).isEqualTo(503);
        assertThat(refused.text()).contains("platform-unavailable");
        caller.send("POST", "/faults", "{\"outage\":false}");
        assertThat(caller.send("GET", "/objects/a", "").status()).isEqualTo(404);
        assertThat(caller.sendForJson("GET", "/stats", "").path("writes").asInt())
                .isEqualTo(1);
    }

    // Guards against a list that leaves out versions or returns objects of another prefix.
    @Test
    void aListHoldsTheObjectsBelowThePrefixInKeyOrder() throws IOException {
        caller.send("PUT", "/objects/l/2", "b");
        caller.send("PUT", "/objects/l/1", "a");
        caller.send("PUT", "/objects/m/1", "c");
        StreamingHttpClient.Response answer = caller.send("GET", "/objects?prefix=l/", "");
        assertThat(answer.headers().value("Platform-Revision")).isEqualTo("3");
        assertThat(answer.text())
                .isEqualTo("[{\"key\":\"l/1\",\"version\":1,\"revision\":2,\"value\":\"YQ==\"},"
                        + "{\"key\":\"l/2\",\"version\":1,\"revision\":1,\"value\":\"Yg==\"}]");
    }

    private JsonNode watch(String prefix, long after) {
        try {
            return caller.sendForJson("GET", "/watch?prefix=" + prefix + "&after=" + after + "&timeoutMs=5000", "");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
