package org.amaranthlock.standin.demo;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.amaranthlock.standin.demo.RequestResult.Ending;

/** Judges the results of a run; used by one thread. */
final class Summary {
    private final List<String> faults = new ArrayList<>();
    private final Map<Ending, Integer> endings = new EnumMap<>(Ending.class);
    private int resumed;
    private int missing;
    private int repeated;
    private int mixed;
    private int doubleRuns;
    private int withoutRecord;

    /**
     * Adds a request.
     *
     * @param result how it ended for the caller
     * @param records its outcome records, without missing ones
     * @param executions executions at the desks, 0 for a generation
     */
    void add(RequestResult result, List<JsonNode> records, int executions) {
        endings.merge(result.ending(), 1, Integer::sum);
        if (result.ending() == Ending.INCOMPLETE) {
            faults.add(result.label() + " is incomplete: " + result.detail());
        }
        missing += result.missing();
        repeated += result.repeated();
        mixed += result.mixed();
        boolean secondAttempt =
                records.stream().anyMatch(record -> record.path("attempts").asInt() > 1);
        if (result.ending() == Ending.COMPLETE && (result.reconnects() > 0 || secondAttempt)) {
            resumed++;
        }
        if (result.requestIds().isEmpty()
                || records.size() < result.requestIds().size()) {
            withoutRecord++;
            faults.add(result.label() + " has no record for " + result.requestIds());
        }
        checkExecutions(result, executions);
    }

    /** Returns descriptions of everything that is wrong beyond the numbers of {@link #line()}. */
    List<String> faults() {
        return List.copyOf(faults);
    }

    /** Tells whether nothing is wrong. */
    boolean passed() {
        return faults.isEmpty() && missing + repeated + mixed + doubleRuns + withoutRecord == 0;
    }

    /** Returns the summary line. */
    String line() {
        return "complete=" + count(Ending.COMPLETE) + " resumed=" + resumed + " refused=" + count(Ending.REFUSED)
                + " unknown=" + count(Ending.UNKNOWN)
                + " missing=" + missing + " repeated=" + repeated + " mixed=" + mixed + " doubleRuns=" + doubleRuns
                + " withoutRecord=" + withoutRecord;
    }

    private int count(Ending ending) {
        return endings.getOrDefault(ending, 0);
    }

    private void checkExecutions(RequestResult result, int executions) {
        if (executions > 1) {
            doubleRuns++;
        }
        if (!result.order()) {
            return;
        }
        if (result.ending() == Ending.COMPLETE && executions == 0) {
            faults.add(result.label() + " was answered but never executed");
        }
        if (result.ending() == Ending.REFUSED && executions > 0) {
            faults.add(result.label() + " was refused as not run but was executed");
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
