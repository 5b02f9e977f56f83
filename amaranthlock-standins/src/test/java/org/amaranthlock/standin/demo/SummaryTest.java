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

    // Guards against a run that passes although it says something else, or fails without reason.
    @Test
    void aRunWithTruthfulRefusalsPasses() {
        summary.add(order(Outcome.COMPLETE), List.of(RECORD), 1);
        summary.add(order(Outcome.REJECTED), List.of(RECORD), 0);
        summary.add(order(Outcome.UNKNOWN), List.of(RECORD), 1);
        assertThat(summary.passed()).isTrue();
        assertThat(summary.line())
                .isEqualTo("complete=1 resumed=1 refused=1 unknown=1 missing=0 repeated=0 mixed=0 doubleRuns=0"
                        + " withoutRecord=0");
    }

    // Guards against a double execution that passes.
    @Test
    void aDoubleRunFails() {
        summary.add(order(Outcome.COMPLETE), List.of(RECORD), 2);
        assertThat(summary.passed()).isFalse();
        assertThat(summary.line()).contains("doubleRuns=1");
    }

    // Guards against a refusal as not run that passes although the desk executed the order.
    @Test
    void anUntrueRefusalFails() {
        summary.add(order(Outcome.REJECTED), List.of(RECORD), 1);
        assertThat(summary.passed()).isFalse();
    }

    // Guards against an answered order that no desk executed, a missing record and an incomplete answer.
    @Test
    void aLostOrderAMissingRecordAndAnIncompleteAnswerFail() {
        summary.add(order(Outcome.COMPLETE), List.of(RECORD), 0);
        summary.add(order(Outcome.COMPLETE), List.of(), 1);
        summary.add(order(Outcome.INCOMPLETE), List.of(RECORD), 1);
        assertThat(summary.violations()).hasSize(3);
        assertThat(summary.line()).contains("withoutRecord=1");
    }

    private static RequestResult order(Outcome ending) {
        return new RequestResult("order", true, ending, Set.of("00x"), 0, 0, 0, 0, "");
    }
}
