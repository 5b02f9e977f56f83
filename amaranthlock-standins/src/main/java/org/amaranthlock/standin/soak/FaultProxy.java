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

/** Loopback proxy before one address, whose connections can be delayed, silenced, cut one way or reset. */
final class FaultProxy implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(FaultProxy.class);
    private static final int BUFFER_BYTES = 8_192;
    private static final long DELAY_MILLIS = 120;
    private static final long POLL_INTERVAL_MILLIS = 10;

    private final ServerSocket listener;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private volatile Mode mode = Mode.PASS;
    private volatile String upstream;

    /** What happens to the bytes of all connections. */
    enum Mode {
        /** They pass. */
        PASS,
        /** They pass late. */
        DELAY,
        /** They wait, in both directions, until the mode changes. */
        STALL,
        /** Answers wait until the mode changes. */
        STALL_RESPONSES
    }

    FaultProxy() throws IOException {
        listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        Thread.ofVirtual().start(this::accept);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Forwards new connections to another address. */
    void upstream(String address) {
        upstream = address;
    }

    void mode(Mode changed) {
        mode = changed;
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
            LOG.debugf("closing a proxy: %s", e);
        }
        resetAll();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket client = listener.accept();
                Thread.ofVirtual().start(() -> connect(client));
            } catch (IOException e) {
                LOG.debugf("a proxy accepts no more: %s", e);
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
            LOG.debugf("no connection to %s: %s", address, e);
            reset(client);
        }
    }

    private void copy(Socket from, Socket to, boolean answers) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
                applyMode(answers);
                out.write(buffer, 0, read);
                out.flush();
            }
            applyMode(answers);
            to.shutdownOutput();
        } catch (IOException e) {
            reset(from);
            reset(to);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            sockets.remove(from);
        }
    }

    private void applyMode(boolean answers) throws InterruptedException {
        if (mode == Mode.DELAY) {
            Thread.sleep(DELAY_MILLIS);
        }
        while (mode == Mode.STALL || (mode == Mode.STALL_RESPONSES && answers)) {
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            LOG.debugf("resetting a connection: %s", e);
        }
    }
}
