package org.amaranthlock.entry.front;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import org.amaranthlock.coordination.forwarding.Rejection;
import org.amaranthlock.coordination.forwarding.TargetResponse;
import org.amaranthlock.platform.WireHeaders;

/** Creates the HTTP responses to clients. */
final class ClientResponses {
    private ClientResponses() {}

    /** Returns the client response for a target's completed response. */
    static FullHttpResponse fullResponse(TargetResponse targetResponse, boolean headOnly) {
        HttpResponseStatus status = HttpResponseStatus.valueOf(targetResponse.status());
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                status,
                headOnly ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(targetResponse.body()));
        copyHeaders(targetResponse, response.headers());
        if (targetResponse.status() != 204 && targetResponse.status() != 304) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, targetResponse.body().length);
        }
        return response;
    }

    /** Returns the head of an event stream. */
    static HttpResponse streamHead(TargetResponse head) {
        HttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(head.status()));
        copyHeaders(head, response.headers());
        response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        return response;
    }

    /** Returns an error response that this system generates. */
    static FullHttpResponse rejection(Rejection rejection, String requestId) {
        byte[] text = ("{\"error\":\"" + rejection.reason() + "\"}").getBytes(StandardCharsets.US_ASCII);
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(rejection.status()), Unpooled.wrappedBuffer(text));
        HttpHeaders headers = response.headers();
        headers.set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
        headers.set(HttpHeaderNames.CONTENT_LENGTH, text.length);
        if (!requestId.isEmpty()) {
            headers.set(WireHeaders.REQUEST_ID, requestId);
        }
        rejection
                .retryAfterMillis()
                .ifPresent(millis -> headers.set(HttpHeaderNames.RETRY_AFTER, formatSeconds(millis)));
        return response;
    }

    private static String formatSeconds(long millis) {
        return String.format(Locale.ROOT, "%.3f", millis / 1_000.0);
    }

    private static void copyHeaders(TargetResponse targetResponse, HttpHeaders headers) {
        for (Map.Entry<String, String> header : targetResponse.headers()) {
            headers.add(header.getKey(), header.getValue());
        }
    }
}
