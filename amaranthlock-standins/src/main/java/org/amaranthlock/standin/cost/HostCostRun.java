package org.amaranthlock.standin.cost;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.amaranthlock.standin.fleet.LoadClient;
import org.amaranthlock.standin.fleet.LoadOutcome;

/** One fleet from its start to its end, with the costs of what happens to it. */
final class HostCostRun {
    private static final long POLL_MILLIS = 50;
    private static final long READY_TIMEOUT_MILLIS = 120_000;

    /** Time after the start in which a fleet comes to rest. */
    private static final long SETTLE_MILLIS = 8_000;

    /** Time after changes until all hosts have handled them. */
    private static final long APPLY_MILLIS = 3_000;

    private static final int CHANGES = 10;
    private static final int REQUESTS_PER_STREAM = 20;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final List<String> CALL_KINDS =
            List.of("peer-list", "peer-write", "configuration", "target-list", "target-watch", "prompt-part-list");

    private static final String SENT = "amaranthlock_peer_messages_total{direction=\"sent\"";
    private static final String RECEIVED = "amaranthlock_peer_messages_total{direction=\"received\"";
    private static final String SENT_BYTES = "amaranthlock_peer_bytes_total{direction=\"sent\"";
    private static final String RECEIVED_BYTES = "amaranthlock_peer_bytes_total{direction=\"received\"";

    private final CostFleet fleet;
    private final int idleSeconds;
    private final int requests;
    private final Map<String, Double> figures = new LinkedHashMap<>();

    /** Action whose cost is measured. */
    private interface Action {
        void run(int number) throws IOException, InterruptedException;
    }

    HostCostRun(CostFleet fleet, int idleSeconds, int requests) {
        this.fleet = fleet;
        this.idleSeconds = idleSeconds;
        this.requests = requests;
    }

    /** Measures all figures, in the order in which they are printed. */
    Map<String, Double> measure() throws IOException, InterruptedException {
        measureStart();
        measureIdle();
        figures.put("processor ms of a lookup", hostCount() * perAction(requests, this::lookup));
        figures.put(
                "processor ms of a stream of 20 events",
                hostCount() * perAction(requests / REQUESTS_PER_STREAM, this::stream));
        figures.put("processor ms of a configuration", perAction(CHANGES, this::changeConfiguration));
        figures.put("processor ms of a change of a target", perAction(CHANGES, fleet::changeTarget));
        measureHostChange();
        measureRestartOfAll();
        return figures;
    }

    private void measureStart() throws IOException, InterruptedException {
        int callsBefore = fleet.store().callCount();
        figures.put("processor ms until ready", startAll() / (double) hostCount());
        Thread.sleep(SETTLE_MILLIS);
        figures.put("processor ms until settled", processorMillis() / (double) hostCount());
        recordCalls("until settled", callsBefore);
    }

    /** Kills all hosts in the same moment and starts them again; their registrations stand. */
    private void measureRestartOfAll() throws IOException, InterruptedException {
        int callsBefore = fleet.store().callCount();
        fleet.hosts().forEach(fleet::kill);
        startAll();
        Thread.sleep(SETTLE_MILLIS);
        recordCalls("after a kill of all hosts", callsBefore);
    }

    /** Records the calls of all hosts since their start, and by what they do as far as they have been answered. */
    private void recordCalls(String when, int callsBefore) throws IOException, InterruptedException {
        figures.put("calls to the store " + when, (fleet.store().callCount() - callsBefore) / (double) hostCount());
        for (String kind : CALL_KINDS) {
            double calls = counters("amaranthlock_store_calls_total{kind=\"" + kind + "\"");
            figures.put("- " + kind + " " + when, calls / hostCount());
        }
    }

    /** Starts all hosts and waits until they are ready; returns their processor time until then. */
    private long startAll() throws IOException, InterruptedException {
        for (CostFleet.Host host : fleet.hosts()) {
            fleet.start(host);
        }
        long total = 0;
        List<CostFleet.Host> waiting = new ArrayList<>(fleet.hosts());
        long deadline = System.currentTimeMillis() + READY_TIMEOUT_MILLIS;
        while (!waiting.isEmpty() && System.currentTimeMillis() < deadline) {
            for (CostFleet.Host host : List.copyOf(waiting)) {
                if (fleet.isReady(host)) {
                    total += host.processorMillis();
                    waiting.remove(host);
                }
            }
            Thread.sleep(POLL_MILLIS);
        }
        if (!waiting.isEmpty()) {
            throw new IllegalStateException(waiting.size() + " hosts did not become ready; look at their output");
        }
        return total;
    }

