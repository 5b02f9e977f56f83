package org.amaranthlock.faults;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.amaranthlock.model.RequestId;
import org.amaranthlock.model.TargetId;

/** Log of the executed calls and of the highest fence at each target; it survives restarts of the targets. */
final class ExecutionLog {
    /** One execution of a call at a target. */
    record Execution(TargetId target, String ledgerKey, RequestId request, long atMillis) {}

    private final List<Execution> executions = new ArrayList<>();
    private final Map<String, Long> fences = new HashMap<>();

    boolean isFenced(TargetId target, String ledgerKey, OptionalLong fence) {
        return fence.isPresent() && fence.getAsLong() < fences.getOrDefault(target + " " + ledgerKey, 0L);
    }

    void raiseFence(TargetId target, String ledgerKey, OptionalLong fence) {
        fence.ifPresent(value -> fences.merge(target + " " + ledgerKey, value, Math::max));
    }

    void recordExecution(Execution execution) {
        executions.add(execution);
    }

    boolean wasExecuted(TargetId target, String ledgerKey) {
        return executions.stream()
                .anyMatch(execution -> execution.target().equals(target)
                        && execution.ledgerKey().equals(ledgerKey));
    }

    List<Execution> executions(String ledgerKey) {
        return executions.stream()
                .filter(execution -> execution.ledgerKey().equals(ledgerKey))
                .toList();
    }

    boolean wasRequestExecuted(RequestId request) {
        return executions.stream().anyMatch(execution -> execution.request().equals(request));
    }
}
