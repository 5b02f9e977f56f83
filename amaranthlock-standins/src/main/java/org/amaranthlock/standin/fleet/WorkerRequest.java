package org.amaranthlock.standin.fleet;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** HTTP request read from a worker's socket; its body is empty until {@link #withBody} has read it. */
record WorkerRequest(String requestLine, Map<String, String> headers, String body) {
    /** Reads the request line and headers of the next request; returns {@code null} at the end of the connection. */
    static WorkerRequest readHead(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String headerLine = readLine(in); headerLine != null && !headerLine.isEmpty(); headerLine = readLine(in)) {
            int colon = headerLine.indexOf(':');
            headers.put(
                    headerLine.substring(0, colon).toLowerCase(Locale.ROOT),
                    headerLine.substring(colon + 1).trim());
        }
        return new WorkerRequest(line, headers, "");
    }

    /** Returns this request with the body read by its content length; without a length, the body is taken as empty. */
    WorkerRequest withBody(InputStream in) throws IOException {
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        return new WorkerRequest(requestLine, headers, new String(in.readNBytes(length), StandardCharsets.ISO_8859_1));
    }

    /** Returns the request id from the headers; an empty string if there is none. */
    String id() {
        return headers.getOrDefault("x-request-id", "");
    }

    /** Reads a line without its terminator; returns {@code null} if the stream ends first. */
    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                return null;
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }
}
