package org.amaranthlock.standin.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Command line of the simulated operator, who changes the configuration in the store and calls no host directly. */
@Command(
        name = "fleet-operator",
        mixinStandardHelpOptions = true,
        description = "Writes the operator's configuration to the store.")
public final class FleetOperatorMain {
    private static final String STANDARD_KEY = "key-1";

    @Option(names = "--store", required = true, description = "IP:PORT of the store.")
    private String store;

    /** Runs one command. */
    public static void main(String[] args) {
        System.exit(new CommandLine(new FleetOperatorMain()).execute(args));
    }

    @Command(description = "Writes the configuration of the demo and of the soak test.")
    int standard() throws IOException, InterruptedException {
        return write(OperatorConfiguration.standard(1, STANDARD_KEY));
    }

    @Command(description = "Writes a configuration from a JSON file.")
    int put(@Parameters(paramLabel = "FILE") Path file) throws IOException, InterruptedException {
        return write(new ObjectMapper().readTree(Files.readString(file)));
    }

    @Command(description = "Writes a new version in which no client account has the key.")
    int revoke(@Parameters(paramLabel = "KEY") String key) throws IOException, InterruptedException {
        ObjectNode next = configuration().nextVersion();
        for (JsonNode tenant : next.path("tenants")) {
            ArrayNode remainingKeys = ((ObjectNode) tenant).arrayNode();
            tenant.path("api_keys").forEach(candidateKey -> {
                if (!candidateKey.asText().equals(key)) {
                    remainingKeys.add(candidateKey);
                }
            });
            ((ObjectNode) tenant).set("api_keys", remainingKeys);
        }
        return write(next);
    }

    @Command(description = "Writes a new version with the given timeout for a route.")
    int timeout(@Parameters(paramLabel = "ROUTE") String route, @Parameters(paramLabel = "MILLISECONDS") long millis)
            throws IOException, InterruptedException {
        ObjectNode next = configuration().nextVersion();
        for (JsonNode candidate : next.path("routes")) {
            if (candidate.path("name").asText().equals(route)) {
                ((ObjectNode) candidate).put("timeout_ms", millis);
            }
        }
        return write(next);
    }

    private OperatorConfiguration configuration() {
        return new OperatorConfiguration(new StoreClient(store));
    }

    private int write(JsonNode configuration) throws IOException, InterruptedException {
        configuration().write(configuration);
        System.out.println(
                "acknowledged version " + configuration.path("version").asInt());
        return 0;
    }
}
