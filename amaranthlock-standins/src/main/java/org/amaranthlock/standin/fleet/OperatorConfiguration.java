package org.amaranthlock.standin.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Objects;

/** Reads and writes the operator's configuration in the store. */
public final class OperatorConfiguration {
    private static final String KIND = "config";
    private static final String NAME = "main";

    private final StoreClient store;

    /** Creates access to the configuration in the given store. */
    public OperatorConfiguration(StoreClient store) {
        this.store = Objects.requireNonNull(store, "store");
    }

    /**
     * Returns a configuration with one route each for lookups, orders and streams, and with one client account.
     *
     * @param version version of the configuration
     * @param key API key of the account
     */
    public static JsonNode standard(int version, String key) {
        String text = """
                {"version":%d,"routes":[
                {"name":"look","host":"h","path_prefix":"/look/","kind":"idempotent","timeout_ms":4000,"goal_ms":200,
                "priority":2,"service":"desks","max_attempts":3,"public":false},
                {"name":"order","host":"h","path_prefix":"/order/","kind":"non_idempotent","timeout_ms":1500,
                "goal_ms":200,"priority":2,"service":"desks","max_attempts":1,"public":false},
                {"name":"draft","host":"h","path_prefix":"/draft/","kind":"streaming","timeout_ms":20000,"goal_ms":4500,
                "priority":1,"service":"engines","max_attempts":5,"public":false,"resumable":true}],
                "services":[{"name":"desks","max_conns":100},
                {"name":"engines","max_conns":100,"engine":{"slots":64,"kv_capacity":1000000,"backups":true}}],
                "limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":3000,
                "idle_timeout_ms":15000},"tenants":[{"name":"shop-1","api_keys":["%s"]}]}""".formatted(version, key);
        try {
            return new ObjectMapper().readTree(text);
        } catch (IOException e) {
            throw new UncheckedIOException("The standard configuration is not valid JSON.", e);
        }
    }

    /** Returns a copy of the stored configuration with the version incremented. */
    public ObjectNode nextVersion() throws IOException, InterruptedException {
        JsonNode current = store.find(KIND, NAME)
                .orElseThrow(() ->
                        new IllegalStateException("The store contains no configuration; write one first with 'put'."));
        return ((ObjectNode) current.deepCopy())
                .put("version", current.path("version").asInt() + 1);
    }

    /** Writes a configuration; returns once the store has acknowledged it. */
    public void write(JsonNode configuration) throws IOException, InterruptedException {
        store.put(KIND, NAME, configuration);
    }
}
