package org.amaranthlock.standin.fleet;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

/** Tests for {@link FleetStore} and for the operator commands that write to it. */
class FleetStoreTest {
    private final FleetStore store = new FleetStore("127.0.0.1", 0);

    @BeforeEach
    void start() {
        store.start();
    }

    @AfterEach
    void stop() {
        store.stop();
    }

    @Test
    void rejectsCallsOverRateLimitExceptStaleReads() throws Exception {
        store.limitRates(1, 1);
        store.put("config", "main", json("{\"version\":1}"));
        assertThat(getStatus("/api/objects/config/main")).isEqualTo(200);
        assertThat(getStatus("/api/objects/config/main")).isEqualTo(429);
        assertThat(getStatus("/api/objects/config/main?allow_stale=1")).isEqualTo(200);
    }

    @Test
    void executesWriteWhenResponseIsDropped() throws Exception {
        store.mode(StoreMode.DROPS_RESPONSES);
        StoreClient client = new StoreClient(store.address());
        assertThrows(IOException.class, () -> client.put("config", "main", json("{\"version\":1}")));
        assertThat(store.spec("config", "main")).isPresent();
    }

    @Test
    void operatorWritesNewVersionsAndRevokesKeys(@TempDir Path directory) throws Exception {
        Path file = directory.resolve("configuration.json");
        Files.writeString(file, """
                {"version":1,"routes":[{"name":"look","timeout_ms":100}],
                "tenants":[{"name":"shop","api_keys":["key-1","key-2"]}]}""");
        assertThat(runOperatorCommand("put", file.toString())).isEqualTo(0);
        assertThat(runOperatorCommand("revoke", "key-1")).isEqualTo(0);
        assertThat(runOperatorCommand("timeout", "look", "250")).isEqualTo(0);
        JsonNode written = store.spec("config", "main").orElseThrow();
        assertThat(written.path("version").asInt()).isEqualTo(3);
        assertThat(written.path("tenants").path(0).path("api_keys").toString()).isEqualTo("[\"key-2\"]");
        assertThat(written.path("routes").path(0).path("timeout_ms").asInt()).isEqualTo(250);
    }

    @Test
    void operatorCommandFailsWithoutConfiguration() {
        assertThat(runOperatorCommand("revoke", "key-1")).isNotEqualTo(0);
    }

    private int runOperatorCommand(String... command) {
        String[] arguments = new String[command.length + 2];
        arguments[0] = "--store";
        arguments[1] = store.address();
        System.arraycopy(command, 0, arguments, 2, command.length);
        return new CommandLine(new FleetOperatorMain()).execute(arguments);
    }

    private int getStatus(String path) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + store.address() + path))
                .build();
        return HttpClient.newHttpClient()
                .send(request, BodyHandlers.discarding())
                .statusCode();
    }

    private static JsonNode json(String text) throws IOException {
        return new ObjectMapper().readTree(text);
    }
}
