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

/** HTTP client of one address that never repeats a request by itself. */
public final class StreamingHttpClient implements AutoCloseable {
    private final BlockingStreamingHttpClient client;

    /**
     * Answer with its whole body.
     *
     * @param status HTTP status
     * @param headers function from header name to value, null if absent
     * @param body the body
     */
    public record Response(int status, Headers headers, byte[] body) {
        /** Returns the body as text. */
        public String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Reads headers of an answer. */
    @FunctionalInterface
    public interface Headers {
        /** Returns the value of a header, or null if it is absent. */
        String value(String name);
    }

    /**
     * Creates a client.
     *
     * @param address IP number and port
     * @param timeout time for the start of an answer; the rest of a streamed answer may take longer
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
     * Sends a request and reads the whole answer.
     *
     * @throws IOException if no complete answer arrived
     */
    public Response send(String method, String target, Map<String, String> headers, byte[] body) throws IOException {
        StreamingResponse stream = openStream(method, target, headers, body);
        try {
            return new Response(stream.status(), stream.headers(), stream.readAll());
        } finally {
            stream.close();
        }
    }

    /**
     * Sends a request and returns its answer as a stream.
     *
     * @throws IOException if no answer arrived in time or the connection was lost
     */
    public StreamingResponse openStream(String method, String target, Map<String, String> headers, byte[] body)
            throws IOException {
        BlockingStreamingHttpRequest request =
                client.newRequest(HttpRequestMethod.of(method, HttpRequestMethod.Properties.NONE), target);
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
            throw new IOException(method + " " + target + " got no answer: " + e, e);
        }
    }

    @Override
    public void close() {
        try {
            client.close();
        } catch (Exception e) {
            throw new IllegalStateException("The HTTP client could not be closed.", e);
        }
    }

    /** Collects the bytes of buffers. */
    static void append(Buffer buffer, ByteArrayOutputStream bytes) {
        byte[] part = new byte[buffer.readableBytes()];
        buffer.readBytes(part);
        bytes.writeBytes(part);
    }
}
