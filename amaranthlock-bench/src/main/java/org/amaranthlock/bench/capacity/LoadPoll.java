package org.amaranthlock.bench.capacity;

import java.nio.charset.StandardCharsets;

/** Bytes of one load poll of an engine: two HTTP/1.1 exchanges in their shortest form, without cache events. */
final class LoadPoll {
    /** Bytes that the router sends. */
    static final long SENT = bytes("GET /v1/load HTTP/1.1\r\nhost: 10.1.24.100:8000\r\n\r\n")
            + bytes("GET /v1/cache-events?after=123456 HTTP/1.1\r\nhost: 10.1.24.100:8000\r\n\r\n");

    private static final String ANSWER_HEAD =
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 55\r\n\r\n";

    /** Bytes that the router receives. */
    static final long RECEIVED = bytes(ANSWER_HEAD + "{\"running\":12,\"queued\":3,\"slots\":32,\"ageMillis\":1000}")
            + bytes(ANSWER_HEAD + "{\"last\":123456,\"events\":[]}");

    private LoadPoll() {}

    private static long bytes(String text) {
        return text.getBytes(StandardCharsets.US_ASCII).length;
    }
}
