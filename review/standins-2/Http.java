import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes HTTP/1.1 messages on plain streams. */
final class Http {
    private Http() {}

    /** Start line and headers of a message; header names are in lower case. */
    record Head(String startLine, Map<String, String> headers) {
        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        String id() {
            return header("x-request-id");
        }

        String method() {
            return startLine.split(" ")[0];
        }

        String uri() {
            return startLine.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        boolean chunked() {
            return header("transfer-encoding").equalsIgnoreCase("chunked");
        }

        int length() {
            return headers.containsKey("content-length") ? Integer.parseInt(header("content-length")) : 0;
        }
    }

    /** Returns the next head; null if the connection ends before it. */
    static Head readHead(InputStream in) throws IOException {
        String start = readLine(in);
        while (start != null && start.isEmpty()) {
            start = readLine(in);
        }
        if (start == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).trim().toLowerCase(), line.substring(colon + 1).trim());
        }
        return new Head(start, headers);
    }

    /** Returns a line without its end; null at the end of the stream. */
    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                if (line.size() > 0) {
                    throw new EOFException("connection ended inside a line");
                }
                return null;
            }
            line.write(next);
        }
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }

    /** Returns the body that a head announces; throws if the connection ends before its end. */
    static byte[] readBody(InputStream in, Head head) throws IOException {
        if (!head.chunked()) {
            byte[] body = in.readNBytes(head.length());
            if (body.length < head.length()) {
                throw new EOFException("connection ended inside a body");
            }
            return body;
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        for (byte[] chunk = readChunk(in); chunk.length > 0; chunk = readChunk(in)) {
            body.writeBytes(chunk);
        }
        return body.toByteArray();
    }

    /** Returns the next chunk; an empty one at the end of the body. */
    static byte[] readChunk(InputStream in) throws IOException {
        String size = readLine(in);
        if (size == null) {
            throw new EOFException("connection ended before the last chunk");
        }
        int length = Integer.parseInt(size.trim(), 16);
        byte[] chunk = in.readNBytes(length);
        if (chunk.length < length || readLine(in) == null) {
            throw new EOFException("connection ended inside a chunk");
        }
        return chunk;
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** Returns a response with a length; {@code headers} are lines without line ends. */
    static String response(int status, String body, String... headers) {
        StringBuilder text = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
        for (String header : headers) {
            text.append(header).append("\r\n");
        }
        return text + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Returns a query as a map. */
    static Map<String, String> query(String uri) {
        Map<String, String> values = new LinkedHashMap<>();
        int mark = uri.indexOf('?');
        List<String> parts = mark < 0 ? List.of() : new ArrayList<>(List.of(uri.substring(mark + 1).split("&")));
        for (String part : parts) {
            int equals = part.indexOf('=');
            values.put(part.substring(0, equals), part.substring(equals + 1));
        }
        return values;
    }
}
