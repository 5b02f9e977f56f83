package org.amaranthlock.bench.capacity;

import java.nio.charset.StandardCharsets;

/** Size of one load poll of an engine: two minimal HTTP/1.1 exchanges that return no cache events. */
final class LoadPollSize {
    /** Number of bytes that the router sends. */
    static final long SENT_BYTES = byteLength("GET /v1/load HTTP/1.1\r\nhost: 10.1.24.100:8000\r\n\r\n")
            + byteLength("GET /v1/cache-events?after=123456 HTTP/1.1\r\nhost: 10.1.24.100:8000\r\n\r\n");

    /** Head of both responses; only the size counts, and both content lengths have two digits. */
    private static final String RESPONSE_HEAD =
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 55\r\n\r\n";

    /** Number of bytes that the router receives. */
    static final long RECEIVED_BYTES =
            byteLength(RESPONSE_HEAD + "{\"running\":12,\"queued\":3,\"slots\":32,\"ageMillis\":1000}")
                    + byteLength(RESPONSE_HEAD + "{\"last\":123456,\"events\":[]}");

    private LoadPollSize() {}

    private static long byteLength(String text) {
        return text.getBytes(StandardCharsets.US_ASCII).length;
    }
}
