import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Channel of a client to a host on loopback. */
final class Client implements AutoCloseable {
    private final Socket socket = new Socket();
    private final InputStream in;
    private final OutputStream out;

    Client(int port, int timeoutMillis) throws IOException {
        socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(timeoutMillis);
        in = new BufferedInputStream(socket.getInputStream());
        out = socket.getOutputStream();
    }

    void send(String text) throws IOException {
        Http.write(out, text);
    }

    void send(byte[] bytes) throws IOException {
        out.write(bytes);
        out.flush();
    }

    Http.Head readHead() throws IOException {
        return Http.readHead(in);
    }

    String readBody(Http.Head head) throws IOException {
        return new String(Http.readBody(in, head), StandardCharsets.ISO_8859_1);
    }

    String readChunk() throws IOException {
        return new String(Http.readChunk(in), StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
