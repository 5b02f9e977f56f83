package org.amaranthlock.standin;

import com.fasterxml.jackson.databind.JsonNode;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.http.api.BlockingStreamingHttpRequest;
import io.servicetalk.http.api.BlockingStreamingHttpServerResponse;
import io.servicetalk.http.api.HttpPayloadWriter;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.HttpServiceContext;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** HTTP request together with the operations that send its response. */
public final class HttpExchange {
    /** Maximum size of a request body, in bytes: 1 MiB, the limit that the routers apply to their clients. */
    public static final int MAX_BODY_BYTES = 1 << 20;

    private static final long CLOSE_TIMEOUT_SECONDS = 5;

    private final HttpServiceContext context;
    private final BlockingStreamingHttpRequest request;
    private final BlockingStreamingHttpServerResponse response;
    private boolean responseStarted;

    HttpExchange(
            HttpServiceContext context,
            BlockingStreamingHttpRequest request,
            BlockingStreamingHttpServerResponse response) {
        this.context = context;
        this.request = request;
        this.response = response;
    }

    /** Returns the name of the HTTP method. */
    public String method() {
        return request.method().name();
    }

    /** Returns the decoded request path. */
    public String path() {
        return request.path();
    }

    /** Returns the method and the path separated by a space, for comparison with the routes of a stand-in. */
    public String route() {
        return method() + " " + path();
    }

    /** Returns the part of the path that follows the given prefix. */
    public String pathAfter(String prefix) {
        return path().substring(prefix.length());
    }

    /** Returns a query parameter, or the default value if it is absent. */
    public String queryParameter(String name, String defaultValue) {
        String value = request.queryParameter(name);
        return value == null ? defaultValue : value;
    }

    /**
     * Returns a numeric query parameter, or the default value if it is absent.
     *
     * @throws HttpProblemException with status 400 if the value is not a number
     */
    public long longQueryParameter(String name, long defaultValue) {
        return parseLong(name, queryParameter(name, null), defaultValue);
    }

    /** Returns a request header, or {@code null} if it is absent. */
    public String header(String name) {
        CharSequence value = request.headers().get(name);
        return value == null ? null : value.toString();
    }

    /**
     * Returns a numeric request header, or the default value if it is absent.
     *
     * @throws HttpProblemException with status 400 if the value is not a number
     */
    public long longHeader(String name, long defaultValue) {
        return parseLong(name, header(name), defaultValue);
    }

    /**
     * Reads the request body. A body that is too large is read to its end, but its remainder is discarded.
     *
     * @throws HttpProblemException with status 413 if it is larger than {@link #MAX_BODY_BYTES}
     */
    public byte[] body() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (Buffer buffer : request.payloadBody()) {
            byte[] part = new byte[buffer.readableBytes()];
            buffer.readBytes(part);
            if (bytes.size() <= MAX_BODY_BYTES) {
                bytes.writeBytes(part);
            }
        }
        if (bytes.size() > MAX_BODY_BYTES) {
            throw new HttpProblemException(413, "payload-too-large", "Send at most " + MAX_BODY_BYTES + " bytes.");
        }
        return bytes.toByteArray();
    }

    /** Reads the request body as JSON. */
    public JsonNode jsonBody() {
        return Json.parse(body());
    }

    /** Sets a response header. */
    public HttpExchange setResponseHeader(String name, Object value) {
        response.setHeader(name, String.valueOf(value));
        return this;
    }

    /** Sends a response with a JSON body. */
    public void sendJson(int status, Object value) throws IOException {
        send(status, "application/json", Json.toJson(value).getBytes(StandardCharsets.UTF_8));
    }

    /** Sends a response with a problem document (RFC 9457). */
    public void sendProblem(HttpProblemException problem) throws IOException {
        Map<String, Object> document = new LinkedHashMap<>();
        document.put("type", "about:blank");
        document.put("title", problem.code());
        document.put("status", problem.status());
        document.put("detail", problem.getMessage());
        document.put("code", problem.code());
        send(problem.status(), "application/problem+json", Json.toJson(document).getBytes(StandardCharsets.UTF_8));
    }

    /** Sends a response with the given body. */
    public void send(int status, String contentType, byte[] body) throws IOException {
        responseStarted = true;
        response.status(HttpResponseStatus.of(status, ""));
        response.setHeader("content-type", contentType);
        response.setHeader("content-length", Integer.toString(body.length));
        try (HttpPayloadWriter<Buffer> writer = response.sendMetaData()) {
            if (body.length > 0) {
                writer.write(context.executionContext().bufferAllocator().wrap(body));
            }
        }
    }

    /** Starts a response that consists of server-sent events. */
    public ServerSentEventWriter startEventStream() {
        responseStarted = true;
        response.status(HttpResponseStatus.OK);
        response.setHeader("content-type", "text/event-stream");
        response.setHeader("cache-control", "no-cache");
        return new ServerSentEventWriter(
                response.sendMetaData(), context.executionContext().bufferAllocator());
    }

    /**
     * Closes the connection without sending a response.
     *
     * <p>Waits until the connection is closed: while it is open, the server would turn the exception that ends the
     * handler into an error response.
     */
    public void dropConnection() {
        responseStarted = true;
        try {
            context.closeAsync().toFuture().get(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            throw new IllegalStateException("Closing the connection failed.", e);
        }
        throw new ConnectionDroppedException();
    }

    boolean responseStarted() {
        return responseStarted;
    }

    private static long parseLong(String name, String text, long defaultValue) {
        if (text == null) {
            return defaultValue;
        }
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new HttpProblemException(400, "invalid-request", "'" + name + "' must be a number: " + text);
        }
    }

    /** Unwinds the handler after {@link #dropConnection()} has closed the connection. */
    static final class ConnectionDroppedException extends RuntimeException {
        ConnectionDroppedException() {
            super("the handler closed the connection without a response");
        }
    }
}
