package org.amaranthlock.standin.demo;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.amaranthlock.standin.demo.RequestResult.Outcome;

/** Aggregates the results of a run and collects violations. Not thread-safe. */
final class Summary {
    private final List<String> violations = new ArrayList<>();
    private final Map<Outcome, Integer> outcomes = new EnumMap<>(Outcome.class);

    /** Number of complete responses that needed a reconnect or, according to the records, several attempts. */
    private int resumed;

    private int missingTokens;
    private int duplicateTokens;
    private int foreignTokens;
    private int duplicateExecutions;
    private int missingRecords;

    /**
     * Adds the result of a request.
     *
     * @param result the result observed by the client
     * @param records the outcome records of the request that were found
     * @param executions the number of executions at the desks, 0 for a generation
     */
    void add(RequestResult result, List<JsonNode> records, int executions) {
        outcomes.merge(result.outcome(), 1, Integer::sum);
        if (result.outcome() == Outcome.INCOMPLETE) {
            violations.add(result.label() + " is incomplete: " + result.detail());
        }
        missingTokens += result.missingTokens();
        duplicateTokens += result.duplicateTokens();
        foreignTokens += result.foreignTokens();
        boolean severalAttempts =
                records.stream().anyMatch(record -> record.path("attempts").asInt() > 1);
        if (result.outcome() == Outcome.COMPLETE && (result.reconnects() > 0 || severalAttempts)) {
            resumed++;
        }
        if (result.requestIds().isEmpty()
                || records.size() < result.requestIds().size()) {
            missingRecords++;
            violations.add(result.label() + " lacks an outcome record; its request ids are " + result.requestIds());
        }
        checkExecutions(result, executions);
    }

    /** Returns descriptions of the violations that the counts of {@link #line()} do not show. */
    List<String> violations() {
        return List.copyOf(violations);
    }

    /** Returns whether no violation was found. */
    boolean passed() {
        return violations.isEmpty()
                && missingTokens + duplicateTokens + foreignTokens + duplicateExecutions + missingRecords == 0;
    }

    /** Returns the counts as a single line. */
    String line() {
        return "complete=" + count(Outcome.COMPLETE) + " resumed=" + resumed + " refused=" + count(Outcome.REJECTED)
                + " unknown=" + count(Outcome.UNKNOWN)
                + " missing=" + missingTokens + " repeated=" + duplicateTokens + " mixed=" + foreignTokens
                + " doubleRuns=" + duplicateExecutions
                + " withoutRecord=" + missingRecords;
    }

    private int count(Outcome outcome) {
        return outcomes.getOrDefault(outcome, 0);
    }

    private void checkExecutions(RequestResult result, int executions) {
        if (executions > 1) {
            duplicateExecutions++;
        }
        if (!result.order()) {
            return;
        }
        if (result.outcome() == Outcome.COMPLETE && executions == 0) {
            violations.add(result.label() + " got a success response but was never executed");
        }
        if (result.outcome() == Outcome.REJECTED && executions > 0) {
            violations.add(result.label() + " was rejected as not executed but has been executed");
        }
    }

    /** Returns the values of a record by column name for the table. */
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

    /** Returns a field as text. An id may be a string or an object with the field {@code value}. */
    static String text(JsonNode node, String field) {
        JsonNode value = node.path(field);
        return value.isObject() ? value.path("value").asText("-") : value.asText("-");
    }
}
