package org.amaranthlock.standin.demo;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.amaranthlock.standin.demo.RequestResult.Outcome;

/** Judges the results of a run; used by one thread. */
final class Summary {
    private final List<String> violations = new ArrayList<>();
    private final Map<Outcome, Integer> outcomes = new EnumMap<>(Outcome.class);
    private int resumed;
    private int missingTokens;
    private int duplicateTokens;
    private int foreignTokens;
    private int duplicateExecutions;
    private int missingRecords;

    /**
     * Adds a request.
     *
     * @param result how it ended for the caller
     * @param records its outcome records, without missing ones
     * @param executions executions at the desks, 0 for a generation
     */
    void add(RequestResult result, List<JsonNode> records, int executions) {
        outcomes.merge(result.outcome(), 1, Integer::sum);
        if (result.outcome() == Outcome.INCOMPLETE) {
            violations.add(result.label() + " is incomplete: " + result.detail());
        }
        missingTokens += result.missingTokens();
        duplicateTokens += result.duplicateTokens();
        foreignTokens += result.foreignTokens();
        boolean secondAttempt =
                records.stream().anyMatch(record -> record.path("attempts").asInt() > 1);
        if (result.outcome() == Outcome.COMPLETE && (result.reconnects() > 0 || secondAttempt)) {
            resumed++;
        }
        if (result.requestIds().isEmpty()
                || records.size() < result.requestIds().size()) {
            missingRecords++;
            violations.add(result.label() + " has no record for " + result.requestIds());
        }
        checkExecutions(result, executions);
    }

    /** Returns descriptions of everything that is wrong beyond the numbers of {@link #line()}. */
    List<String> violations() {
        return List.copyOf(violations);
    }

    /** Tells whether nothing is wrong. */
    boolean passed() {
        return violations.isEmpty()
                && missingTokens + duplicateTokens + foreignTokens + duplicateExecutions + missingRecords == 0;
    }

    /** Returns the summary line. */
    String line() {
        return "complete=" + count(Outcome.COMPLETE) + " resumed=" + resumed + " refused=" + count(Outcome.REJECTED)
                + " unknown=" + count(Outcome.UNKNOWN)
                + " missing=" + missingTokens + " repeated=" + duplicateTokens + " mixed=" + foreignTokens
                + " doubleRuns=" + duplicateExecutions
                + " withoutRecord=" + missingRecords;
    }

    private int count(Outcome ending) {
        return outcomes.getOrDefault(ending, 0);
    }

    private void checkExecutions(RequestResult result, int executions) {
        if (executions > 1) {
            duplicateExecutions++;
        }
        if (!result.order()) {
            return;
        }
        if (result.outcome() == Outcome.COMPLETE && executions == 0) {
            violations.add(result.label() + " was answered but never executed");
        }
        if (result.outcome() == Outcome.REJECTED && executions > 0) {
            violations.add(result.label() + " was refused as not run but was executed");
        }
    }

    /** Returns the values of a record for the table. */
    static Map<String, String> columns(JsonNode record) {
        return Map.of(
                "service", text(record, "service"),
                "outcome", text(record, "outcome"),
                "fate", text(record, "fate"),
                "router", text(record, "router"),
                "attempts", text(record, "attempts"),
                "tokens", text(record, "tokensDelivered"),
                "recomputed", text(record, "tokensRecomputed"));
    }

    /** Returns a field as text; ids may be written as text or as an object with the field {@code value}. */
    static String text(JsonNode node, String field) {
        JsonNode value = node.path(field);
        return value.isObject() ? value.path("value").asText("-") : value.asText("-");
    }
}
