import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/** Configuration of the operator: an order route and a lookup route of one service, and one tenant. */
final class Config {
    /** Service of model workers. */
    static final String ENGINES = "engines";

    private Config() {}

    /** Returns a configuration with two tenants, and a route of resumable streams to a service of model workers besides. */
    static JsonNode withStreams(long version, List<String> keys, List<String> otherKeys) {
        ObjectNode root = (ObjectNode) of(version, keys, 5_000);
        ObjectNode tenant = root.withArray("tenants").addObject();
        tenant.put("name", "other").put("priority", 1);
        ArrayNode apiKeys = tenant.putArray("api_keys");
        otherKeys.forEach(apiKeys::add);
        ObjectNode route = root.withArray("routes").addObject();
        route.put("name", "r-draft").put("host", "shop.example").put("path_prefix", "/draft/").put("kind", "streaming");
        route.put("timeout_ms", 25_000).put("goal_ms", 4_500).put("gap_aim_ms", 700).put("priority", 1);
        route.put("service", ENGINES).put("max_attempts", 5).put("public", false).put("sticky", true);
        route.put("resumable", true);
        ObjectNode service = root.withArray("services").addObject();
        service.put("name", ENGINES).put("health_path", "/health").put("max_conns", 360).put("protocol", "h1");
        service.put("tls", false);
        service.putObject("engine").put("kv_capacity", 55_000).put("backups", true).put("moves", true);
        return root;
    }

    static JsonNode of(long version, List<String> keys, int timeoutMillis) {
        ObjectNode root = Store.JSON.createObjectNode();
        root.put("version", version);
        ArrayNode routes = root.putArray("routes");
        route(routes, "r-order", "/order/", "non_idempotent", timeoutMillis, 1);
        route(routes, "r-look", "/look/", "idempotent", timeoutMillis, 2);
        ObjectNode service = root.putArray("services").addObject();
        service.put("name", "orders").put("health_path", "/health").put("max_conns", 100).put("protocol", "h1");
        service.put("tls", false);
        ObjectNode limits = root.putObject("limits");
        limits.put("max_header_bytes", 16384).put("max_body_bytes", 4194304);
        limits.put("header_timeout_ms", 3000).put("idle_timeout_ms", 15000);
        ObjectNode tenant = root.putArray("tenants").addObject();
        tenant.put("name", "shop");
        ArrayNode apiKeys = tenant.putArray("api_keys");
        keys.forEach(apiKeys::add);
        tenant.put("priority", 1);
        return root;
    }

    private static void route(ArrayNode routes, String name, String prefix, String kind, int timeoutMillis, int attempts) {
        ObjectNode route = routes.addObject();
        route.put("name", name).put("host", "shop.example").put("path_prefix", prefix).put("kind", kind);
        route.put("timeout_ms", timeoutMillis).put("goal_ms", 243).put("priority", 2).put("service", "orders");
        route.put("max_attempts", attempts).put("public", false).put("sticky", false).put("resumable", false);
    }
}
