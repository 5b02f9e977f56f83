package org.amaranthlock.standin.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Objects;

/** The operator's configuration in the store, as one of its writers sees it. */
public final class OperatorConfiguration {
    private static final String KIND = "config";
    private static final String NAME = "main";

    private final StoreClient store;

    /** Creates a view of the configuration that {@code store} holds. */
    public OperatorConfiguration(StoreClient store) {
        this.store = Objects.requireNonNull(store, "store");
    }

    /**
     * Returns a configuration with a route each for lookups, orders and streams, and one client account.
     *
     * @param key the account's key
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
            throw new UncheckedIOException("the standard configuration is not JSON", e);
        }
    }

    /** Returns a copy of the newest configuration with the next version. */
    public ObjectNode nextVersion() throws IOException, InterruptedException {
        JsonNode known = store.find(KIND, NAME)
                .orElseThrow(() -> new IllegalStateException("There is no configuration; write one with 'put' first."));
        return ((ObjectNode) known.deepCopy())
                .put("version", known.path("version").asInt() + 1);
    }

    /** Writes a configuration; the store has acknowledged it when this returns. */
    public void write(JsonNode configuration) throws IOException, InterruptedException {
        store.put(KIND, NAME, configuration);
    }
}
