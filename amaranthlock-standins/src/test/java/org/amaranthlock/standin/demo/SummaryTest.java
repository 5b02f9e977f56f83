package org.amaranthlock.standin.demo;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Set;
import org.amaranthlock.standin.Json;
import org.amaranthlock.standin.demo.RequestResult.Outcome;
import org.junit.jupiter.api.Test;

class SummaryTest {
    private static final JsonNode RECORD = Json.parseOrMissing("{\"attempts\":2}");

    private final Summary summary = new Summary();

    // Guards against a correct run that fails, and a summary line that contradicts the results.
    @Test
    void runWithCorrectRejectionsPasses() {
        summary.add(order(Outcome.COMPLETE), List.of(RECORD), 1);
        summary.add(order(Outcome.REJECTED), List.of(RECORD), 0);
        summary.add(order(Outcome.UNKNOWN), List.of(RECORD), 1);
        assertThat(summary.passed()).isTrue();
        assertThat(summary.line())
                .isEqualTo("complete=1 resumed=1 refused=1 unknown=1 missing=0 repeated=0 mixed=0 doubleRuns=0"
                        + " withoutRecord=0");
    }

    // Guards against a run that passes although an order was executed twice.
    @Test
    void duplicateExecutionFails() {
        summary.add(order(Outcome.COMPLETE), List.of(RECORD), 2);
        assertThat(summary.passed()).isFalse();
        assertThat(summary.line()).contains("doubleRuns=1");
    }

    // Guards against a run that passes although a desk executed an order that was rejected as not executed.
    @Test
    void executionOfRejectedOrderFails() {
        summary.add(order(Outcome.REJECTED), List.of(RECORD), 1);
        assertThat(summary.passed()).isFalse();
    }

    // Guards against undetected success responses without execution, missing records and incomplete responses.
    @Test
    void lostOrderMissingRecordAndIncompleteResponseFail() {
        summary.add(order(Outcome.COMPLETE), List.of(RECORD), 0);
        summary.add(order(Outcome.COMPLETE), List.of(), 1);
        summary.add(order(Outcome.INCOMPLETE), List.of(RECORD), 1);
        assertThat(summary.violations()).hasSize(3);
        assertThat(summary.line()).contains("withoutRecord=1");
    }

    private static RequestResult order(Outcome outcome) {
        return new RequestResult("order", true, outcome, Set.of("00x"), 0, 0, 0, 0, "");
    }
}
