import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Stand-in for a client on one kept channel to a host. */
final class Client implements AutoCloseable {
    private final Socket socket;
    private final InputStream in;

    Client(String address, int timeoutMillis) throws IOException {
        socket = Http.connect(address, timeoutMillis);
        in = new BufferedInputStream(socket.getInputStream());
    }

    static String head(String method, String path, String id, String key, int timeLeftMillis, String more) {
        return method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id + "\r\nX-Time-Left-Ms: "
                + timeLeftMillis + "\r\nAuthorization: Bearer " + key + "\r\n" + more;
    }

    void write(String text) throws IOException {
        write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    void write(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
        socket.getOutputStream().flush();
    }

    Http.Message read() throws IOException {
        return Http.read(in, true, false);
    }

    /** Sends a request without a body and returns the answer's status; 0 if the channel ends without an answer. */
    static int get(String host, String path, String id, String key) {
        Log.write("send id=" + id + " path=" + path + " to=" + host);
        int status = 0;
        try (Client client = new Client(host, 6000)) {
            client.write(head("GET", path, id, key, 5000, "\r\n"));
            status = client.read().status();
        } catch (IOException e) {
            Log.write("channel ended id=" + id + " " + e.getMessage());
        }
        Log.write("answer id=" + id + " status=" + status);
        return status;
    }

    /** Sends an order and returns the answer's status; 0 if the channel ends without an answer. */
    static int order(String host, String id, String key) {
        Log.write("send id=" + id + " path=/order/1 to=" + host);
        int status = 0;
        try (Client client = new Client(host, 6000)) {
            client.write(head("POST", "/order/1", id, key, 5000, "Content-Length: 2\r\n\r\n{}"));
            status = client.read().status();
        } catch (IOException e) {
            Log.write("channel ended id=" + id + " " + e.getMessage());
        }
        Log.write("answer id=" + id + " status=" + status);
        return status;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
