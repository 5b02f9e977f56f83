package org.amaranthlock.entry;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Predicate;

/** Worker whose answers a test writes byte by byte. */
public final class ScriptedWorker implements AutoCloseable {
    /** Stamp that shows a client that a worker has answered. */
    public static final String STAMP = "X-Server-Stamp: s\r\n";

    private final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
    private final ServerSocket listener;
    private final Script script;

    /** Longest body that is read before a request is answered, in bytes. */
    private static final int MAX_READ_BODY_BYTES = 64 * 1024;

    /** Writes the answer to a request. */
    public interface Script {
        /** Answers a request; returns whether the connection is kept open. */
        boolean answer(Arrival arrival, Socket connection) throws IOException;
    }

    /**
     * Request that has reached a worker.
     *
     * @param number number of the request among all of this worker, from 0
     * @param connection number of its connection
     * @param body its body; empty if it is longer than 64 KiB, and is then left on the connection
     */
    public record Arrival(int number, int connection, String head, String body) {
        /** Returns the value of a header; empty if there is none. */
        public String header(String name) {
            for (String line : head.split("\r\n")) {
                if (line.regionMatches(true, 0, name + ":", 0, name.length() + 1)) {
                    return line.substring(name.length() + 1).strip();
                }
            }
            return "";
        }

        /** Returns the id of the request. */
        public String id() {
            return header("X-Request-Id");
        }

        /** Returns whether the body is too long to be read before the answer. */
        public boolean hasLongBody() {
            return bodyLength() > MAX_READ_BODY_BYTES;
        }

        private int bodyLength() {
            String length = header("Content-Length");
            return length.isEmpty() ? 0 : Integer.parseInt(length);
        }

        /** Returns whether this is a call of the host itself, which has no id. */
        public boolean isCall() {
            return id().isEmpty();
        }
    }

    /** Starts a worker that answers calls of the host itself with an empty object, and other requests by the script. */
    public ScriptedWorker(Script script) {
        this(Arrival::isCall, script);
    }

    /** Starts a worker that answers all requests and calls by the script. */
    public static ScriptedWorker answeringCalls(Script script) {
        return new ScriptedWorker(_ -> false, script);
    }

    private ScriptedWorker(Predicate<Arrival> plain, Script script) {
        this.script = (arrival, connection) -> {
            if (plain.test(arrival)) {
                write(connection, response(200, "", "", "{}"));
                return true;
            }
            return script.answer(arrival, connection);
        };
        try {
            listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
        } catch (IOException e) {
            throw new IllegalStateException("Cannot listen on the loopback interface.", e);
        }
        Thread.ofVirtual().start(this::accept);
    }

    /** Returns the requests that have reached the worker, without the calls of the host itself. */
    public List<Arrival> requests() {
        return arrivals.stream().filter(arrival -> !arrival.isCall()).toList();
    }

    /** Returns the port on which the worker listens. */
    public int port() {
        return listener.getLocalPort();
    }

    /** Returns the object with which the worker registers in the store. */
    ObjectNode registration(String service, String zone) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("service", service)
                .put("address", "127.0.0.1:" + port())
                .put("zone", zone)
                .put("version", "v1")
                .put("slots", 8)
                .put("state", "ready")
                .put("cold_left_ms", 0)
                .put("seq", 1)
                .put("born", 1);
    }

    /** Returns a response with a length; {@code headers} are complete lines. */
    public static String response(int status, String id, String headers, String body) {
        String requestId = id.isEmpty() ? "" : "X-Request-Id: " + id + "\r\n";
        return "HTTP/1.1 " + status + " x\r\n" + requestId + headers + "Content-Length: " + body.length() + "\r\n\r\n"
                + body;
    }

    /** Returns a response by which the worker refuses a request that it has not run. */
    public static String refusal(String id) {
        return response(503, id, "X-Not-Run: 1\r\n", "");
    }

    /** Returns the answer to a request that the worker has run. */
    public static String success(String id) {
        return response(200, id, STAMP, "done " + id);
    }

    /** Writes text as it is. */
    public static void write(Socket connection, String text) throws IOException {
        connection.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        connection.getOutputStream().flush();
    }

    /** Has the connection reset when it is closed. */
    public static void resetOnClose(Socket connection) throws IOException {
        connection.setSoLinger(true, 0);
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }

    private void accept() {
        for (int number = 0; !listener.isClosed(); number++) {
            try {
                Socket connection = listener.accept();
                connection.setTcpNoDelay(true);
                int current = number;
                Thread.ofVirtual().start(() -> serve(connection, current));
            } catch (IOException e) {
                return; // closed at the end of the test
            }
        }
    }

    private void serve(Socket connection, int number) {
        try (connection) {
            InputStream in = new BufferedInputStream(connection.getInputStream());
            for (String head = readHead(in); !head.isEmpty(); head = readHead(in)) {
                Arrival withoutBody = new Arrival(requests().size(), number, head, "");
                byte[] body = in.readNBytes(withoutBody.hasLongBody() ? 0 : withoutBody.bodyLength());
                Arrival arrival =
                        new Arrival(withoutBody.number(), number, head, new String(body, StandardCharsets.ISO_8859_1));
                arrivals.add(arrival);
                if (!script.answer(arrival, connection)) {
                    return;
                }
            }
        } catch (IOException e) {
            return; // the host has closed the connection
        }
    }

    private static String readHead(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        for (int next = in.read(); next >= 0; next = in.read()) {
            head.write(next);
            String text = head.toString(StandardCharsets.ISO_8859_1);
            if (text.endsWith("\r\n\r\n")) {
                return text;
            }
        }
        return "";
    }
}
