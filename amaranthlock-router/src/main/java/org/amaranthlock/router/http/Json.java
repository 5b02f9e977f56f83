package org.amaranthlock.router.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import org.amaranthlock.model.AmaranthlockException;
import org.amaranthlock.model.ErrorCode;

/** Reads and writes JSON bodies. */
final class Json {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}

    static ObjectNode createObject() {
        return MAPPER.createObjectNode();
    }

    static byte[] writeBytes(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new AmaranthlockException(ErrorCode.INTERNAL, "Can't write JSON; report this as a bug.", e);
        }
    }

    /**
     * Parses a JSON object.
     *
     * @throws AmaranthlockException with {@code INVALID_REQUEST} if the body is anything else
     */
    static JsonNode readObject(byte[] body) {
        JsonNode node;
        try {
            node = MAPPER.readTree(body);
        } catch (IOException e) {
            throw new AmaranthlockException(
                    ErrorCode.INVALID_REQUEST, "The body is not valid JSON; send one JSON object.", e);
        }
        if (node == null || !node.isObject()) {
            throw new AmaranthlockException(
                    ErrorCode.INVALID_REQUEST, "The body is not a JSON object; send one JSON object.");
        }
        return node;
    }
}
