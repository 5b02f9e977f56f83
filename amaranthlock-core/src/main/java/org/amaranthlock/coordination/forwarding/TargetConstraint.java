package org.amaranthlock.coordination.forwarding;

import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.amaranthlock.model.SoftwareVersion;
import org.amaranthlock.model.TargetId;

/**
 * What a target must satisfy to get the next attempt of a request.
 *
 * @param avoided targets on which the request has failed
 * @param version version that began the event stream; empty if the client has no event yet
 */
public record TargetConstraint(Set<TargetId> avoided, Optional<SoftwareVersion> version) {
    /** Constraint that every target satisfies. */
    public static final TargetConstraint NONE = new TargetConstraint(Set.of(), Optional.empty());

    public TargetConstraint {
        avoided = Set.copyOf(avoided);
        Objects.requireNonNull(version, "version");
    }

    /** Returns the constraint of a request that has failed on the {@code avoided} targets. */
    public static TargetConstraint avoiding(Set<TargetId> avoided) {
        return new TargetConstraint(avoided, Optional.empty());
    }

    /** Returns this constraint with another target to avoid. */
    public TargetConstraint alsoAvoiding(TargetId target) {
        Set<TargetId> all = new HashSet<>(avoided);
        all.add(target);
        return new TargetConstraint(all, version);
    }

    /** Returns whether a target satisfies this constraint. */
    public boolean allows(EntryTarget target) {
        return !avoided.contains(target.id()) && allowsVersionOf(target);
    }

    /** Returns whether the event stream may go on at the version of a target. */
    public boolean allowsVersionOf(EntryTarget target) {
        return version.isEmpty() || version.get().equals(target.version());
    }
}
