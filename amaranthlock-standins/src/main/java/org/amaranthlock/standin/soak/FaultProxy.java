package org.amaranthlock.standin.soak;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.jboss.logging.Logger;

/**
 * TCP proxy on the loopback interface whose connections can be delayed, stalled in one or both directions, silenced for
 * good, or reset.
 */
final class FaultProxy implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(FaultProxy.class);
    private static final int BUFFER_BYTES = 8_192;
    private static final long DELAY_MILLIS = 120;
    private static final long POLL_INTERVAL_MILLIS = 10;

    private final ServerSocket listener;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

    /** Sockets that stay open and carry nothing any more. */
    private final Set<Socket> silenced = ConcurrentHashMap.newKeySet();

    private volatile Mode mode = Mode.PASS;
    private volatile String upstream;

    /** Treatment of the data of all connections. */
    enum Mode {
        /** Data is forwarded at once. */
        PASS,
        /** Data is forwarded after a delay. */
        DELAY,
        /** Data is held back in both directions until the mode changes. */
        STALL,
        /** Data from the server is held back until the mode changes. */
        STALL_RESPONSES
    }

    /** Creates a proxy that listens on an ephemeral port and resets connections until it has an upstream. */
    FaultProxy() throws IOException {
        listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        Thread.ofVirtual().start(this::accept);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Sets the address to which new connections are forwarded; {@code null} resets them. */
    void upstream(String address) {
        upstream = address;
    }

    void mode(Mode newMode) {
        mode = newMode;
    }

    /** Has the open connections carry nothing any more, without a reset; new ones work. */
    void silenceOpen() {
        silenced.addAll(sockets);
    }

    /** Resets all connections. */
    void resetAll() {
        sockets.forEach(FaultProxy::reset);
    }

    @Override
    public void close() {
        try {
            listener.close();
        } catch (IOException e) {
            LOG.debugf("Failed to close the listener of the proxy at %s: %s", address(), e);
        }
        resetAll();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket client = listener.accept();
                Thread.ofVirtual().start(() -> connect(client));
            } catch (IOException e) {
                LOG.debugf("The proxy at %s stopped accepting connections: %s", address(), e);
                return;
            }
        }
    }

    private void connect(Socket client) {
        sockets.add(client);
        String address = upstream;
        if (address == null) {
            reset(client);
            return;
        }
        int colon = address.lastIndexOf(':');
        try {
            Socket server = new Socket(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
            server.setTcpNoDelay(true);
            client.setTcpNoDelay(true);
            sockets.add(server);
            Thread.ofVirtual().start(() -> copy(client, server, false));
            Thread.ofVirtual().start(() -> copy(server, client, true));
        } catch (IOException e) {
            LOG.debugf("The proxy at %s could not connect to %s: %s", address(), address, e);
            reset(client);
        }
    }

    private void copy(Socket from, Socket to, boolean fromServer) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
                applyMode(fromServer);
                if (!silenced.contains(from)) {
                    out.write(buffer, 0, read);
                    out.flush();
                }
            }
            applyMode(fromServer);
            if (!silenced.contains(from)) {
                to.shutdownOutput();
            }
        } catch (IOException e) {
            reset(from);
            reset(to);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            sockets.remove(from);
            silenced.remove(from);
        }
    }

    private void applyMode(boolean fromServer) throws InterruptedException {
        if (mode == Mode.DELAY) {
            Thread.sleep(DELAY_MILLIS);
        }
        while (mode == Mode.STALL || (mode == Mode.STALL_RESPONSES && fromServer)) {
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
    }

    private static void reset(Socket socket) {
        try {
            // With a linger time of 0, close sends a TCP reset.
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            LOG.debugf("Failed to reset a connection: %s", e);
        }
    }
}
