import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The store comes back from a copy some seconds old; afterwards a worker reports that it leaves.
 *
 * <p>Checks DRAIN: no request that was sent later than {@code drain_ms} after the store acknowledged the report reaches
 * the worker. Two hosts of one zone run; the second one learns of workers through the first.
 */
final class DrillCase implements Case {
    /** Time for which the calm store and hosts run before the worker leaves; {@code stable_ms} is 4 s. */
    private static final long STABLE_MILLIS = 5_000;

    /** Time for which the store is away. */
    private static final long AWAY_MILLIS = 200;

    private static final int VERSIONS = 5;

    @Override
    public boolean ruleBroken(Path folder, boolean trouble) throws Exception {
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
                    throw new CannotRunException("no order is served before the drill");
                }
                Store.Copy copy = store.copy();
                Log.write("the store's copy is taken at revision " + copy.revision());
                for (int i = 1; i <= VERSIONS; i++) {
                    store.put("config", "main", Config.of(7 + i, List.of("key-a"), 5_000 + i));
                    Log.write("config version " + (7 + i) + " acked at revision " + store.revision());
                    Thread.sleep(600);
                }
                store.goAway();
                Log.write("the store is away");
                Thread.sleep(AWAY_MILLIS);
                if (trouble) {
                    store.comeBackFrom(copy);
                    Log.write("the store is back from the copy, at revision " + store.revision());
                    store.put("config", "main", Config.of(7 + VERSIONS, List.of("key-a"), 5_000 + VERSIONS));
                    Log.write("config version " + (7 + VERSIONS) + " written again, revision " + store.revision());
                } else {
                    store.comeBack();
                    Log.write("the store is back as it was, at revision " + store.revision());
                }
                workers.forEach(Worker::register);
                Thread.sleep(STABLE_MILLIS);
                if (!first.isReady() || !second.isReady()) {
                    throw new CannotRunException("a host is not ready");
                }
                return Leaving.ruleBroken(store, workers.get(1), second);
            } finally {
                for (Worker worker : workers) {
                    worker.close();
                }
            }
        }
    }
}
