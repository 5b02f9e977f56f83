package org.amaranthlock.faults;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against a result that is not allowed after a fault at any step of any kind of request. */
class FaultMatrixTest {
    private static final long SEED = 20_261_203;
    private static final AtomicInteger MISLEADING_REFUSALS = new AtomicInteger();
    private static final Map<FaultMatrixCell, String> RESULTS = new ConcurrentHashMap<>();

    static Stream<FaultMatrixCell> cells() {
        return FaultMatrixCell.all().stream()
                .filter(cell -> cell.notApplicableReason().isEmpty());
    }

    @ParameterizedTest
    @MethodSource("cells")
    void everyFaultAtEveryStepHasAnAllowedResult(FaultMatrixCell cell) {
        RESULTS.put(cell, "FAILED");
        FaultMatrixCellRun run = new FaultMatrixCellRun(cell, SEED);
        List<String> violations = run.run();
        MISLEADING_REFUSALS.addAndGet(run.misleadingRefusalCount());
        assertWithMessage(cell.toString()).that(violations).isEmpty();
        RESULTS.put(cell, "passed");
    }

    @AfterAll
    static void printTable() {
        Map<String, Map<String, Integer>> rows = new TreeMap<>();
        Map<String, Integer> totals = new TreeMap<>();
        for (FaultMatrixCell cell : FaultMatrixCell.all()) {
            String result = cell.notApplicableReason()
                    .map(reason -> "n/a: " + reason)
                    .orElseGet(() -> RESULTS.getOrDefault(cell, "MISSING"));
            rows.computeIfAbsent(cell.kind().toString(), kind -> new TreeMap<>())
                    .merge(result, 1, Integer::sum);
            totals.merge(result, 1, Integer::sum);
        }
        StringBuilder table =
                new StringBuilder("Fault matrix, " + FaultMatrixCell.all().size() + " cells\n");
        rows.forEach((kind, counts) -> table.append(String.format("%-22s %s%n", kind, counts)));
        table.append("total                  ").append(totals);
        System.out.println(
                table.append("\nretries refused as NOT_RUN although an earlier call with the key was executed: ")
                        .append(MISLEADING_REFUSALS));
        assertWithMessage("cells without a result").that(totals).doesNotContainKey("MISSING");
        // A client that trusts such a refusal orders again with a new key, and the order is executed twice.
        assertWithMessage("retries refused as NOT_RUN with a key that had been executed")
                .that(MISLEADING_REFUSALS.get())
                .isEqualTo(0);
    }
}
