package org.amaranthlock.standin.demo;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Prints the table of outcome records and the timeline. */
final class ReportPrinter {
    /** Maximum number of timeline events to print, so that the timeline fits on a page. */
    private static final int MAX_TIMELINE_EVENTS = 50;

    /** Number of counter bits in a hybrid logical timestamp; the higher bits are milliseconds since the epoch. */
    private static final int COUNTER_BITS = 16;

    private static final DateTimeFormatter TIME_FORMAT =
            DateTimeFormatter.ofPattern("HH:mm:ss.SSS").withZone(ZoneOffset.UTC);
    private static final String ROW_FORMAT = "%-12s %-34s %-10s %-11s %-8s %-8s %8s %7s %10s%n";

    private final PrintStream out;

    ReportPrinter(PrintStream out) {
        this.out = out;
    }

    void printHeader() {
        out.printf(
                ROW_FORMAT,
                "request",
                "id",
                "service",
                "outcome",
                "fate",
                "router",
                "attempts",
                "tokens",
                "recomputed");
    }

    void printRecord(String label, String requestId, JsonNode record) {
        Map<String, String> columns = Summary.columns(record);
        out.printf(
                ROW_FORMAT,
                label,
                requestId,
                columns.get("service"),
                columns.get("outcome"),
                columns.get("fate"),
                columns.get("router"),
                columns.get("attempts"),
                columns.get("tokens"),
                columns.get("recomputed"));
    }

    void printTimeline(List<JsonNode> events) {
        List<JsonNode> selected = selectEvents(events, MAX_TIMELINE_EVENTS);
        out.printf("%ntimeline (%d of %d events, rare kinds preferred)%n", selected.size(), events.size());
        for (JsonNode event : selected) {
            Instant time = Instant.ofEpochMilli(event.path("hybridTime").asLong() >> COUNTER_BITS);
            out.printf(
                    "%s %-8s %-20s %-34s %s%n",
                    TIME_FORMAT.format(time),
                    Summary.text(event, "host"),
                    Summary.text(event, "kind"),
                    Summary.text(event, "subject"),
                    Summary.text(event, "text"));
        }
    }

    /** Selects up to {@code lines} events in their original order, preferring rare kinds, which indicate faults. */
    static List<JsonNode> selectEvents(List<JsonNode> events, int limit) {
        Map<String, Integer> frequency = new HashMap<>();
        events.forEach(event -> frequency.merge(event.path("kind").asText(), 1, Integer::sum));
        List<Integer> byFrequency = new ArrayList<>();
        for (int i = 0; i < events.size(); i++) {
            byFrequency.add(i);
        }
        byFrequency.sort(Comparator.comparingInt(
                        (Integer i) -> frequency.get(events.get(i).path("kind").asText()))
                .thenComparing(Comparator.naturalOrder()));
        Set<Integer> chosen = new HashSet<>(byFrequency.subList(0, Math.min(limit, byFrequency.size())));
        List<JsonNode> selected = new ArrayList<>();
        for (int i = 0; i < events.size(); i++) {
            if (chosen.contains(i)) {
                selected.add(events.get(i));
            }
        }
        return selected;
    }
}
