package org.amaranthlock.coordination.forwarding;

import java.util.List;
import java.util.Objects;
import org.amaranthlock.coordination.rollout.RolloutGate;

/** Selects the targets whose version a request may use, according to the roll-out of their service. */
final class VersionAdmission {
    private final RolloutGate gate;

    VersionAdmission(RolloutGate gate) {
        this.gate = Objects.requireNonNull(gate, "roll-out gate");
    }

    RolloutGate gate() {
        return gate;
    }

    /**
     * Returns the targets that a request may use. A stream in progress keeps its version; a new request uses the
     * preferred version or, if that has no target among the candidates, any open one.
     */
    List<EntryTarget> admitted(List<EntryTarget> targets, TargetConstraint constraint, long nowMillis) {
        if (constraint.version().isPresent()) {
            return open(targets, constraint, nowMillis);
        }
        List<EntryTarget> preferred = targets.stream()
                .filter(target -> gate.prefers(target.service(), target.version(), target.id(), nowMillis))
                .toList();
        return !preferred.isEmpty() ? preferred : open(targets, constraint, nowMillis);
    }

    /** Returns the targets whose version is open to a request, whichever version's turn it is. */
    List<EntryTarget> open(List<EntryTarget> targets, TargetConstraint constraint, long nowMillis) {
        return targets.stream()
                .filter(target -> constraint.version().isPresent()
                        ? mayContinue(target)
                        : gate.allows(target.service(), target.version(), nowMillis))
                .toList();
    }

    /** Returns whether a request that was started at a target's version may be sent to the target again. */
    boolean mayContinue(EntryTarget target) {
        return gate.mayContinue(target.service(), target.version());
    }
}
