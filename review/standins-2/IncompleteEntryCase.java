import java.io.IOException;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Another writer stores an entry of kind servers that lacks the fields version and seq. At its address a program listens
 * that is no worker: it answers 404 to all requests, as a web server does, and returns their id.
 */
final class IncompleteEntryCase extends Case {
    private static final int ORDERS = 200;
    private static final int TIMEOUT_MILLIS = 1_200;

    private static final String CONFIGURATION = """
            {"version":7,"routes":[{"name":"order","host":"h","path_prefix":"/order/","kind":"non_idempotent",
            "timeout_ms":%d,"goal_ms":200,"priority":2,"service":"desks","max_attempts":1,"public":true}],
            "services":[{"name":"desks","health_path":"/health","max_conns":100,"protocol":"h1","tls":false}],
            "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
            "idle_timeout_ms":15000},"tenants":[]}""".formatted(TIMEOUT_MILLIS);

    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger denied = new AtomicInteger();
    private final AtomicInteger other = new AtomicInteger();
    private final AtomicInteger atForeign = new AtomicInteger();

    public static void main(String[] arguments) {
        run(new IncompleteEntryCase(), arguments);
    }

    @Override
    void play() throws Exception {
        Store store = new Store();
        store.put("config", "main", CONFIGURATION);
        List<String> zones = List.of("z0", "z1", "z2");
        for (String zone : zones) {
            Worker desk = new Worker("d-" + zone, call -> {
                call.body();
                say(call.worker().id() + ": runs " + call.head().id());
                call.answer("done");
                return true;
            });
            store.put("servers", desk.id(), desk.registration("desks", zone, "ready", 1));
        }
        HostProcess host = startHost("entry-0", "z0", zones, store);
        awaitReady(host);
        if (trouble) {
            Worker foreign = new Worker("x-other", this::answerNotFound);
            String entry = foreign.registration("desks", "z0", "ready", 1)
                    .replaceFirst("\"version\":\"v1\",", "")
                    .replaceFirst("\"seq\":1,", "");
            store.put("servers", foreign.id(), entry);
            say("store: another writer has written servers/x-other: " + entry);
        }
        Thread.sleep(1_000);
        for (int i = 0; i < ORDERS; i++) {
            order(host, i);
            Thread.sleep(10);
        }
        int allowed = 5 + ORDERS / 500;
        say("orders: " + served + " served, " + denied + " ended with 404 without the stamp of a worker, " + other
                + " else; " + atForeign + " reached the program that is no worker");
        if (denied.get() > allowed) {
            broken("DENIED: " + denied + " of " + ORDERS + " proper requests ended with a 4xx that is no worker's; "
                    + allowed + " are allowed");
        }
    }

    private boolean answerNotFound(Worker.Call call) throws IOException {
        call.body();
        atForeign.incrementAndGet();
        say("x-other: gets " + call.head().id() + " with " + call.head().header("content-length") + " bytes");
        Http.write(call.out(), Http.response(404, "not found", "X-Request-Id: " + call.head().id()));
        return true;
    }

    private void order(HostProcess host, int number) throws IOException {
        try (Client client = new Client(host.port(), TIMEOUT_MILLIS + 500)) {
            say("client: sends o-" + number);
            client.send("POST /order/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: o-" + number + "\r\nX-Time-Left-Ms: "
                    + TIMEOUT_MILLIS + "\r\nContent-Length: 5\r\n\r\norder");
            Http.Head head = client.readHead();
            boolean stamped = head != null && !head.header("x-server-stamp").isEmpty();
            if (head != null && head.status() == 404 && !stamped) {
                denied.incrementAndGet();
                say("client: o-" + number + " got 404 " + client.readBody(head));
            } else if (head != null && head.status() == 200 && stamped) {
                served.incrementAndGet();
                say("client: o-" + number + " got 200");
            } else {
                other.incrementAndGet();
            }
        }
    }
}
