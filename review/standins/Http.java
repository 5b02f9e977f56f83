import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Small HTTP/1.1 server and message reader over plain sockets, for the stand-ins of the review. */
final class Http {
    private Http() {}

    /** Message with its first line, its headers by lower-case name and its complete body. */
    record Message(String firstLine, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        String method() {
            return firstLine.split(" ")[0];
        }

        String target() {
            return firstLine.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Handles one request; returns whether the connection stays open. */
    interface Handler {
        boolean handle(Message request, Socket connection) throws Exception;
    }

    /** Listens on an address of the loopback network, with one thread for each connection. */
    static final class Server implements AutoCloseable {
        private final ServerSocket socket;
        private final Handler handler;
        private final java.util.Set<Socket> open = java.util.concurrent.ConcurrentHashMap.newKeySet();

        Server(String ip, Handler handler) throws IOException {
            this.socket = new ServerSocket();
            this.socket.setReuseAddress(true);
            this.socket.bind(new InetSocketAddress(InetAddress.getByName(ip), 0), 512);
            this.handler = handler;
            Thread.ofPlatform().daemon().start(this::accept);
        }

        String address() {
            return socket.getInetAddress().getHostAddress() + ":" + socket.getLocalPort();
        }

        /** Closes all open connections; new ones are still accepted. */
        void dropConnections() {
            for (Socket connection : open) {
                try {
                    connection.close();
                } catch (IOException e) {
                    // Already closed.
                }
            }
        }

        private void accept() {
            while (!socket.isClosed()) {
                try {
                    Socket connection = socket.accept();
                    open.add(connection);
                    Thread.ofPlatform().daemon().start(() -> serve(connection));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket connection) {
            try (connection) {
                connection.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(connection.getInputStream());
                while (handler.handle(read(in, false, false), connection)) {
                    // The next request follows on the same connection.
                }
            } catch (Exception e) {
                // The caller has closed the connection, or sent something that is no request.
            } finally {
                open.remove(connection);
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
            dropConnections();
        }
    }

    /** Reads one message; a response without a length ends with its connection. */
    static Message read(InputStream in, boolean response, boolean headOnly) throws IOException {
        String first = line(in);
        if (first.isEmpty()) {
            first = line(in);
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        return new Message(first, headers, headOnly ? new byte[0] : body(in, headers, response));
    }

    private static byte[] body(InputStream in, Map<String, String> headers, boolean response) throws IOException {
        if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            for (int size = Integer.parseInt(line(in).trim(), 16); size > 0; size = Integer.parseInt(line(in).trim(), 16)) {
                all.write(exactly(in, size));
                line(in);
            }
            line(in);
            return all.toByteArray();
        }
        if (headers.containsKey("content-length")) {
            return exactly(in, Integer.parseInt(headers.get("content-length")));
        }
        return response ? in.readAllBytes() : new byte[0];
    }

    private static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("connection closed inside a body");
        }
        return bytes;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException("connection closed");
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Sends a response with a length. */
    static void send(Socket connection, int status, String headers, byte[] body) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(("HTTP/1.1 " + status + " S\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        out.writeBytes(body);
        connection.getOutputStream().write(out.toByteArray());
        connection.getOutputStream().flush();
    }

    /** Connects to {@code IP:PORT}. */
    static Socket connect(String address, int timeoutMillis) throws IOException {
        int colon = address.lastIndexOf(':');
        Socket socket = new Socket();
        socket.connect(
                new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))), 1000);
        socket.setSoTimeout(timeoutMillis);
        socket.setTcpNoDelay(true);
        return socket;
    }
}
