package org.amaranthlock.standin.desk;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** Executions and fencing numbers per idempotency key; thread-safe. It executes repeats, so that they are seen. */
final class OrderBook {
    private final boolean fencing;
    private final Map<String, Entry> entries = new LinkedHashMap<>();

    OrderBook(boolean fencing) {
        this.fencing = fencing;
    }

    /** State of a key. */
    private static final class Entry {
        private long fence = -1;
        private int executions;
        private String answer = "";
    }

    /** Result of an execution. */
    record Execution(String key, int execution, String body) {}

    /** State of a key for reconciliation. */
    record State(String key, boolean executed, int executions, long fence, int status, String body) {}

    /** Executes an order; empty if its fencing number is lower than the highest seen for the key. */
    synchronized Optional<Execution> execute(String key, long fence, String order) {
        Entry entry = entries.computeIfAbsent(key, absent -> new Entry());
        if (fencing && fence < entry.fence) {
            return Optional.empty();
        }
        entry.fence = Math.max(entry.fence, fence);
        entry.executions++;
        entry.answer = order;
        return Optional.of(new Execution(key, entry.executions, order));
    }

    /** Returns the state of a key and raises its fencing number, so that a lower one is refused from now on. */
    synchronized State reconcile(String key, long fence) {
        Entry entry = entries.computeIfAbsent(key, absent -> new Entry());
        entry.fence = Math.max(entry.fence, fence);
        boolean executed = entry.executions > 0;
        return new State(key, executed, entry.executions, entry.fence, executed ? 201 : 0, entry.answer);
    }

    /** Returns the number of executions of every executed key. */
    synchronized Map<String, Integer> executions() {
        Map<String, Integer> executions = new LinkedHashMap<>();
        entries.forEach((key, entry) -> {
            if (entry.executions > 0) {
                executions.put(key, entry.executions);
            }
        });
        return executions;
    }
}
