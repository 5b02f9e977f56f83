import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Stand-in for a worker: checks the instance that a request expects, answers reports, and passes the rest to its handler. */
final class Worker {
    private final String id;
    private final Handler handler;
    private final ServerSocket listener;
    private final Set<Socket> channels = ConcurrentHashMap.newKeySet();

    /** One request on a channel. */
    record Call(Worker worker, Http.Head head, InputStream in, OutputStream out, Socket socket) {
        /** Reads the whole body at once. */
        byte[] body() throws IOException {
            return Http.readBody(in, head);
        }

        /** Answers the request with 200. */
        void answer(String body) throws IOException {
            Http.write(out, Http.response(200, body, "X-Request-Id: " + head.id(), "X-Server-Stamp: s." + worker.id));
        }
    }

    /** Serves a request; returns whether the channel is kept. */
    interface Handler {
        boolean handle(Call call) throws IOException, InterruptedException;
    }

    Worker(String id, Handler handler) throws IOException {
        this.id = id;
        this.handler = handler;
        listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        Thread.ofPlatform().daemon().start(this::accept);
    }

    String id() {
        return id;
    }

    int port() {
        return listener.getLocalPort();
    }

    /** Returns the entry of this worker in the store. */
    String registration(String service, String zone, String state, int seq) {
        return ("{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":64,"
                        + "\"state\":\"%s\",\"cold_left_ms\":0,\"seq\":%d,\"born\":1700000000000}")
                .formatted(service, port(), zone, state, seq);
    }

    /** Ends the worker: it accepts nothing any more, and its channels are closed. */
    void exit() throws IOException {
        listener.close();
        for (Socket socket : channels) {
            socket.close();
        }
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                channels.add(socket);
                Thread.ofPlatform().daemon().start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
                if (!serve(new Call(this, head, in, out, socket))) {
                    return;
                }
            }
        } catch (IOException e) {
            // The host has closed the channel, or this worker has ended.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            channels.remove(socket);
        }
    }

    private boolean serve(Call call) throws IOException, InterruptedException {
        if (call.head().uri().equals("/api/report")) {
            Http.write(
                    call.out(),
                    Http.response(
                            200,
                            "{\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
                                    + "\"busy\":false,\"seq\":1,\"queued\":0,\"running\":1,\"kv_used\":1000,"
                                    + "\"kv_total\":1000000,\"handles\":0,\"runs\":[]}",
                            "Content-Type: application/json"));
            return true;
        }
        if (call.head().uri().startsWith("/api/")) {
            call.body();
            Http.write(call.out(), Http.response(404, "{}"));
            return true;
        }
        String expected = call.head().header("x-expect-instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            call.body();
            Http.write(call.out(), Http.response(421, "", "X-Request-Id: " + call.head().id(), "X-Instance-Id: " + id));
            return true;
        }
        return handler.handle(call);
    }
}
