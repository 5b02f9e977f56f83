package org.amaranthlock.standin.fleet;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicLong;

/** Bytes that a faulty worker sends until the caller closes the connection, or a limit is reached. */
final class EndlessResponse {
    /** Limit that a caller which reads on would reach, in bytes. */
    static final long MAX_BYTES = 256L << 20;

    private static final int REPEATED_BYTES = 8 << 10;
    private static final int EVENT_BYTES = 32 << 10;
    private static final String STREAM_TYPE = "Content-Type: text/event-stream\r\n";

    private final WorkerFault fault;
    private final String requestId;
    private final AtomicLong sentBytes;

    /** Creates a response whose bytes are counted in {@code sentBytes}. */
    EndlessResponse(WorkerFault fault, String requestId, AtomicLong sentBytes) {
        this.fault = Objects.requireNonNull(fault, "fault");
        this.requestId = Objects.requireNonNull(requestId, "request id");
        this.sentBytes = Objects.requireNonNull(sentBytes, "sent bytes");
    }

    /** Sends the response; the exception of the closed connection ends it. */
    void sendTo(OutputStream out) throws IOException {
        write(out, prefix());
        for (long number = 0; sentBytes.get() < MAX_BYTES; number++) {
            write(out, repeated(number));
        }
    }

    private String prefix() {
        String head = "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nX-Request-Id: ";
        return switch (fault) {
            case ENDLESS_HEADER -> head + requestId + "\r\nX-Long: ";
            case ENDLESS_INTERIM_RESPONSES, ENDLESS_BLANK_LINES -> "";
            case ENDLESS_HEADER_LINES -> head + requestId + "\r\n";
            case ENDLESS_SMALL_CHUNKS -> head + requestId + "\r\nTransfer-Encoding: chunked\r\n\r\n";
            case ENDLESS_BLANK_LINES_AFTER_RESPONSE -> completeResponse(head);
            case ENDLESS_BODY -> head + requestId + "\r\n\r\n";
            case ENDLESS_FOREIGN_RESPONSE -> head + "another\r\n\r\n";
            case ENDLESS_EVENT -> head + requestId + "\r\n" + STREAM_TYPE + "\r\nid: 0\ndata: ";
            case ENDLESS_LINES -> head + requestId + "\r\n" + STREAM_TYPE + "\r\nid: 0\n";
            case ENDLESS_STREAM, ENDLESS_REPEATED_EVENT -> head + requestId + "\r\n" + STREAM_TYPE + "\r\n";
            default -> throw new IllegalArgumentException(fault + " is not endless");
        };
    }

    private String repeated(long number) {
        return switch (fault) {
            case ENDLESS_INTERIM_RESPONSES -> "HTTP/1.1 102 Processing\r\n\r\n";
            case ENDLESS_BLANK_LINES, ENDLESS_BLANK_LINES_AFTER_RESPONSE -> "\r\n".repeat(REPEATED_BYTES / 2);
            case ENDLESS_HEADER_LINES -> "a: b\r\n".repeat(REPEATED_BYTES / "a: b\r\n".length());
            case ENDLESS_SMALL_CHUNKS -> "1\r\nx\r\n".repeat(REPEATED_BYTES / "1\r\nx\r\n".length());
            case ENDLESS_LINES -> "d\n".repeat(REPEATED_BYTES / 2);
            case ENDLESS_REPEATED_EVENT -> "id: 0\ndata: x\n\n".repeat(REPEATED_BYTES / "id: 0\ndata: x\n\n".length());
            case ENDLESS_STREAM -> "id: " + number + "\ndata: " + "x".repeat(EVENT_BYTES) + "\n\n";
            default -> "x".repeat(REPEATED_BYTES);
        };
    }

    private String completeResponse(String head) {
        String body = "done " + requestId;
        return head + requestId + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        sentBytes.addAndGet(text.length());
    }
}