    private void measureIdle() throws IOException, InterruptedException {
        double sent = counters(SENT);
        double received = counters(RECEIVED);
        double sentBytes = counters(SENT_BYTES);
        double receivedBytes = counters(RECEIVED_BYTES);
        int calls = fleet.store().callCount();
        long before = processorMillis();
        Thread.sleep(idleSeconds * 1_000L);
        double hostSeconds = hostCount() * (double) idleSeconds;
        figures.put("processor ms of an idle second", (processorMillis() - before) / hostSeconds);
        figures.put("calls to the store of an idle second", (fleet.store().callCount() - calls) / hostSeconds);
        figures.put("messages sent in an idle second", (counters(SENT) - sent) / hostSeconds);
        figures.put("messages received in an idle second", (counters(RECEIVED) - received) / hostSeconds);
        figures.put("bytes sent in an idle second", (counters(SENT_BYTES) - sentBytes) / hostSeconds);
        figures.put("bytes received in an idle second", (counters(RECEIVED_BYTES) - receivedBytes) / hostSeconds);
    }

    /** Returns the processor time of a host for one action, without what an idle host takes. */
    private double perAction(int count, Action action) throws IOException, InterruptedException {
        long before = processorMillis();
        long startedAt = System.nanoTime();
        for (int number = 0; number < count; number++) {
            action.run(number);
        }
        Thread.sleep(APPLY_MILLIS);
        double seconds = (System.nanoTime() - startedAt) / 1e9;
        double perHost = (processorMillis() - before) / (double) hostCount();
        return (perHost - seconds * idleMillisPerSecond()) / count;
    }

    /** Returns what an idle host takes now, which falls for some time after the start. */
    private double idleMillisPerSecond() throws InterruptedException {
        long before = processorMillis();
        Thread.sleep(APPLY_MILLIS);
        return (processorMillis() - before) * MILLIS_PER_SECOND / APPLY_MILLIS / hostCount();
    }

    private void lookup(int number) {
        check(new LoadClient(clientAddresses(), number % hostCount()).lookup("look-" + number));
    }

    private void stream(int number) {
        check(new LoadClient(clientAddresses(), number % hostCount()).stream("stream-" + number));
    }

    private void changeConfiguration(int number) throws InterruptedException {
        fleet.changeConfiguration();
        Thread.sleep((long) (MILLIS_PER_SECOND / 2));
    }

    /** Measures what the restart of one host costs the others. */
    private void measureHostChange() throws IOException, InterruptedException {
        CostFleet.Host restarted = fleet.hosts().getLast();
        long before = processorMillis() - restarted.processorMillis();
        long startedAt = System.nanoTime();
        fleet.kill(restarted);
        fleet.start(restarted);
        while (!fleet.isReady(restarted)) {
            Thread.sleep(POLL_MILLIS);
        }
        figures.put("processor ms of a restart until ready", (double) restarted.processorMillis());
        Thread.sleep(APPLY_MILLIS);
        double seconds = (System.nanoTime() - startedAt) / 1e9;
        double others = processorMillis() - restarted.processorMillis() - before;
        figures.put(
                "processor ms of the restart of another host",
                others / Math.max(1, hostCount() - 1) - seconds * idleMillisPerSecond());
    }

    private List<String> clientAddresses() {
        return fleet.hosts().stream().map(CostFleet.Host::clientAddress).toList();
    }

    private static void check(LoadOutcome outcome) {
        if (outcome != LoadOutcome.COMPLETE) {
            throw new IllegalStateException("a request was not served at the first attempt: " + outcome);
        }
    }

    private int hostCount() {
        return fleet.hosts().size();
    }

    private long processorMillis() {
        return fleet.hosts().stream().mapToLong(CostFleet.Host::processorMillis).sum();
    }

    private double counters(String prefix) throws IOException, InterruptedException {
        double sum = 0;
        for (CostFleet.Host host : fleet.hosts()) {
            sum += fleet.counter(host, prefix);
        }
        return sum;
    }
}
