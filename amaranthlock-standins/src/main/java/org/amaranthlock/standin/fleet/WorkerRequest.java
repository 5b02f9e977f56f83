package org.amaranthlock.standin.fleet;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Request as it stands on a worker's socket; without a body until {@link #withBody} has read it. */
record WorkerRequest(String requestLine, Map<String, String> headers, String body) {
    /** Reads the head of the next request; null at the end of the connection. */
    static WorkerRequest readHead(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String field = readLine(in); field != null && !field.isEmpty(); field = readLine(in)) {
            int colon = field.indexOf(':');
            headers.put(
                    field.substring(0, colon).toLowerCase(Locale.ROOT),
                    field.substring(colon + 1).trim());
        }
        return new WorkerRequest(line, headers, "");
    }

    /** Reads the body, which must have a length. */
    WorkerRequest withBody(InputStream in) throws IOException {
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        return new WorkerRequest(requestLine, headers, new String(in.readNBytes(length), StandardCharsets.ISO_8859_1));
    }

    String id() {
        return headers.getOrDefault("x-request-id", "");
    }

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
