import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * One host is cut from the store in silence, and a worker reports that it leaves.
 *
 * <p>Checks DRAIN at the other host of the zone, which reaches the store: no order that was sent later than {@code
 * drain_ms} after the store acknowledged the report reaches the worker.
 */
final class CutReaderCase implements Case {
    /** How long the host is cut, in milliseconds. */
    private static final long CUT_MILLIS = 5_500;

    /** Time from the entry of a new worker to the cut, in milliseconds. */
    private static final long ENTRY_BEFORE_CUT_MILLIS = 500;

    @Override
    public boolean ruleBroken(Path folder, boolean trouble) throws Exception {
        List<Worker> workers = new ArrayList<>();
        try (Store store = new Store("127.0.0.1");
                Proxy link = new Proxy("127.0.0.1", store.address())) {
            store.put("config", "main", Config.of(7, List.of("key-a"), 5_000));
            for (int i = 0; i < 4; i++) {
                Worker worker = new Worker("127.0.0.1", "i-" + i, "orders", "muc-halle1", store);
                worker.workMillis = 600;
                workers.add(worker);
            }
            workers.subList(0, 3).forEach(Worker::register);
            try (Host first = new Host(folder, "127.0.0.1", "front-1", "muc-halle1", link.address());
                    Host second = new Host(folder, "127.0.0.1", "front-2", "muc-halle1", store.address())) {
                first.awaitReady();
                second.awaitReady();
                Thread.sleep(9_000); // the hosts find each other, and the second one asks the first
                if (Client.order(second.front, "o-before", "key-a") != 200) {
                    throw new CannotRunException("no order is served before the cut");
                }
                workers.get(3).register();
                Log.write("worker i-3 is added, revision " + store.revision());
                Thread.sleep(ENTRY_BEFORE_CUT_MILLIS);
                if (trouble) {
                    link.silent(true);
                    Log.write("front-1 is cut from the store");
                }
                Thread ended = Thread.ofPlatform().daemon().start(() -> endCut(link));
                Thread.sleep(100);
                boolean broken = Leaving.ruleBroken(store, workers.get(1), second);
                ended.join();
                return broken;
            } finally {
                for (Worker worker : workers) {
                    worker.close();
                }
            }
        }
    }

    private static void endCut(Proxy link) {
        try {
            Thread.sleep(CUT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        link.silent(false);
    }
}
