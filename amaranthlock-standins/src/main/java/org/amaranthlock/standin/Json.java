package org.amaranthlock.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Converts between JSON and Java values. */
public final class Json {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}

    /** Serializes a record, map, list or node as JSON text. */
    public static String toJson(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Parses JSON. Empty input yields a missing node.
     *
     * @throws HttpProblemException with status 400 if the input is not JSON
     */
    public static JsonNode parse(byte[] bytes) {
        try {
            JsonNode node = MAPPER.readTree(bytes);
            return node == null ? MissingNode.getInstance() : node;
        } catch (IOException e) {
            throw new HttpProblemException(400, "invalid-request", "The body is not valid JSON: " + e.getMessage());
        }
    }

    /** Parses JSON, and returns a missing node if the text is empty or not valid JSON. */
    public static JsonNode parseOrMissing(String text) {
        try {
            JsonNode node = MAPPER.readTree(text);
            return node == null ? MissingNode.getInstance() : node;
        } catch (JsonProcessingException e) {
            return MissingNode.getInstance();
        }
    }
}
