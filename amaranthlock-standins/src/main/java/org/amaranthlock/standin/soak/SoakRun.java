package org.amaranthlock.standin.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.amaranthlock.standin.fleet.LoadClient;
import org.amaranthlock.standin.fleet.LoadOutcome;

/**
 * One seed: load and faults that come in series and overlap, then a quiet end in which all must be served again.
 *
 * <p>Checked are the promises that callers and workers can see: no order runs twice, none runs that was called "not run",
 * no answer is wrong, and everything is served once the faults are over.
 */
final class SoakRun {
    private static final long MAX_FAULT_INTERVAL_MILLIS = 900;
    private static final long REQUEST_INTERVAL_MILLIS = 40;

    /** Time without faults before everything must be served: a process starts, the store is read, a pause ends. */
    private static final long RECOVERY_MILLIS = 6_000;

    private static final int FINAL_LOOKUPS = 12;

    private final SoakFleet fleet;
    private final Random random;
    private final List<String> faultDescriptions = new CopyOnWriteArrayList<>();
    private final Set<String> refusedOrders = Collections.synchronizedSet(new HashSet<>());

    SoakRun(SoakFleet fleet, long seed) {
        this.fleet = fleet;
        this.random = new Random(seed);
    }

    /** Returns the faults that were injected, in order. */
    List<String> faults() {
        return faultDescriptions;
    }

    /** Runs for a time and returns what was violated. */
    List<String> run(int seconds) throws IOException, InterruptedException, ExecutionException {
        List<String> violations = new ArrayList<>();
        Map<LoadOutcome, Integer> outcomes;
        try (ExecutorService faultThreads = Executors.newVirtualThreadPerTaskExecutor()) {
            Future<Map<LoadOutcome, Integer>> load = faultThreads.submit(() -> runLoad(seconds));
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
            while (System.nanoTime() < end) {
                Thread.sleep(random.nextLong(MAX_FAULT_INTERVAL_MILLIS));
                Fault fault = Fault.random(random, fleet);
                faultDescriptions.add(fault.description());
                faultThreads.submit(fault::inject);
            }
            outcomes = load.get();
        }
        Thread.sleep(RECOVERY_MILLIS);
        for (int i = 0; i < FINAL_LOOKUPS; i++) {
            LoadOutcome outcome = new LoadClient(fleet.entryAddresses(), i).lookup("last-" + i);
            if (outcome != LoadOutcome.COMPLETE) {
                violations.add("lookup last-" + i + " after the faults: " + outcome);
            }
        }
        if (outcomes.containsKey(LoadOutcome.WRONG)) {
            violations.add("wrong answers: " + outcomes.get(LoadOutcome.WRONG));
        }
        checkOrders(violations);
        System.out.println("  " + outcomes + ", refused attempts of orders " + refusedOrders.size());
        return violations;
    }

    private void checkOrders(List<String> violations) throws IOException {
        Set<String> seen = new HashSet<>();
        for (String id : fleet.executedOrders()) {
            if (!seen.add(id)) {
                violations.add("order " + id + " ran twice");
            }
            if (refusedOrders.contains(id)) {
                violations.add("order " + id + " ran and was called not run");
            }
        }
        if (seen.isEmpty()) {
            violations.add("no order ran, so nothing was checked");
        }
    }

    private Map<LoadOutcome, Integer> runLoad(int seconds) throws InterruptedException, ExecutionException {
        List<Future<LoadOutcome>> results = new ArrayList<>();
        try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
            for (int i = 0; System.nanoTime() < end; i++) {
                int number = i;
                results.add(callers.submit(() -> sendRequest(number)));
                Thread.sleep(REQUEST_INTERVAL_MILLIS);
            }
        }
        Map<LoadOutcome, Integer> outcomes = new TreeMap<>();
        for (Future<LoadOutcome> result : results) {
            outcomes.merge(result.get(), 1, Integer::sum);
        }
        return outcomes;
    }

    private LoadOutcome sendRequest(int number) {
        LoadClient caller = new LoadClient(fleet.entryAddresses(), number);
        return switch (number % 4) {
            case 0 -> caller.stream("s" + number);
            case 1 -> caller.lookup("l" + number);
            default -> {
                LoadOutcome outcome = caller.order("o" + number);
                refusedOrders.addAll(caller.refusedAttempts());
                yield outcome;
            }
        };
    }
}
