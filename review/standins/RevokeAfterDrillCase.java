import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The store comes back from a copy some seconds old, and the operator takes a key away.
 *
 * <p>Checks CONFIG: no request with the key that is sent later than {@code revoke_ms} after the acknowledgement runs. Two
 * hosts of two zones run.
 */
final class RevokeAfterDrillCase implements Case {
    private static final long REVOKE_MILLIS = 5_000;

    /** Time for which the store is away. */
    private static final long AWAY_MILLIS = 300;

    private static final String REVOKED = "key-a";
    private static final String KEPT = "key-b";

    @Override
    public boolean ruleBroken(Path folder, boolean trouble) throws Exception {
        List<Worker> workers = new ArrayList<>();
        try (Store store = new Store("127.0.0.1")) {
            store.put("config", "main", Config.of(7, List.of(REVOKED, KEPT), 5_000));
            for (int i = 0; i < 3; i++) {
                Worker worker = new Worker("127.0.0.1", "i-" + i, "orders", "muc-halle1", store);
                workers.add(worker);
                worker.register();
            }
            try (Host first = new Host(folder, "127.0.0.1", "front-1", "muc-halle1", store.address());
                    Host second = new Host(folder, "127.0.0.1", "front-2", "nbg-halle2", store.address())) {
                List<Host> hosts = List.of(first, second);
                for (Host host : hosts) {
                    host.awaitReady();
                }
                Thread.sleep(4_000);
                for (Host host : hosts) {
                    if (Client.order(host.front, "o-before-" + host.name, REVOKED) != 200) {
                        throw new CannotRunException("no order is served before the drill");
                    }
                }
                Store.Copy copy = store.copy();
                Log.write("the store's copy is taken at revision " + copy.revision());
                for (int version = 8; version <= 9; version++) {
                    Thread.sleep(800);
                    long revision = store.put("config", "main", Config.of(version, List.of(REVOKED, KEPT), 5_000 + version));
                    Log.write("config version " + version + " acked at revision " + revision);
                }
                Thread.sleep(2_000);
                store.goAway();
                Log.write("the store is away");
                Thread.sleep(AWAY_MILLIS);
                if (trouble) {
                    store.comeBackFrom(copy);
                } else {
                    store.comeBack();
                }
                Log.write("the store is back at revision " + store.revision());
                long again = store.put("config", "main", Config.of(9, List.of(REVOKED, KEPT), 5_009));
                Log.write("config version 9 is written again, revision " + again);
                long revision = store.put("config", "main", Config.of(10, List.of(KEPT), 5_010));
                long acknowledgedAt = Clock.millis();
                Log.write("config version 10, which takes " + REVOKED + " away, acked at revision " + revision);
                workers.forEach(Worker::register);
                return use(hosts, acknowledgedAt);
            } finally {
                for (Worker worker : workers) {
                    worker.close();
                }
            }
        }
    }

    /** Sends orders with both keys after the bound, and once more much later. */
    private static boolean use(List<Host> hosts, long acknowledgedAt) throws Exception {
        for (long afterMillis : List.of(REVOKE_MILLIS + 500, REVOKE_MILLIS + 10_000)) {
            Clock.sleepUntil(acknowledgedAt + afterMillis);
            for (Host host : hosts) {
                Client.order(host.front, "o-revoked-" + host.name + "-" + afterMillis, REVOKED);
                if (Client.order(host.front, "o-kept-" + host.name + "-" + afterMillis, KEPT) != 200) {
                    Log.write("an order with the key that was kept is not served");
                }
            }
        }
        long late = Worker.RUNS.stream().filter(run -> run.id().startsWith("o-revoked")).count();
        Log.write("orders with the key that was taken away that ran later than revoke_ms: " + late);
        return late > 0;
    }
}
