package org.amaranthlock.transport.target;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.http.api.HttpResponse;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.amaranthlock.coordination.RequestCommand.OpenStream;
import org.amaranthlock.coordination.TargetCommand.SendOrder;
import org.amaranthlock.coordination.TargetEvent.CacheChanged;
import org.amaranthlock.coordination.TargetEvent.LoadReported;
import org.amaranthlock.model.TargetId;
import org.amaranthlock.model.Work;
import org.amaranthlock.protocol.MalformedDataException;

/** Writes and reads the JSON bodies of the target protocol. */
final class TargetJson {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private TargetJson() {}

    /** Changes of a page of cache events, with the position of its last event. */
    record CacheEventPage(CacheChanged change, long position) {}

    static byte[] writeOpenStream(OpenStream command, Work.Generation work) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("requestId", command.attempt().request().value());
        node.put("attempt", command.attempt().number());
        node.put("model", work.model());
        if (!work.adapter().isEmpty()) {
            node.put("adapter", work.adapter());
        }
        node.put("version", command.target().version());
        node.put("prompt", work.prompt());
        node.put("maxTokens", work.maxTokens());
        node.put("seed", work.seed());
        command.prefix().forEach(node.putArray("prefix")::add);
        node.put("priority", command.priority());
        return bytes(node);
    }

    static byte[] writeOrder(SendOrder command) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("order", command.order());
        node.put("kind", command.kind());
        node.put("argument", command.argument());
        node.put("fence", command.fence());
        return bytes(node);
    }

    static JsonNode parse(String text) {
        try {
            return MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            throw new MalformedDataException("not JSON; check that the target runs a compatible release", e);
        }
    }

    static JsonNode parse(byte[] bytes) {
        try {
            return MAPPER.readTree(bytes);
        } catch (IOException e) {
            throw new MalformedDataException("not JSON; check that the target runs a compatible release", e);
        }
    }

    /** Returns the code of a problem document, or an empty string if there is none. */
    static String problemCode(byte[] body) {
        try {
            return parse(body).path("code").asText("");
        } catch (MalformedDataException e) {
            return "";
        }
    }

    static LoadReported readLoad(TargetId target, byte[] body) {
        JsonNode node = parse(body);
        return new LoadReported(
                target,
                (int) longField(node, "running"),
                (int) longField(node, "queued"),
                longField(node, "ageMillis"));
    }

    static CacheEventPage readCacheEvents(TargetId target, byte[] body, long position) {
        List<Long> added = new ArrayList<>();
        List<Long> evicted = new ArrayList<>();
        long last = position;
        for (JsonNode event : parse(body).path("events")) {
            last = Math.max(last, longField(event, "seq"));
            event.path("added").forEach(hash -> added.add(hash.asLong()));
            event.path("evicted").forEach(hash -> evicted.add(hash.asLong()));
        }
        return new CacheEventPage(new CacheChanged(target, added, evicted), last);
    }

    static long longField(JsonNode node, String field) {
        JsonNode value = node.path(field);
        if (!value.isIntegralNumber() || !value.canConvertToLong()) {
            throw new MalformedDataException("field " + field + " must be an integer of at most 64 bits");
        }
        return value.longValue();
    }

    static byte[] body(HttpResponse response) {
        return bytes(response.payloadBody());
    }

    static byte[] bytes(Buffer buffer) {
        byte[] bytes = new byte[buffer.readableBytes()];
        buffer.readBytes(bytes);
        return bytes;
    }

    private static byte[] bytes(ObjectNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("failed to encode JSON", e);
        }
    }
}
