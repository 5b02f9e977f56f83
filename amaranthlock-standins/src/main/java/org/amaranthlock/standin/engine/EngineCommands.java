package org.amaranthlock.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.amaranthlock.standin.HttpProblemException;

/**
 * Model, version and role of an engine. Thread-safe.
 *
 * <p>They are changed by commands that carry a fencing token; loading an adapter has no effect on them.
 */
final class EngineCommands {
    private final boolean fencing;
    private final List<Command> executed = new ArrayList<>();
    private String model;
    private String version;
    private String role = "generate";
    private long highestFence = Long.MIN_VALUE;

    /** Executed command; the components are the fields of its JSON form. */
    record Command(String kind, String argument, long fence) {}

    EngineCommands(EngineOptions options) {
        this.fencing = options.fencing();
        this.model = options.model();
        this.version = options.version();
    }

    /**
     * Executes a command.
     *
     * @throws HttpProblemException with status 409 if the fencing token is lower than that of an executed command
     */
    synchronized Command execute(JsonNode json) {
        Command command = new Command(
                json.path("kind").asText(),
                json.path("argument").asText(),
                json.path("fence").asLong());
        if (fencing && command.fence() < highestFence) {
            throw new HttpProblemException(
                    409, "fenced", "A command with fencing token " + highestFence + " has already been executed.");
        }
        switch (command.kind()) {
            case "load-model" -> model = command.argument();
            case "set-version" -> version = command.argument();
            case "set-role" -> role = command.argument();
            case "load-adapter" -> {}
            default ->
                throw new HttpProblemException(400, "invalid-request", "Unknown kind of command: " + command.kind());
        }
        highestFence = Math.max(highestFence, command.fence());
        executed.add(command);
        return command;
    }

    synchronized List<Command> executed() {
        return List.copyOf(executed);
    }

    /** Rejects a request for a model or version that is not loaded. An empty name matches any. */
    synchronized void requireLoaded(String requiredModel, String requiredVersion) {
        boolean matches = (requiredModel.isEmpty() || requiredModel.equals(model))
                && (requiredVersion.isEmpty() || requiredVersion.equals(version));
        if (!matches) {
            throw new HttpProblemException(
                    409,
                    "model-version-gone",
                    "The engine has loaded " + model + " version " + version + "; choose another engine.");
        }
    }
}
