package org.amaranthlock.standin.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.amaranthlock.standin.fleet.LoadClient;
import org.amaranthlock.standin.fleet.LoadOutcome;

/**
 * Roll-out of a good or a bad version of one service, under load and beside at most one fault.
 *
 * <p>A good version must be completed in time, a bad one must be rolled back within the bounds of exposure, and streams
 * must keep their version.
 */
final class RolloutRun {
    private static final String VERSION = "v3";
    private static final int DURATION_SECONDS = 10;

    /** Time for which the load goes on after the final state, which must be kept. */
    private static final long AFTERWARDS_MILLIS = 1_500;

    private static final long POLL_INTERVAL_MILLIS = 50;
    private static final long LOOKUP_INTERVAL_MILLIS = 20;
    private static final long STREAM_INTERVAL_MILLIS = 120;
    private static final long LATEST_FAILURE_MILLIS = 3_000;

    private final SoakFleet fleet;
    private final SoakFleet.Role role;
    private final boolean bad;
    private final long failsAfterMillis;
    private final Fault fault;
    private volatile boolean ended;

    RolloutRun(SoakFleet fleet, Random random) {
        this.fleet = fleet;
        this.role = random.nextInt(3) == 0 ? SoakFleet.Role.ENGINE : SoakFleet.Role.DESK;
        this.bad = random.nextBoolean();
        this.failsAfterMillis = random.nextLong(LATEST_FAILURE_MILLIS);
        this.fault = Fault.besideRollout(random, fleet);
    }

    /** Returns what is ordered and which fault is injected. */
    String description() {
        String version = bad ? "bad version, failing after " + failsAfterMillis + " ms" : "good version";
        return "roll-out of " + SoakFleet.service(role) + " to a " + version + "; " + fault.description();
    }

    /** Runs the roll-out and returns the violated guarantees. */
    List<String> run() throws IOException, InterruptedException, ExecutionException {
        List<String> violations = new ArrayList<>();
        List<Path> oldOutputs = outputs();
        List<Path> newOutputs;
        Map<LoadOutcome, Integer> outcomes;
        RolloutCheck check;
        try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
            Future<Map<LoadOutcome, Integer>> load = executor.submit(this::runLoad);
            long orderedMillis = System.currentTimeMillis();
            fleet.orderRollout(role, VERSION, DURATION_SECONDS);
            executor.submit(fault::inject);
            newOutputs = fleet.startRolloutWorkers(role, workerArguments());
            long deadlineMillis = orderedMillis + TimeUnit.SECONDS.toMillis(DURATION_SECONDS);
            String state = awaitFinalState(deadlineMillis);
            long finishedMillis = System.currentTimeMillis();
            String expected = bad ? "rolled_back" : "completed";
            if (!state.equals(expected)) {
                violations.add("the state is \"" + state + "\" after " + (finishedMillis - orderedMillis)
                        + " ms instead of \"" + expected + "\"");
            }
            Thread.sleep(AFTERWARDS_MILLIS);
            ended = true;
            outcomes = load.get();
            check = new RolloutCheck(orderedMillis, deadlineMillis, finishedMillis, state.equals("completed"));
        }
        violations.addAll(check.violations(oldOutputs, newOutputs));
        if (outcomes.containsKey(LoadOutcome.WRONG)) {
            violations.add("wrong responses during a roll-out: " + outcomes.get(LoadOutcome.WRONG));
        }
        System.out.println("  " + description() + ": " + outcomes);
        return violations;
    }

    private List<String> workerArguments() {
        List<String> version = List.of("--software-version", VERSION);
        List<String> failing = List.of("--fails-after-millis", Long.toString(failsAfterMillis));
        return bad ? Stream.concat(version.stream(), failing.stream()).toList() : version;
    }

    private List<Path> outputs() {
        String prefix = role.name().toLowerCase(Locale.ROOT);
        return fleet.workerOutputs().stream()
                .filter(output -> output.getFileName().toString().startsWith(prefix))
                .toList();
    }

    /** Polls the state from the store itself, until it is final or the time is over. */
    private String awaitFinalState(long deadlineMillis) throws IOException, InterruptedException {
        String state = fleet.rolloutState(role);
        while (System.currentTimeMillis() < deadlineMillis && (state.isEmpty() || state.equals("running"))) {
            Thread.sleep(POLL_INTERVAL_MILLIS);
            state = fleet.rolloutState(role);
        }
        return state;
    }

    private Map<LoadOutcome, Integer> runLoad() throws InterruptedException, ExecutionException {
        boolean streams = role == SoakFleet.Role.ENGINE;
        List<String> versions = Stream.concat(SoakFleet.ENGINE_VERSIONS.stream(), Stream.of(VERSION))
                .toList();
        List<Future<LoadOutcome>> results = new ArrayList<>();
        try (ExecutorService clients = Executors.newVirtualThreadPerTaskExecutor()) {
            for (int i = 0; !ended; i++) {
                LoadClient client = new LoadClient(fleet.entryAddresses(), i, versions);
                String id = "v" + i;
                results.add(clients.submit(() -> streams ? client.stream(id) : client.lookup(id)));
                Thread.sleep(streams ? STREAM_INTERVAL_MILLIS : LOOKUP_INTERVAL_MILLIS);
            }
        }
        Map<LoadOutcome, Integer> outcomes = new TreeMap<>();
        for (Future<LoadOutcome> result : results) {
            outcomes.merge(result.get(), 1, Integer::sum);
        }
        return outcomes;
    }
}
