import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** Passes connections on to one address; in silence, bytes and new connections are held up, and nothing is closed. */
final class Proxy implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 * 1024;

    private final ServerSocket socket;
    private final String destination;
    private boolean silent;

    Proxy(String ip, String destination) throws IOException {
        this.destination = destination;
        this.socket = new ServerSocket();
        this.socket.bind(new InetSocketAddress(InetAddress.getByName(ip), 0), 512);
        Thread.ofPlatform().daemon().start(this::accept);
    }

    String address() {
        return socket.getInetAddress().getHostAddress() + ":" + socket.getLocalPort();
    }

    /** Begins or ends the silence. */
    synchronized void silent(boolean on) {
        silent = on;
        notifyAll();
    }

    private synchronized void awaitSound() throws InterruptedException {
        while (silent) {
            wait();
        }
    }

    private void accept() {
        while (!socket.isClosed()) {
            try {
                Socket caller = socket.accept();
                Thread.ofPlatform().daemon().start(() -> open(caller));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void open(Socket caller) {
        try {
            awaitSound();
            Socket callee = Http.connect(destination, 0);
            Thread.ofPlatform().daemon().start(() -> pass(callee, caller));
            pass(caller, callee);
        } catch (IOException | InterruptedException e) {
            closeQuietly(caller);
        }
    }

    private void pass(Socket from, Socket to) {
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            byte[] buffer = new byte[BUFFER_BYTES];
            for (int size = in.read(buffer); size >= 0; size = in.read(buffer)) {
                awaitSound();
                out.write(buffer, 0, size);
                out.flush();
            }
            awaitSound();
        } catch (IOException | InterruptedException e) {
            // One of the two has closed the connection.
        } finally {
            closeQuietly(from);
            closeQuietly(to);
        }
    }

    private static void closeQuietly(Socket connection) {
        try {
            connection.close();
        } catch (IOException e) {
            // Already closed.
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
