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

/** Builds the answers that clients get. */
final class ClientResponses {
    private ClientResponses() {}

    /** Returns a target's whole answer. */
    static FullHttpResponse fullResponse(TargetResponse answer, boolean headOnly) {
        HttpResponseStatus status = HttpResponseStatus.valueOf(answer.status());
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, status, headOnly ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(answer.body()));
        copyHeaders(answer, response.headers());
        if (answer.status() != 204 && answer.status() != 304) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.body().length);
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

    /** Returns an answer of this system's own. */
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
        rejection.retryAfterMillis().ifPresent(millis -> headers.set(HttpHeaderNames.RETRY_AFTER, seconds(millis)));
        return response;
    }

    private static String seconds(long millis) {
        return String.format(Locale.ROOT, "%.3f", millis / 1_000.0);
    }

    private static void copyHeaders(TargetResponse answer, HttpHeaders headers) {
        for (Map.Entry<String, String> header : answer.headers()) {
            headers.add(header.getKey(), header.getValue());
        }
    }
}
