package org.amaranthlock.state;

import java.util.List;
import java.util.Optional;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.Target;
import org.amaranthlock.model.TargetId;

/** The targets that this router deals with. */
public interface TargetDirectory {
    /** Returns all targets of a service that belong to this router's subset, in order of id. */
    List<Target> targets(ServiceName service);

    /** Returns all targets of the subset, in order of id. */
    List<Target> allTargets();

    /** Returns a target, also one outside the subset. */
    Optional<Target> target(TargetId id);

    /** Returns why a target gets no new work; empty if it does. */
    Optional<String> unavailableReason(TargetId id);

    /** Tells whether a target gets new work. */
    default boolean isAvailable(TargetId id) {
        return unavailableReason(id).isEmpty();
    }
}
