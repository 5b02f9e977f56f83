import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Two engines are replaced one after the other, and the second one sends its answers to calls a second time, late.
 *
 * <p>Checks MIXED: no stream goes on at an engine from the memory of another stream.
 */
final class ForeignCopyCase implements Case {
    /** Shortest time for which a leaving engine serves on after its report, in milliseconds: drain_ms and a little. */
    private static final long SERVES_ON_MILLIS = 3_000;

    /** Longest time for which it does so, in milliseconds ("at times many seconds"). */
    private static final long MAX_SERVES_ON_MILLIS = 8_000;

    private static final int STREAMS = 4;

    @Override
    public boolean ruleBroken(Path folder, boolean trouble) throws Exception {
        List<Engine> engines = new ArrayList<>();
        try (Store store = new Store("127.0.0.1")) {
            store.put("config", "main", Config.withStreams(7, List.of("key-a"), List.of("key-b")));
            String[] zones = {"muc-halle1", "nbg-halle2", "rgb-halle3"};
            for (int i = 0; i < zones.length; i++) {
                engines.add(new Engine("127.0.0.1", "e-" + i, zones[i], store));
            }
            engines.get(0).register();
            engines.get(1).register();
            try (Host host = new Host(folder, "127.0.0.1", "front-1", "muc-halle1", store.address())) {
                host.awaitReady();
                Thread.sleep(5_000);
                for (int i = 0; i < STREAMS; i++) {
                    String id = "s-" + i;
                    String key = i < 2 ? "key-a" : "key-b";
                    Thread.ofPlatform().daemon().start(() -> readStream(host.front, id, key));
                    Thread.sleep(300);
                }
                Thread.sleep(700);
                // The engine with fewer streams leaves first, so that the other one has two or more without a backup.
                engines.subList(0, 2).sort(Comparator.comparingLong(ForeignCopyCase::streams));
                Engine first = engines.get(0);
                Engine second = engines.get(1);
                engines.get(2).register();
                Log.write("engine " + engines.get(2).id + " is added");
                second.repeatsAnswers = trouble;
                leave(first, store, SERVES_ON_MILLIS);
                second.wronglyAnswered.clear();
                leave(second, store, MAX_SERVES_ON_MILLIS);
                Thread.sleep(2_000);
                return check();
            } finally {
                for (Engine engine : engines) {
                    engine.close();
                }
            }
        }
    }

    private static long streams(Engine engine) {
        return Engine.RUNS.stream().filter(run -> run.engine().equals(engine.id)).count();
    }

    /** Lets an engine leave; one that repeats its answers serves on until a call has got the answer to another one. */
    private static void leave(Engine engine, Store store, long maxServesOnMillis) throws Exception {
        long acknowledgedAt = engine.reportDraining();
        Log.write("engine " + engine.id + " reports draining, acked at revision " + store.revision());
        Clock.sleepUntil(acknowledgedAt + SERVES_ON_MILLIS);
        engine.wronglyAnswered.clear();
        while (engine.repeatsAnswers
                && engine.wronglyAnswered.isEmpty()
                && Clock.millis() < acknowledgedAt + maxServesOnMillis) {
            Thread.sleep(10);
        }
        Thread.sleep(200);
        engine.close();
        store.remove("servers", engine.id);
        Log.write("engine " + engine.id + " exits " + (Clock.millis() - acknowledgedAt) + " ms after the acknowledgement");
    }

    private static boolean check() {
        boolean broken = false;
        for (Engine.Run run : Engine.RUNS) {
            String owner = Engine.OWNERS.get(run.kvFrom());
            if (owner != null && !owner.equals(run.id())) {
                Log.write("MIXED: " + run.id() + " of tenant " + run.tenant() + " goes on at " + run.engine()
                        + " from the memory of " + owner);
                broken = true;
            }
        }
        return broken;
    }

    private static void readStream(String host, String id, String key) {
        Log.write("send id=" + id + " path=/draft/1 to=" + host + " key=" + key);
        int events = 0;
        boolean complete = false;
        try (Socket socket = Http.connect(host, 8_000)) {
            String more = "X-Model: m\r\nX-Token-Counts: 1000,800\r\nX-Prompt-Prefix: 5c1e07a2:200,91bd3f0" + id.substring(2)
                    + ":800\r\nContent-Length: 2\r\n\r\n{}";
            socket.getOutputStream().write(Client.head("POST", "/draft/1", id, key, 25_000, more).getBytes());
            BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
            Log.write("answer id=" + id + " " + in.readLine());
            for (String line = in.readLine(); line != null && !complete; line = in.readLine()) {
                events += line.startsWith("id: ") ? 1 : 0;
                complete = line.equals("0");
            }
        } catch (IOException e) {
            Log.write("channel ended id=" + id + " " + e.getMessage());
        }
        Log.write("stream id=" + id + " events=" + events + " complete=" + complete);
    }
}
