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
    private static final int RUNNING_TOKENS = 20;

    /** Bound on the wait for running long generations, in milliseconds. */
    private static final long RUNNING_MILLIS = 15_000;

    private static final long POLL_MILLIS = 50;

    private final RouterPool routers;
    private final Sizes sizes;
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
    record Sizes(
            int longAnswers,
            int longTokens,
            int shortAnswers,
            int shortTokens,
            int orders,
            long spacingMillis,
            String runId) {}

    DemoLoad(RouterPool routers, Sizes sizes, String accountKey, PrintStream out) {
        this.routers = routers;
        this.sizes = sizes;
        this.accountKey = accountKey;
        this.out = out;
    }

    /** Runs everything and returns the results in the order of the starts. */
    List<RequestResult> run() throws InterruptedException, ExecutionException {
        try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
            phase("started");
            List<GenerationCaller> drafts = startDrafts(callers);
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

    private List<GenerationCaller> startDrafts(ExecutorService callers) {
        List<GenerationCaller> drafts = new ArrayList<>();
        for (int i = 0; i < sizes.longAnswers(); i++) {
            GenerationCaller draft = new GenerationCaller(
                    routers, accountKey, label("draft", i), i, "drafts", true, sizes.longTokens(), i + 1L);
            drafts.add(draft);
            submit(callers, draft);
        }
        return drafts;
    }

    private void startShortWork(ExecutorService callers) {
        for (int i = 0; i < Math.max(sizes.orders(), sizes.shortAnswers()); i++) {
            if (i < sizes.shortAnswers()) {
                submit(
                        callers,
                        new GenerationCaller(
                                routers,
                                accountKey,
                                label("answer", i),
                                i,
                                "answers",
                                false,
                                sizes.shortTokens(),
                                -1L - i));
            }
            if (i < sizes.orders()) {
                submit(callers, new OrderCaller(routers, accountKey, label("order", i), i));
            }
            if (i == sizes.orders() / 4) {
                phase("orders-running");
            }
            Timing.sleep(sizes.spacingMillis());
        }
    }

    private void awaitRunning(List<GenerationCaller> drafts) {
        long deadline = Timing.monotonicMillis() + RUNNING_MILLIS;
        while (Timing.monotonicMillis() < deadline
                && drafts.stream().anyMatch(draft -> draft.position() < RUNNING_TOKENS)) {
            Timing.sleep(POLL_MILLIS);
        }
    }

    private void submit(ExecutorService callers, Callable<RequestResult> caller) {
        results.add(callers.submit(caller));
    }

    private String label(String kind, int number) {
        return kind + "-" + number + "-" + sizes.runId();
    }

    private void phase(String name) {
        out.println("phase " + name);
        out.flush();
    }
}
