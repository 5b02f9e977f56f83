package org.amaranthlock.router.http;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

/**
 * HTTP response to be sent to a client or an operator.
 *
 * @param status HTTP status code
 * @param headers headers with lower-case names
 * @param body the body
 */
record OutboundResponse(int status, Map<String, String> headers, Body body) {
    static final String JSON = "application/json";
    static final String TEXT = "text/plain; charset=utf-8";

    OutboundResponse {
        headers = Map.copyOf(headers);
        Objects.requireNonNull(body, "body");
    }

    /** Body of a response. */
    sealed interface Body {
        /** Body that is known completely. */
        record Buffered(byte[] bytes) implements Body {}

        /** Body that is sent while it is generated. */
        record Streaming(ByteQueue queue) implements Body {}
    }

    static OutboundResponse of(int status, String contentType, byte[] bytes) {
        return new OutboundResponse(status, Map.of("content-type", contentType), new Body.Buffered(bytes));
    }

    static OutboundResponse text(int status, String text) {
        return of(status, TEXT, (text + "\n").getBytes(StandardCharsets.UTF_8));
    }

    static OutboundResponse json(int status, Object value) {
        return of(status, JSON, Json.writeBytes(value));
    }

    OutboundResponse withHeader(String header, String value) {
        Map<String, String> extended = new LinkedHashMap<>(headers);
        extended.put(header, value);
        return new OutboundResponse(status, extended, body);
    }
}
