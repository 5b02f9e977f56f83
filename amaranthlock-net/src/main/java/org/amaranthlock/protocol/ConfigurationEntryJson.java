package org.amaranthlock.protocol;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.amaranthlock.protocol.objectapi.ObjectApiValue.ConfigurationEntry;
import org.amaranthlock.protocol.objectapi.ObjectApiValue.ConfigurationVersion;

/** Converts configuration entries to and from JSON, which operators can read in the platform's object store. */
final class ConfigurationEntryJson {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private ConfigurationEntryJson() {}

    static byte[] write(ConfigurationEntry entry) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("kind", entry.kind());
        node.put("name", entry.name());
        node.set("version", writeVersion(entry.version()));
        ArrayNode history = node.putArray("history");
        entry.history().forEach(version -> history.add(writeVersion(version)));
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(
                    "failed to encode configuration entry " + entry.objectKey() + " as JSON", e);
        }
    }

    static ConfigurationEntry read(byte[] bytes) throws IOException {
        JsonNode node = MAPPER.readTree(bytes);
        List<ConfigurationVersion> history = new ArrayList<>();
        for (JsonNode version : node.path("history")) {
            history.add(readVersion(version));
        }
        return new ConfigurationEntry(
                textField(node, "kind"), textField(node, "name"), readVersion(node.path("version")), history);
    }

    private static ObjectNode writeVersion(ConfigurationVersion version) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("revision", version.revision());
        version.text().ifPresent(text -> node.put("text", text));
        node.put("author", version.author());
        node.put("changeId", version.changeId());
        node.put("atMillis", version.atMillis());
        return node;
    }

    private static ConfigurationVersion readVersion(JsonNode node) {
        Optional<String> text = node.has("text") ? Optional.of(textField(node, "text")) : Optional.empty();
        return new ConfigurationVersion(
                longField(node, "revision"),
                text,
                textField(node, "author"),
                textField(node, "changeId"),
                longField(node, "atMillis"));
    }

    private static String textField(JsonNode node, String field) {
        JsonNode value = node.path(field);
        if (!value.isTextual()) {
            throw new MalformedDataException("configuration entry: field " + field + " must be a string");
        }
        return value.textValue();
    }

    private static long longField(JsonNode node, String field) {
        JsonNode value = node.path(field);
        if (!value.canConvertToLong() || !value.isIntegralNumber()) {
            throw new MalformedDataException(
                    "configuration entry: field " + field + " must be an integer of at most 64 bits");
        }
        return value.longValue();
    }
}
