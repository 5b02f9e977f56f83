package org.amaranthlock.standin.desk;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Registry of executions and fencing tokens per idempotency key. Thread-safe.
 *
 * <p>A repeated order is executed again, so that tests detect duplicate deliveries.
 */
final class OrderRegistry {
    private final boolean fencing;
    private final Map<String, Entry> entries = new LinkedHashMap<>();

    OrderRegistry(boolean fencing) {
        this.fencing = fencing;
    }

    /** Mutable state of an idempotency key. */
    private static final class Entry {
        private long fence = -1;
        private int executions;
        private String responseBody = "";
    }

    /** Result of an execution; {@code execution} counts the executions of the key. */
    record Execution(String key, int executionCount, String body) {}

    /**
     * Snapshot of the state of a key for reconciliation; the components are the fields of its JSON form.
     *
     * <p>Without an execution, {@code status} is 0 and {@code body} is empty.
     */
    record State(String key, boolean executed, int executions, long fence, int status, String body) {}

    /**
     * Executes an order.
     *
     * @return the execution, or empty if the fencing token is lower than the highest one seen for the key
     */
    synchronized Optional<Execution> execute(String key, long fence, String responseBody) {
        Entry entry = entries.computeIfAbsent(key, absent -> new Entry());
        if (fencing && fence < entry.fence) {
            return Optional.empty();
        }
        entry.fence = Math.max(entry.fence, fence);
        entry.executions++;
        entry.responseBody = responseBody;
        return Optional.of(new Execution(key, entry.executions, responseBody));
    }

    /** Returns the state of a key and raises its fencing token, so that orders with a lower one are rejected. */
    synchronized State reconcile(String key, long fence) {
        Entry entry = entries.computeIfAbsent(key, absent -> new Entry());
        entry.fence = Math.max(entry.fence, fence);
        boolean executed = entry.executions > 0;
        return new State(key, executed, entry.executions, entry.fence, executed ? 201 : 0, entry.responseBody);
    }

    /** Returns the number of executions of every key that has been executed at least once. */
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
