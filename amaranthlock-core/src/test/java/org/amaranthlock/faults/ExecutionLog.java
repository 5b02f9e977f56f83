package org.amaranthlock.faults;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.amaranthlock.model.RequestId;
import org.amaranthlock.model.TargetId;

/** What the targets executed, and the fencing numbers that each target saw; survives the death of a target. */
final class ExecutionLog {
    /** One execution. */
    record Execution(TargetId target, String ledgerKey, RequestId request, long atMillis) {}

    private final List<Execution> executions = new ArrayList<>();
    private final Map<String, Long> fences = new HashMap<>();

    boolean isFenced(TargetId target, String ledgerKey, OptionalLong fence) {
        return fence.isPresent() && fence.getAsLong() < fences.getOrDefault(target + " " + ledgerKey, 0L);
    }

    void raiseFence(TargetId target, String ledgerKey, OptionalLong fence) {
        fence.ifPresent(number -> fences.merge(target + " " + ledgerKey, number, Math::max));
    }

    void recordExecution(Execution execution) {
        executions.add(execution);
    }

    boolean wasExecuted(TargetId target, String ledgerKey) {
        return executions.stream()
                .anyMatch(
                        item -> item.target().equals(target) && item.ledgerKey().equals(ledgerKey));
    }

    List<Execution> executions(String ledgerKey) {
        return executions.stream()
                .filter(item -> item.ledgerKey().equals(ledgerKey))
                .toList();
    }

    boolean wasRequestExecuted(RequestId request) {
        return executions.stream().anyMatch(item -> item.request().equals(request));
    }
}
