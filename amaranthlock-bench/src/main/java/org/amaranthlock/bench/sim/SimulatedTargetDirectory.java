package org.amaranthlock.bench.sim;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.Target;
import org.amaranthlock.model.TargetId;
import org.amaranthlock.state.TargetDirectory;

/**
 * Target directory of one simulated router. A target becomes unavailable once this router fails to reach it and stays
 * so, because crashed engines do not restart.
 */
public final class SimulatedTargetDirectory implements TargetDirectory {
    private final Map<TargetId, Target> targets = new TreeMap<>();
    private final Map<TargetId, String> unavailableReasons = new TreeMap<>();

    /** Creates a directory in which all targets are available. */
    public SimulatedTargetDirectory(List<Target> targets) {
        Objects.requireNonNull(targets, "targets").forEach(target -> this.targets.put(target.id(), target));
    }

    /** Marks a target as unreachable. */
    public void markUnreachable(TargetId id) {
        unavailableReasons.put(id, "unreachable");
    }

    @Override
    public List<Target> targets(ServiceName service) {
        return targets.values().stream()
                .filter(target -> target.service().equals(service))
                .toList();
    }

    @Override
    public List<Target> allTargets() {
        return List.copyOf(targets.values());
    }

    @Override
    public Optional<Target> target(TargetId id) {
        return Optional.ofNullable(targets.get(id));
    }

    @Override
    public Optional<String> unavailableReason(TargetId id) {
        return Optional.ofNullable(unavailableReasons.get(id));
    }
}
