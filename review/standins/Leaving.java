import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Check of DRAIN: a worker leaves, and orders are sent to a host after that. */
final class Leaving {
    private static final long DRAIN_MILLIS = 2_500;

    /** How long after the bound the orders are sent, in milliseconds. */
    private static final long LATER_MILLIS = 500;

    /** How long the leaving worker serves on after its report, in milliseconds: drain_ms and a little longer. */
    private static final long SERVES_ON_MILLIS = 3_400;

    private static final int ORDERS = 9;

    private Leaving() {}

    /** Lets a worker report that it leaves, sends orders after drain_ms, and returns whether one reaches the worker. */
    static boolean ruleBroken(Store store, Worker leaving, Host host) throws Exception {
        long acknowledgedAt = leaving.reportDraining();
        Log.write("worker " + leaving.id + " reports draining, acked at revision " + store.revision());
        Clock.sleepUntil(acknowledgedAt + DRAIN_MILLIS + LATER_MILLIS);
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
