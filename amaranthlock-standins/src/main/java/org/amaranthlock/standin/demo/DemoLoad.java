package org.amaranthlock.standin.demo;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.amaranthlock.standin.Timing;

/** Runs the clients of the demo concurrently and prints each phase, which the demo script awaits to inject faults. */
final class DemoLoad {
    /** Number of tokens that every long generation must have received before faults may be injected. */
    private static final int MIN_RUNNING_TOKENS = 20;

    /** Time limit for all long generations to reach {@link #MIN_RUNNING_TOKENS}, in milliseconds. */
    private static final long RUNNING_TIMEOUT_MILLIS = 15_000;

    private static final long POLL_MILLIS = 50;

    private final ClientPool routers;
    private final Workload workload;
    private final String accountKey;
    private final PrintStream out;
    private final List<Future<RequestResult>> results = new ArrayList<>();

    /**
     * Number and size of the requests to send.
     *
     * @param longGenerations the number of long generations
     * @param longTokens the number of tokens of each long generation
     * @param shortGenerations the number of short generations
     * @param shortTokens the number of tokens of each short generation
     * @param orders the number of orders
     * @param spacingMillis the time between two orders, and between two short generations, in milliseconds
     * @param runId the part of all idempotency keys that differs between runs
     */
    record Workload(
            int longGenerations,
            int longTokens,
            int shortGenerations,
            int shortTokens,
            int orders,
            long spacingMillis,
            String runId) {}

    DemoLoad(ClientPool routers, Workload workload, String accountKey, PrintStream out) {
        this.routers = routers;
        this.workload = workload;
        this.accountKey = accountKey;
        this.out = out;
    }

    /** Sends all requests and returns their results in the order in which they were started. */
    List<RequestResult> run() throws InterruptedException, ExecutionException {
        try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
            printPhase("started");
            List<GenerationClient> longGenerations = startLongGenerations(executor);
            awaitRunningGenerations(longGenerations);
            printPhase("long-running");
            startShortRequests(executor);
            List<RequestResult> finished = new ArrayList<>();
            for (Future<RequestResult> result : results) {
                finished.add(result.get());
            }
            printPhase("finished");
            return finished;
        }
    }

    private List<GenerationClient> startLongGenerations(ExecutorService executor) {
        List<GenerationClient> generations = new ArrayList<>();
        for (int i = 0; i < workload.longGenerations(); i++) {
            GenerationClient generation = new GenerationClient(
                    routers, accountKey, label("draft", i), i, "drafts", true, workload.longTokens(), i + 1L);
            generations.add(generation);
            submit(executor, generation);
        }
        return generations;
    }

    private void startShortRequests(ExecutorService executor) {
        for (int i = 0; i < Math.max(workload.orders(), workload.shortGenerations()); i++) {
            if (i < workload.shortGenerations()) {
                submit(
                        executor,
                        new GenerationClient(
                                routers,
                                accountKey,
                                label("answer", i),
                                i,
                                "answers",
                                false,
                                workload.shortTokens(),
                                -1L - i));
            }
            if (i < workload.orders()) {
                submit(executor, new OrderClient(routers, accountKey, label("order", i), i));
            }
            if (i == workload.orders() / 4) {
                printPhase("orders-running");
            }
            Timing.sleep(workload.spacingMillis());
        }
    }

    private void awaitRunningGenerations(List<GenerationClient> generations) {
        long deadline = Timing.monotonicMillis() + RUNNING_TIMEOUT_MILLIS;
        while (Timing.monotonicMillis() < deadline
                && generations.stream().anyMatch(draft -> draft.position() < MIN_RUNNING_TOKENS)) {
            Timing.sleep(POLL_MILLIS);
        }
    }

    private void submit(ExecutorService executor, Callable<RequestResult> client) {
        results.add(executor.submit(client));
    }

    private String label(String kind, int number) {
        return kind + "-" + number + "-" + workload.runId();
    }

    private void printPhase(String name) {
        out.println("phase " + name);
        out.flush();
    }
}
