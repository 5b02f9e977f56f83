package org.amaranthlock.transport;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

/** HTTP server on a raw socket that can break connections at a chosen byte. */
public final class RawServer implements AutoCloseable {
    /** Answers one request; an exception closes the connection. */
    @FunctionalInterface
    public interface Script {
        /** Writes the answer. */
        void answer(String head, OutputStream out) throws IOException, InterruptedException;
    }

    private final ServerSocket socket;
    private final Script script;
    private final boolean keepAlive;
    private final BlockingQueue<String> heads = new LinkedBlockingQueue<>();
    private final BlockingQueue<Exception> failures = new LinkedBlockingQueue<>();

    /** Starts a server that closes each connection after one request. */
    public RawServer(Script script) throws IOException {
        this(script, false);
    }

    /** Starts a server. */
    public RawServer(Script script, boolean keepAlive) throws IOException {
        this.script = script;
        this.keepAlive = keepAlive;
        socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread.ofVirtual().start(this::accept);
    }

    /** Returns IP number and port. */
    public String address() {
        return "127.0.0.1:" + socket.getLocalPort();
    }

    /** Returns the heads of the requests in the order of arrival. */
    public BlockingQueue<String> heads() {
        return heads;
    }

    /** Returns what broke connections, for example a client that closed one. */
    public BlockingQueue<Exception> failures() {
        return failures;
    }

    /** Returns a port on which nothing listens. */
    public static String unusedAddress() throws IOException {
        try (ServerSocket unused = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return "127.0.0.1:" + unused.getLocalPort();
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    private void accept() {
        while (!socket.isClosed()) {
            try {
                Socket connection = socket.accept();
                Thread.ofVirtual().start(() -> serve(connection));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            InputStream in = new BufferedInputStream(connection.getInputStream());
            String head = head(in);
            while (!head.isEmpty()) {
                heads.add(head);
                script.answer(head, connection.getOutputStream());
                head = keepAlive ? head(in) : "";
            }
        } catch (IOException | InterruptedException e) {
            failures.add(e);
        }
    }

    private static String head(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        while (text.indexOf("\r\n\r\n") < 0) {
            int value = in.read();
            if (value < 0) {
                return "";
            }
            text.append((char) value);
        }
        String head = text.toString();
        in.skipNBytes(contentLength(head));
        return head;
    }

    private static int contentLength(String head) {
        return head.lines()
                .filter(line -> line.startsWith("content-length: "))
                .mapToInt(line -> Integer.parseInt(line.substring("content-length: ".length())))
                .sum();
    }

    /** Writes text. */
    public static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }
}
