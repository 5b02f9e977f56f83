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

/** HTTP server whose handler writes raw bytes to the socket, so that a response can be cut off at any byte. */
public final class ScriptedHttpServer implements AutoCloseable {
    /** Handles one request; an exception closes the connection. */
    @FunctionalInterface
    public interface RequestHandler {
        /** Writes the response to the request with the given head. */
        void handle(String head, OutputStream out) throws IOException, InterruptedException;
    }

    private final ServerSocket socket;
    private final RequestHandler handler;
    private final boolean keepAlive;
    private final Thread accepting;
    private final BlockingQueue<String> requestHeads = new LinkedBlockingQueue<>();
    private final BlockingQueue<Exception> connectionFailures = new LinkedBlockingQueue<>();

    /** Starts a server that closes each connection after one request. */
    public ScriptedHttpServer(RequestHandler handler) throws IOException {
        this(handler, false);
    }

    /** Starts a server that keeps connections open after a request if {@code keepAlive} is set. */
    public ScriptedHttpServer(RequestHandler handler, boolean keepAlive) throws IOException {
        this.handler = handler;
        this.keepAlive = keepAlive;
        socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        accepting = Thread.ofVirtual().start(this::acceptConnections);
    }

    /** Returns the IP address and port of the server. */
    public String address() {
        return "127.0.0.1:" + socket.getLocalPort();
    }

    /** Returns the request lines and headers of the received requests in the order of arrival. */
    public BlockingQueue<String> requestHeads() {
        return requestHeads;
    }

    /** Returns the exceptions that ended connections, for example because a client closed one. */
    public BlockingQueue<Exception> connectionFailures() {
        return connectionFailures;
    }

    /** Returns an address with a port on which nothing listens. */
    public static String unusedAddress() throws IOException {
        try (ServerSocket unused = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return "127.0.0.1:" + unused.getLocalPort();
        }
    }

    /** Closes the server; no connection can be opened any more when this returns. */
    @Override
    public void close() throws IOException {
        socket.close();
        try {
            accepting.join(); // the port stays open while a thread accepts connections
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void acceptConnections() {
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
            String head = readHead(in);
            while (!head.isEmpty()) {
                requestHeads.add(head);
                handler.handle(head, connection.getOutputStream());
                head = keepAlive ? readHead(in) : "";
            }
        } catch (IOException | InterruptedException e) {
            connectionFailures.add(e);
        }
    }

    private static String readHead(InputStream in) throws IOException {
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

    /** Writes a text in UTF-8 and flushes the stream. */
    public static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }
}
