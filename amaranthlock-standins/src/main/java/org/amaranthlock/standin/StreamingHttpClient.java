package org.amaranthlock.standin;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.http.api.BlockingStreamingHttpClient;
import io.servicetalk.http.api.BlockingStreamingHttpRequest;
import io.servicetalk.http.api.BlockingStreamingHttpResponse;
import io.servicetalk.http.api.HttpRequestMethod;
import io.servicetalk.http.netty.HttpClients;
import io.servicetalk.http.netty.RetryingHttpRequesterFilter;
import io.servicetalk.http.utils.TimeoutHttpRequesterFilter;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;

/** HTTP client for a single address that never retries a request automatically. */
public final class StreamingHttpClient implements AutoCloseable {
    private final BlockingStreamingHttpClient client;

    /**
     * HTTP response with its complete body.
     *
     * @param status the HTTP status code
     * @param headers the response headers
     * @param body the response body
     */
    public record Response(int status, Headers headers, byte[] body) {
        /** Returns the body decoded as UTF-8. */
        public String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Strategy for reading the headers of a response. */
    @FunctionalInterface
    public interface Headers {
        /** Returns the value of a header, or {@code null} if it is absent. */
        String value(String name);
    }

    /**
     * Creates a client.
     *
     * @param address the IP address and port, as {@code host:port}
     * @param timeout the time limit for the response headers; the body of a streamed response may take longer
     */
    public StreamingHttpClient(String address, Duration timeout) {
        int colon = address.lastIndexOf(':');
        this.client = HttpClients.forResolvedAddress(
                        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)))
                .appendClientFilter(RetryingHttpRequesterFilter.disableAutoRetries())
                .appendClientFilter(new TimeoutHttpRequesterFilter(timeout, false))
                .buildBlockingStreaming();
    }

    /**
     * Sends a request and reads the complete response.
     *
     * @throws IOException if no complete response was received
     */
    public Response send(String method, String requestTarget, Map<String, String> headers, byte[] body)
            throws IOException {
        StreamingResponse stream = openStream(method, requestTarget, headers, body);
        try {
            return new Response(stream.status(), stream.headers(), stream.readAll());
        } finally {
            stream.close();
        }
    }

    /**
     * Sends a request and returns its response for streaming.
     *
     * @throws IOException if no response arrived within the timeout or the connection was lost
     */
    public StreamingResponse openStream(String method, String requestTarget, Map<String, String> headers, byte[] body)
            throws IOException {
        BlockingStreamingHttpRequest request =
                client.newRequest(HttpRequestMethod.of(method, HttpRequestMethod.Properties.NONE), requestTarget);
        headers.forEach(request::setHeader);
        request.setHeader("content-length", Integer.toString(body.length));
        if (body.length > 0) {
            Buffer buffer = client.executionContext().bufferAllocator().wrap(body);
            request.payloadBody(List.of(buffer));
        }
        try {
            BlockingStreamingHttpResponse response = client.request(request);
            return new StreamingResponse(response);
        } catch (Exception e) {
            throw new IOException(method + " " + requestTarget + " got no response: " + e, e);
        }
    }

    @Override
    public void close() {
        try {
            client.close();
        } catch (Exception e) {
            throw new IllegalStateException("Closing the HTTP client failed.", e);
        }
    }

    /** Appends the readable bytes of a buffer to a byte stream. */
    static void append(Buffer buffer, ByteArrayOutputStream bytes) {
        byte[] chunk = new byte[buffer.readableBytes()];
        buffer.readBytes(chunk);
        bytes.writeBytes(chunk);
    }
}
