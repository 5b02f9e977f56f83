import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A host is stopped as planned while clients read the long answers to their orders. They would be done before the grace
 * period ends.
 */
final class StopWhileReadingCase extends Case {
    private static final int CLIENTS = 2;
    private static final int ANSWER_BYTES = 8_000_000;
    private static final int TIMEOUT_MILLIS = 25_000;
    private static final long GRACE_MILLIS = 8_000;

    /** What a client reads in a second; it has its answer after 8 s. */
    private static final int READ_BYTES_PER_SECOND = 1_000_000;

    private static final long INTERVAL_MILLIS = 400;

    /** Time between the orders and SIGTERM. */
    private static final long STOP_AFTER_MILLIS = 300;

    private static final String CONFIGURATION = """
            {"version":7,"routes":[{"name":"order","host":"h","path_prefix":"/order/","kind":"non_idempotent",
            "timeout_ms":%d,"goal_ms":5000,"priority":2,"service":"desks","max_attempts":1,"public":true}],
            "services":[{"name":"desks","health_path":"/health","max_conns":100,"protocol":"h1","tls":false}],
            "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
            "idle_timeout_ms":15000},"tenants":[]}""".formatted(TIMEOUT_MILLIS);

    private final Set<String> ran = ConcurrentHashMap.newKeySet();
    private final AtomicInteger whole = new AtomicInteger();
    private final AtomicInteger cut = new AtomicInteger();
    private volatile long stoppedAtMillis = Long.MAX_VALUE;

    public static void main(String[] arguments) {
        run(new StopWhileReadingCase(), arguments);
    }

    @Override
    void play() throws Exception {
        Store store = new Store();
        store.put("config", "main", CONFIGURATION);
        for (int i = 0; i < 3; i++) {
            Worker desk = new Worker("d-" + i, this::serve);
            store.put("servers", desk.id(), desk.registration("desks", "z" + i, "ready", 1));
        }
        List<String> zones = List.of("z0", "z1", "z2");
        HostProcess host = startHost("entry-0", "z0", zones, store);
        awaitReady(host);
        Thread.sleep(1_000);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            String id = "order-" + i;
            clients.add(Thread.ofPlatform().daemon().start(() -> order(host, id)));
            Thread.sleep(INTERVAL_MILLIS);
        }
        Thread.sleep(STOP_AFTER_MILLIS);
        if (trouble) {
            stoppedAtMillis = millis();
            host.signal("TERM");
            say("platform: SIGTERM; SIGKILL would follow after " + GRACE_MILLIS + " ms");
            Thread.ofPlatform().daemon().start(() -> sayEnd(host));
        }
        for (Thread client : clients) {
            client.join(TIMEOUT_MILLIS);
        }
        say("orders: " + ran.size() + " run, " + whole + " answered whole, " + cut + " cut off");
        if (cut.get() > 0) {
            broken("LOST: " + cut + " requests were read and passed on, and their channels ended without a complete answer"
                    + " around a planned stop");
        }
    }

    private void sayEnd(HostProcess host) {
        try {
            int status = host.process().waitFor();
            say("platform: the process has ended with " + status + ", " + (millis() - stoppedAtMillis)
                    + " ms after SIGTERM");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean serve(Worker.Call call) throws IOException {
        call.body();
        ran.add(call.head().id());
        say(call.worker().id() + ": runs " + call.head().id());
        call.answer("x".repeat(ANSWER_BYTES));
        return true;
    }

    private void order(HostProcess host, String id) {
        int read = 0;
        long began = millis();
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(16 * 1024);
            socket.connect(new InetSocketAddress("127.0.0.1", host.port()), 1_000);
            socket.setSoTimeout(TIMEOUT_MILLIS);
            InputStream in = socket.getInputStream();
            say("client: sends " + id);
            Http.write(
                    socket.getOutputStream(),
                    "POST /order/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id + "\r\nX-Time-Left-Ms: " + TIMEOUT_MILLIS
                            + "\r\nContent-Length: 5\r\n\r\norder");
            Http.Head head = Http.readHead(in);
            if (head == null || head.status() != 200) {
                throw new IOException(head == null ? "channel closed" : head.startLine());
            }
            while (read < head.length()) {
                byte[] part = in.readNBytes(Math.min(READ_BYTES_PER_SECOND / 20, head.length() - read));
                if (part.length == 0) {
                    throw new IOException("channel closed");
                }
                read += part.length;
                Thread.sleep(50);
            }
            whole.incrementAndGet();
            say("client: " + id + " has its whole answer, " + (millis() - began) + " ms after it was sent");
        } catch (IOException e) {
            cut.incrementAndGet();
            say("client: " + id + ": " + e.getMessage() + " after " + read + " of " + ANSWER_BYTES + " bytes, "
                    + (trouble ? (millis() - stoppedAtMillis) + " ms after SIGTERM" : ""));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
