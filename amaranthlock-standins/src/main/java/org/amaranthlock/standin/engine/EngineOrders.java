package org.amaranthlock.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.amaranthlock.standin.HttpProblemException;

/** Model, version and role of an engine, changed by orders that carry a fencing number; thread-safe. */
final class EngineOrders {
    private final boolean fencing;
    private final List<Order> obeyed = new ArrayList<>();
    private String model;
    private String version;
    private String role = "generate";
    private long highestFence = Long.MIN_VALUE;

    /** An order that was obeyed. */
    record Order(String kind, String argument, long fence) {}

    EngineOrders(EngineOptions options) {
        this.fencing = options.fencing();
        this.model = options.model();
        this.version = options.version();
    }

    /** Obeys an order, or refuses it with 409 if its fencing number is lower than one obeyed before. */
    synchronized Order obey(JsonNode json) {
        Order order = new Order(
                json.path("kind").asText(),
                json.path("argument").asText(),
                json.path("fence").asLong());
        if (fencing && order.fence() < highestFence) {
            throw new HttpProblemException(
                    409, "fenced", "An order with fencing number " + highestFence + " was obeyed.");
        }
        switch (order.kind()) {
            case "load-model" -> model = order.argument();
            case "set-version" -> version = order.argument();
            case "set-role" -> role = order.argument();
            case "load-adapter" -> {}
            default -> throw new HttpProblemException(400, "invalid-request", "Unknown kind of order: " + order.kind());
        }
        highestFence = Math.max(highestFence, order.fence());
        obeyed.add(order);
        return order;
    }

    synchronized List<Order> obeyed() {
        return List.copyOf(obeyed);
    }

    /** Refuses a request for another model or version than the loaded one; empty names match any. */
    synchronized void requireLoaded(String wantedModel, String wantedVersion) {
        boolean matches = (wantedModel.isEmpty() || wantedModel.equals(model))
                && (wantedVersion.isEmpty() || wantedVersion.equals(version));
        if (!matches) {
            throw new HttpProblemException(
                    409,
                    "model-version-gone",
                    "Loaded is " + model + " version " + version + "; choose another engine.");
        }
    }
}
