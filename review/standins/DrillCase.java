import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * The store comes back from a copy some seconds old; afterwards a worker reports that it leaves.
 *
 * <p>Checks DRAIN: no request that was sent later than {@code drain_ms} after the store acknowledged the report reaches
 * the worker. Two hosts of one zone run; the second one learns of workers through the first.
 */
final class DrillCase implements Case {
    private static final long DRAIN_MILLIS = 2_500;

    /** Time for which the calm store and hosts run before the worker leaves; {@code stable_ms} is 4 s. */
    private static final long STABLE_MILLIS = 5_000;

    /** Time for which the store is away. */
    private static final long AWAY_MILLIS = 200;

    /** How long the leaving worker serves on after its report, in milliseconds: drain_ms and a little longer. */
    private static final long SERVES_ON_MILLIS = 3_400;

    private static final int VERSIONS = 5;
    private static final int ORDERS = 9;

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
                return leave(store, workers.get(1), second);
            } finally {
                for (Worker worker : workers) {
                    worker.close();
                }
            }
        }
    }

    private static boolean leave(Store store, Worker leaving, Host host) throws Exception {
        long acknowledgedAt = leaving.reportDraining();
        Log.write("worker " + leaving.id + " reports draining, acked at revision " + store.revision());
        Clock.sleepUntil(acknowledgedAt + DRAIN_MILLIS + 500);
        CountDownLatch answered = new CountDownLatch(ORDERS);
        long firstSentAt = Clock.millis();
        List<Integer> statuses = Collections.synchronizedList(new ArrayList<>());
        for (int i = 0; i < ORDERS; i++) {
            String id = "o-late-" + i;
            Thread.ofPlatform().daemon().start(() -> {
                statuses.add(Client.order(host.front, id, "key-a"));
                answered.countDown();
            });
        }
        Clock.sleepUntil(acknowledgedAt + SERVES_ON_MILLIS);
        leaving.close();
        Log.write("worker " + leaving.id + " exits " + (Clock.millis() - acknowledgedAt) + " ms after the acknowledgement");
        answered.await(8, TimeUnit.SECONDS);
        long late = Worker.RUNS.stream()
                .filter(run -> run.worker().equals(leaving.id) && run.id().startsWith("o-late"))
                .count();
        store.remove("servers", leaving.id);
        Log.write("first late order sent " + (firstSentAt - acknowledgedAt) + " ms after the acknowledgement; late orders at "
                + leaving.id + ": " + late + "; statuses " + statuses);
        return late > 0;
    }
}
