import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An engine that keeps the copies of streams of another one is registered as draining. It goes on serving for longer than
 * drain_ms, as it may; meanwhile the other engine crashes. Two further engines are ready.
 */
final class DrainingBackupCase extends Case {
    private static final int STREAMS = 12;
    private static final int EVENTS = 120;
    private static final long EVENT_MILLIS = 70;
    private static final int ROUTE_TIMEOUT_MILLIS = 25_000;

    /** The bound of the sites: a request may reach a worker for so long after its draining was acknowledged. */
    private static final long DRAIN_MILLIS = 2_500;

    /** When the other engine crashes, after the draining was acknowledged. */
    private static final long CRASH_MILLIS = 3_500;

    /** When the leaving engine exits, after its draining was acknowledged. */
    private static final long EXIT_MILLIS = 4_500;

    private static final String CONFIGURATION = """
            {"version":7,"routes":[{"name":"draft","host":"h","path_prefix":"/draft/","kind":"streaming",
            "timeout_ms":%d,"goal_ms":4500,"priority":1,"service":"engines","max_attempts":2,"public":true,
            "sticky":true,"resumable":true,"gap_aim_ms":700}],
            "services":[{"name":"engines","health_path":"/health","max_conns":360,"protocol":"h1","tls":false,
            "engine":{"slots":64,"kv_capacity":1000000,"kv_token_bytes":18432,"backups":true}}],
            "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
            "idle_timeout_ms":15000},"tenants":[]}""".formatted(ROUTE_TIMEOUT_MILLIS);

    private record Arrival(String engine, String id, long atMillis, int firstEvent, String copy) {}

    private final List<Arrival> arrivals = Collections.synchronizedList(new ArrayList<>());
    private final AtomicInteger whole = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();

    public static void main(String[] arguments) {
        run(new DrainingBackupCase(), arguments);
    }

    @Override
    void play() throws Exception {
        Store store = new Store();
        store.put("config", "main", CONFIGURATION);
        Worker crashing = new Worker("e-crashing", this::generate);
        store.put("servers", crashing.id(), crashing.registration("engines", "z0", "ready", 1));
        Worker leaving = new Worker("e-leaving", this::generate);
        store.put("servers", leaving.id(), leaving.registration("engines", "z1", "ready", 1));
        HostProcess host = startHost("entry-0", "z0", List.of("z0", "z1"), store);
        awaitReady(host);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            String id = "stream-" + i;
            clients.add(Thread.ofPlatform().daemon().start(() -> readStream(host, id)));
            Thread.sleep(60);
        }
        for (int i = 0; i < 2; i++) {
            Worker staying = new Worker("e-staying-" + i, this::generate);
            store.put("servers", staying.id(), staying.registration("engines", "z" + i, "ready", 1));
        }
        Thread.sleep(500);
        if (trouble) {
            store.put("servers", leaving.id(), leaving.registration("engines", "z1", "draining", 2));
            long acknowledged = millis();
            say("store: has acknowledged that e-leaving is draining");
            sleepUntil(acknowledged + CRASH_MILLIS);
            say("e-crashing: crashes");
            crashing.exit();
            sleepUntil(acknowledged + EXIT_MILLIS);
            say("e-leaving: exits, its entry is removed");
            leaving.exit();
            store.remove("servers", leaving.id());
            judgeArrivals(acknowledged);
        }
        for (Thread client : clients) {
            client.join(ROUTE_TIMEOUT_MILLIS);
        }
        say("streams: " + whole + " whole, " + lost + " broken off or without an answer");
        if (lost.get() > 0) {
            say("these clients have lost their streams, though two engines were ready");
        }
    }

    private void judgeArrivals(long acknowledged) {
        List<Arrival> late = arrivals.stream()
                .filter(arrival -> arrival.engine().equals("e-leaving")
                        && arrival.atMillis() > acknowledged + DRAIN_MILLIS)
                .toList();
        late.forEach(arrival -> say("e-leaving: got " + arrival.id() + " from event " + arrival.firstEvent() + " with Kv-From "
                + arrival.copy() + ", " + (arrival.atMillis() - acknowledged) + " ms after its draining was acknowledged"));
        if (!late.isEmpty()) {
            broken("DRAIN: " + late.size() + " requests reached a draining worker later than drain_ms = " + DRAIN_MILLIS);
        }
    }

    private boolean generate(Worker.Call call) throws IOException, InterruptedException {
        call.body();
        int first = Streams.firstEvent(call.head());
        arrivals.add(new Arrival(call.worker().id(), call.head().id(), millis(), first, call.head().header("kv-from")));
        String copy = call.head().header("kv-from");
        say(call.worker().id() + ": runs " + call.head().id() + " from event " + first
                + (copy.isEmpty() ? "" : " with Kv-From " + copy));
        Thread.sleep(100);
        Streams.open(call);
        for (int number = first; number < EVENTS; number++) {
            Streams.event(call, number);
            Thread.sleep(EVENT_MILLIS);
        }
        Streams.end(call);
        return false;
    }

    private void readStream(HostProcess host, String id) {
        int events = 0;
        try (Client client = new Client(host.port(), 10_000)) {
            say("client: sends " + id);
            client.send(Streams.request("/draft/x", id, ROUTE_TIMEOUT_MILLIS));
            Http.Head head = client.readHead();
            if (head == null || head.status() != 200) {
                throw new IOException(head == null ? "channel closed" : head.startLine());
            }
            for (String chunk = client.readChunk(); !chunk.isEmpty(); chunk = client.readChunk()) {
                events += chunk.split("\n\n").length;
            }
            (events == EVENTS ? whole : lost).incrementAndGet();
            say("client: " + id + " ended after " + events + " events");
        } catch (IOException e) {
            lost.incrementAndGet();
            say("client: " + id + " broken off after " + events + " of " + EVENTS + " events: " + e);
        }
    }
}
