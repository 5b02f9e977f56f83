import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.util.RawValue;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Another writer adds an entry of kind {@code servers} that names no worker; later a worker reports that it leaves.
 *
 * <p>Checks DRAIN at a calm host that reaches the store: no order that was sent later than {@code drain_ms} after the store
 * acknowledged the report reaches the worker. The variable {@code ENTRY} selects what is wrong with the entry.
 */
final class ForeignEntryCase implements Case {
    /** Time after which the other writer removes its entry, in milliseconds. */
    private static final long ENTRY_MILLIS = 2_000;

    /** Time for which the store and the hosts run on after that, in milliseconds; {@code stable_ms} is 4 s. */
    private static final long STABLE_MILLIS = 6_000;

    /** Depth of a list, and number of digits, beyond what the host's JSON library reads by default. */
    private static final int BEYOND_DEFAULT_LIMITS = 1_100;

    @Override
    public boolean ruleBroken(Path folder, boolean trouble) throws Exception {
        String kind = System.getenv().getOrDefault("ENTRY", "address");
        List<Worker> workers = new ArrayList<>();
        try (Store store = new Store("127.0.0.1")) {
            store.put("config", "main", Config.of(7, List.of("key-a"), 5_000));
            for (int i = 0; i < 3; i++) {
                Worker worker = new Worker("127.0.0.1", "i-" + i, "orders", "muc-halle1", store);
                worker.workMillis = 600;
                workers.add(worker);
                worker.register();
            }
            try (Host first = new Host(folder, "127.0.0.1", "front-1", "muc-halle1", store.address());
                    Host second = new Host(folder, "127.0.0.1", "front-2", "muc-halle1", store.address())) {
                first.awaitReady();
                second.awaitReady();
                Thread.sleep(9_000); // the hosts find each other, and the second one asks the first
                if (Client.order(second.front, "o-before", "key-a") != 200) {
                    throw new CannotRunException("no order is served before the entry");
                }
                if (trouble) {
                    store.put("servers", "x-1", entry(kind));
                    Log.write("another writer adds entry x-1 (" + kind + "), revision " + store.revision());
                }
                Thread.sleep(ENTRY_MILLIS);
                if (trouble && kind.equals("address")) {
                    store.remove("servers", "x-1");
                    Log.write("the other writer removes entry x-1, revision " + store.revision());
                }
                Thread.sleep(STABLE_MILLIS);
                if (!first.isReady() || !second.isReady()) {
                    throw new CannotRunException("a host is not ready");
                }
                boolean broken = Leaving.ruleBroken(store, workers.get(1), second);
                logFaults(first);
                logFaults(second);
                return broken;
            } finally {
                for (Worker worker : workers) {
                    worker.close();
                }
            }
        }
    }

    /** Writes the first lines of a host's log that tell how it read the entry. */
    private static void logFaults(Host host) throws IOException {
        Files.readAllLines(host.output).stream()
                .filter(line -> line.contains("IllegalArgumentException") || line.contains("target-entries-lost")
                        || line.contains("target=i-1 ") && line.contains("state=draining"))
                .limit(3)
                .forEach(line -> Log.write(host.name + " logs: " + line.strip()));
    }

    private static ObjectNode entry(String kind) {
        ObjectNode spec = Store.JSON.createObjectNode();
        spec.put("service", "orders").put("zone", "muc-halle1").put("version", "v1").put("state", "ready");
        spec.put("address", "127.0.0.1:9").put("slots", 6).put("cold_left_ms", 0).put("seq", 0);
        switch (kind) {
            case "address" -> spec.put("address", " :8080");
            case "list" ->
                spec.putRawValue(
                        "slots", new RawValue("[".repeat(BEYOND_DEFAULT_LIMITS) + "]".repeat(BEYOND_DEFAULT_LIMITS)));
            case "number" -> spec.putRawValue("slots", new RawValue("1".repeat(BEYOND_DEFAULT_LIMITS)));
            default -> throw new CannotRunException("there is no entry " + kind);
        }
        return spec;
    }
}
