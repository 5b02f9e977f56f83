package org.amaranthlock.standin.soak;

import java.io.IOException;
import java.nio.file.Path;
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
 * Soak run for one seed: load during random, partly overlapping faults, then a period without faults, then a roll-out.
 *
 * <p>Checks the guarantees that clients and workers can observe: no worker executes more than the limit that it names
 * allows, no order runs twice, no order runs that was reported
 * as "not run", no response is wrong or holds events of engines of two versions, and every lookup is served again once the faults are over.
 */
final class SoakRun {
    private static final long MAX_FAULT_INTERVAL_MILLIS = 900;
    private static final long REQUEST_INTERVAL_MILLIS = 40;

    /** Time for processes to restart, read the store and resume from a pause before every lookup must be served. */
    private static final long RECOVERY_MILLIS = 6_000;

    private static final int FINAL_LOOKUPS = 12;

    private final SoakFleet fleet;
    private final Random random;

    /** Draws releases apart from the other faults, like the limits. */
    private final Random releaseRandom;

    /** Draws limits apart from the other faults, which stay the same for a seed. */
    private final Random limitRandom;

    /** Draws the roll-out from a seed of its own, so that the faults of a seed stay the same. */
    private final Random rolloutRandom;

    private final List<String> faultDescriptions = new CopyOnWriteArrayList<>();
    private final Set<String> rejectedOrderAttempts = Collections.synchronizedSet(new HashSet<>());

    SoakRun(SoakFleet fleet, long seed) {
        this.fleet = fleet;
        this.random = new Random(seed);
        this.limitRandom = new Random(~seed);
        this.releaseRandom = new Random(-seed);
        this.rolloutRandom = new Random((seed - 1) * 31);
    }

    /** Returns the descriptions of the injected faults, in order. */
    List<String> injectedFaults() {
        return faultDescriptions;
    }

    /** Runs load and faults for the given time and returns the violated guarantees. */
    List<String> run(int seconds) throws IOException, InterruptedException, ExecutionException {
        List<String> violations = new ArrayList<>();
        Map<LoadOutcome, Integer> outcomes;
        try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
            Future<Map<LoadOutcome, Integer>> load = executor.submit(() -> runLoad(seconds));
            Fault limit = Fault.requestLimit(limitRandom, fleet, TimeUnit.SECONDS.toMillis(seconds));
            faultDescriptions.add(limit.description());
            executor.submit(limit::inject);
            if (!fleet.mixesBuilds()) { // an earlier build may not keep the versions of streams apart
                Fault release = Fault.release(releaseRandom, fleet, TimeUnit.SECONDS.toMillis(seconds));
                faultDescriptions.add(release.description());
                executor.submit(release::inject);
            }
            long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
            while (System.nanoTime() < endNanos) {
                Thread.sleep(random.nextLong(MAX_FAULT_INTERVAL_MILLIS));
                Fault fault = Fault.random(random, fleet);
                faultDescriptions.add(fault.description());
                executor.submit(fault::inject);
            }
            outcomes = load.get();
        }
        Thread.sleep(RECOVERY_MILLIS);
        for (int i = 0; i < FINAL_LOOKUPS; i++) {
            LoadOutcome outcome = new LoadClient(fleet.entryAddresses(), i).lookup("last-" + i);
            if (outcome != LoadOutcome.COMPLETE) {
                violations.add("lookup last-" + i + " after the faults ended with " + outcome);
            }
        }
        if (outcomes.containsKey(LoadOutcome.WRONG)) {
            violations.add("wrong responses: " + outcomes.get(LoadOutcome.WRONG));
        }
        RolloutRun rollout = new RolloutRun(fleet, rolloutRandom);
        faultDescriptions.add(rollout.description());
        violations.addAll(rollout.run());
        checkOrders(violations);
        if (fleet.unreadableMessages() > 0) {
            violations.add("messages that another host could not read: " + fleet.unreadableMessages());
        }
        for (Path output : fleet.workerOutputs()) {
            violations.addAll(LimitCheck.violations(output));
        }
        System.out.println("  " + outcomes + ", rejected order attempts: " + rejectedOrderAttempts.size());
        return violations;
    }

    private void checkOrders(List<String> violations) throws IOException {
        Set<String> executed = new HashSet<>();
        for (String id : fleet.executedOrders()) {
            if (!executed.add(id)) {
                violations.add("order " + id + " ran more than once");
            }
            if (rejectedOrderAttempts.contains(id)) {
                violations.add("order " + id + " ran although it was reported as not run");
            }
        }
        if (executed.isEmpty()) {
            violations.add("no order ran, so nothing was checked");
        }
    }

    private Map<LoadOutcome, Integer> runLoad(int seconds) throws InterruptedException, ExecutionException {
        List<Future<LoadOutcome>> results = new ArrayList<>();
        try (ExecutorService clients = Executors.newVirtualThreadPerTaskExecutor()) {
            long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
            for (int i = 0; System.nanoTime() < endNanos; i++) {
                int number = i;
                results.add(clients.submit(() -> sendRequest(number)));
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
        LoadClient client = new LoadClient(fleet.entryAddresses(), number, SoakFleet.ENGINE_VERSIONS);
        return switch (number % 4) {
            case 0 -> client.stream("s" + number);
            case 1 -> client.lookup("l" + number);
            default -> {
                LoadOutcome outcome = client.order("o" + number);
                rejectedOrderAttempts.addAll(client.rejectedAttempts());
                yield outcome;
            }
        };
    }
}
