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

/** Runs the callers of the demo concurrently and prints a line at the start of every phase. */
final class DemoLoad {
    /** Tokens that every long generation must have before faults may be injected. */
    private static final int MIN_RUNNING_TOKENS = 20;

    /** Bound on the wait for running long generations, in milliseconds. */
    private static final long RUNNING_TIMEOUT_MILLIS = 15_000;

    private static final long POLL_MILLIS = 50;

    private final ClientPool routers;
    private final Workload workload;
    private final String accountKey;
    private final PrintStream out;
    private final List<Future<RequestResult>> results = new ArrayList<>();

    /**
     * Amount of work.
     *
     * @param longAnswers number of long generations
     * @param longTokens tokens of each
     * @param shortAnswers number of short generations
     * @param shortTokens tokens of each
     * @param orders number of orders
     * @param spacingMillis time between two orders, and between two short generations, in milliseconds
     * @param runId part of all keys that differs between runs
     */
    record Workload(
            int longAnswers,
            int longTokens,
            int shortAnswers,
            int shortTokens,
            int orders,
            long spacingMillis,
            String runId) {}

    DemoLoad(ClientPool routers, Workload sizes, String accountKey, PrintStream out) {
        this.routers = routers;
        this.workload = sizes;
        this.accountKey = accountKey;
        this.out = out;
    }

    /** Runs everything and returns the results in the order of the starts. */
    List<RequestResult> run() throws InterruptedException, ExecutionException {
        try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
            phase("started");
            List<GenerationClient> drafts = startDrafts(callers);
            awaitRunning(drafts);
            phase("long-running");
            startShortWork(callers);
            List<RequestResult> finished = new ArrayList<>();
            for (Future<RequestResult> result : results) {
                finished.add(result.get());
            }
            phase("finished");
            return finished;
        }
    }

    private List<GenerationClient> startDrafts(ExecutorService callers) {
        List<GenerationClient> drafts = new ArrayList<>();
        for (int i = 0; i < workload.longAnswers(); i++) {
            GenerationClient draft = new GenerationClient(
                    routers, accountKey, label("draft", i), i, "drafts", true, workload.longTokens(), i + 1L);
            drafts.add(draft);
            submit(callers, draft);
        }
        return drafts;
    }

    private void startShortWork(ExecutorService callers) {
        for (int i = 0; i < Math.max(workload.orders(), workload.shortAnswers()); i++) {
            if (i < workload.shortAnswers()) {
                submit(
                        callers,
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
                submit(callers, new OrderClient(routers, accountKey, label("order", i), i));
            }
            if (i == workload.orders() / 4) {
                phase("orders-running");
            }
            Timing.sleep(workload.spacingMillis());
        }
    }

    private void awaitRunning(List<GenerationClient> drafts) {
        long deadline = Timing.monotonicMillis() + RUNNING_TIMEOUT_MILLIS;
        while (Timing.monotonicMillis() < deadline
                && drafts.stream().anyMatch(draft -> draft.position() < MIN_RUNNING_TOKENS)) {
            Timing.sleep(POLL_MILLIS);
        }
    }

    private void submit(ExecutorService callers, Callable<RequestResult> caller) {
        results.add(callers.submit(caller));
    }

    private String label(String kind, int number) {
        return kind + "-" + number + "-" + workload.runId();
    }

    private void phase(String name) {
        out.println("phase " + name);
        out.flush();
    }
}
