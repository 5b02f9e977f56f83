package org.amaranthlock.router.http;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.http.api.StreamingHttpRequest;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.amaranthlock.model.AmaranthlockException;
import org.amaranthlock.model.ErrorCode;

/** Reads requests completely, within limits on size and time. */
final class RequestReader {
    static final int MAX_BODY_BYTES = 1 << 20;
    static final int MAX_HEADER_BYTES = 16 << 10;

    /**
     * Bytes beyond the limit that are read and discarded, so that the sender of a body without a declared length can
     * read the error response; if the body is even longer, the connection is closed.
     */
    private static final int MAX_DISCARDED_BYTES = 8 << 20;

    // A colon and a space after the name, CR and LF after the value.
    private static final int HEADER_SEPARATOR_BYTES = 4;

    private RequestReader() {}

    /**
     * Reads a request.
     *
     * @return the complete request; fails with an {@link AmaranthlockException} if it is invalid or exceeds a size
     *     limit, and with a {@code TimeoutException} if the body does not arrive in time
     */
    static CompletableFuture<InboundRequest> read(StreamingHttpRequest request, Duration timeout) {
        Map<String, String> headers;
        try {
            headers = headers(request);
            checkTransferCoding(headers);
            checkDeclaredLength(headers);
        } catch (AmaranthlockException e) {
            return CompletableFuture.failedFuture(e);
        }
        // The copy prevents a timeout from cancelling the body, which would close the connection before the response.
        return request.payloadBody()
                .collect(BodyCollector::new, BodyCollector::append)
                .toCompletionStage()
                .toCompletableFuture()
                .copy()
                .orTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
                .thenApply(body -> inbound(request, headers, body));
    }

    private static InboundRequest inbound(
            StreamingHttpRequest request, Map<String, String> headers, BodyCollector body) {
        byte[] bytes = body.bytes();
        try {
            String query = request.rawQuery();
            return new InboundRequest(
                    request.method().name(), request.rawPath(), query == null ? "" : query, headers, bytes);
        } catch (IllegalArgumentException e) {
            throw new AmaranthlockException(
                    ErrorCode.INVALID_REQUEST, "The request target is not a valid path; correct the URL.", e);
        }
    }

    private static Map<String, String> headers(StreamingHttpRequest request) {
        Map<String, String> headers = new LinkedHashMap<>();
        int bytes = 0;
        for (Map.Entry<CharSequence, CharSequence> header : request.headers()) {
            String name = header.getKey().toString().toLowerCase(Locale.ROOT);
            String value = header.getValue().toString();
            bytes += name.length() + value.length() + HEADER_SEPARATOR_BYTES;
            headers.merge(name, value, (first, second) -> first + ", " + second);
        }
        if (bytes > MAX_HEADER_BYTES) {
            throw new AmaranthlockException(
                    ErrorCode.PAYLOAD_TOO_LARGE,
                    "The headers are longer than " + MAX_HEADER_BYTES + " bytes; send fewer or shorter ones.");
        }
        return headers;
    }

    /** The decoder takes a body in an unknown coding for the next request, since it does not know where the body ends. */
    private static void checkTransferCoding(Map<String, String> headers) {
        String coding = headers.get("transfer-encoding");
        boolean understood = coding == null
                || (coding.strip().equalsIgnoreCase("chunked") && !headers.containsKey("content-length"));
        if (!understood) {
            throw new AmaranthlockException(
                    ErrorCode.INVALID_REQUEST,
                    "The header Transfer-Encoding is not \"chunked\" alone; send the body in chunks or with its length.");
        }
    }

    private static void checkDeclaredLength(Map<String, String> headers) {
        String length = headers.get("content-length");
        if (length == null) {
            return;
        }
        try {
            if (Long.parseLong(length.strip()) > MAX_BODY_BYTES) {
                throw tooLarge();
            }
        } catch (NumberFormatException e) {
            throw new AmaranthlockException(
                    ErrorCode.INVALID_REQUEST, "The header Content-Length is not a number; correct it.", e);
        }
    }

    private static AmaranthlockException tooLarge() {
        return new AmaranthlockException(
                ErrorCode.PAYLOAD_TOO_LARGE,
                "The body is longer than " + MAX_BODY_BYTES + " bytes; send a shorter request.");
    }

    /** Collects a body up to the size limit, and only counts the bytes beyond it. */
    private static final class BodyCollector {
        private final ByteArrayOutputStream buffered = new ByteArrayOutputStream();
        private long received;

        BodyCollector append(Buffer buffer) {
            int length = buffer.readableBytes();
            received += length;
            if (received <= MAX_BODY_BYTES) {
                byte[] bytes = new byte[length];
                buffer.readBytes(bytes);
                buffered.writeBytes(bytes);
            } else if (received > MAX_BODY_BYTES + MAX_DISCARDED_BYTES) {
                throw tooLarge();
            }
            return this;
        }

        byte[] bytes() {
            if (received > MAX_BODY_BYTES) {
                throw tooLarge();
            }
            return buffered.toByteArray();
        }
    }
}
