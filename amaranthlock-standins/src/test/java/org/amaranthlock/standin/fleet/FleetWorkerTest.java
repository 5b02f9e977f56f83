package org.amaranthlock.standin.fleet;

import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class FleetWorkerTest {
    private static final int REPETITIONS = 200;

    /** Time after which a worker that still reads a connection has read a request. */
    private static final int READ_TIMEOUT_MILLIS = 20;

    // Guards against a worker that is stopped while one client disconnects, and leaves the other connections open.
    @Test
    void stoppedWorkerReadsNothingFromKeptConnections() throws IOException {
        for (int i = 0; i < REPETITIONS; i++) {
            FleetWorker worker = new FleetWorker("desk", false, 0, 0);
            worker.start();
            Socket disconnecting = connect(worker);
            Socket kept = connect(worker);
            exchange(disconnecting, "first");
            exchange(kept, "second");
            disconnecting.close();
            worker.stop();
            sendIgnoringReset(kept, "late");
            assertWithMessage("executions in repetition %s", i)
                    .that(worker.executedRequests().stream().map(ExecutedRequest::requestId))
                    .doesNotContain("late");
            kept.close();
        }
    }

    private static Socket connect(FleetWorker worker) throws IOException {
        String address = worker.address();
        int colon = address.indexOf(':');
        Socket socket = new Socket(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
        socket.setTcpNoDelay(true);
        return socket;
    }

    private static void exchange(Socket socket, String id) throws IOException {
        socket.getOutputStream().write(request(id));
        assertWithMessage("first byte of the response")
                .that(socket.getInputStream().read())
                .isEqualTo('H');
    }

    /** Sends a request and waits for the reset; a worker that still reads the connection responds instead. */
    private static void sendIgnoringReset(Socket socket, String id) throws IOException {
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        try {
            socket.getOutputStream().write(request(id));
            byte[] rest = socket.getInputStream().readAllBytes();
            assertWithMessage("response after the stop")
                    .that(new String(rest, StandardCharsets.US_ASCII))
                    .doesNotContain(id);
        } catch (java.net.SocketException e) {
            assertWithMessage("cause").that(e).hasMessageThat().isNotEmpty();
        }
    }

    private static byte[] request(String id) {
        return ("GET /look HTTP/1.1\r\nHost: desk\r\nX-Request-Id: " + id + "\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
    }
}
